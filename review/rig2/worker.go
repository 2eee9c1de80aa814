//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

// heartbeatInterval is heartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// worker is a stand-in for a worker of any kind: a plain service, a stage or a model. It
// registers itself in the store and keeps its entry up to date while it runs.
type worker struct {
	id      string
	service string
	slots   int
	store   *site.Store
	// work is how long a plain request or a call takes, perItem how much longer a call
	// takes for each of its items.
	work    time.Duration
	perItem time.Duration
	// events is the number of events of a stream; 0 makes the worker a plain service.
	events int
	// onRun is called when a request begins to run. It may be nil.
	onRun func(w *worker, r *http.Request)
	// onPiece is called when a piece is computed from results, onInputs when a model reads
	// results. They may be nil.
	onPiece  func(w *worker, item stageItem, inputs []result)
	onInputs func(w *worker, id string, inputs []result)

	address string
	places  chan struct{}

	mu       sync.Mutex
	server   *http.Server
	isUp     bool
	born     int64
	sequence int
	made     int
	results  map[string]result
}

// result is what a worker of a stage keeps under a handle.
type result struct {
	ID    string
	Stage int
	Piece int
	Key   string
}

type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// holders finds the worker of a stage that holds a result by the address in its handle.
var (
	holdersMu sync.Mutex
	holders   = map[string]*worker{}
)

// fetch returns the result that a worker holds under a handle now, as a transfer would.
func fetch(handle string) (result, bool) {
	address, _, _ := strings.Cut(handle, "/")
	holdersMu.Lock()
	w := holders[address]
	holdersMu.Unlock()
	if w == nil {
		return result{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.results[handle]
	return r, ok && w.isUp
}

// start starts the worker, at its former address if it had one. It knows nothing of before.
func (w *worker) start() {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fail("worker %s: %v", w.id, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /stage-run", w.stageRun)
	mux.HandleFunc("POST /stage-free", w.stageFree)
	mux.HandleFunc("GET /report", w.report)
	mux.HandleFunc("/", w.request)
	w.mu.Lock()
	w.address, w.server, w.isUp = l.Addr().String(), &http.Server{Handler: mux}, true
	w.born, w.sequence, w.made, w.results = time.Now().UnixMilli(), 0, 0, map[string]result{}
	w.places = make(chan struct{}, w.slots)
	server, born := w.server, w.born
	w.mu.Unlock()
	holdersMu.Lock()
	holders[w.address] = w
	holdersMu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.beat()
	go func() {
		for {
			time.Sleep(heartbeatInterval)
			w.mu.Lock()
			isSame := w.isUp && w.born == born
			w.mu.Unlock()
			if !isSame {
				return
			}
			w.beat()
		}
	}()
}

// crash ends the worker at once: its connections break off and its results are gone. Its
// entry stays until it is removed for silence.
func (w *worker) crash() {
	w.mu.Lock()
	w.isUp = false
	server := w.server
	w.results = map[string]result{}
	w.mu.Unlock()
	_ = server.Close()
}

func (w *worker) beat() {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": "a", "version": "v1", "slots": w.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	w.store.PutJSON(platform.ServerStream, w.id, entry)
}

// isExpected answers a request for another worker.
func (w *worker) isExpected(rw http.ResponseWriter, r *http.Request) bool {
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// take waits for a slot.
func (w *worker) take(ctx context.Context) bool {
	select {
	case w.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *worker) request(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil || !w.isExpected(rw, r) {
		return
	}
	places := w.places
	if !w.take(r.Context()) {
		return
	}
	defer func() { <-places }()
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if id == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	var inputs []result
	if list := r.Header.Get("Inputs"); list != "" {
		for handle := range strings.SplitSeq(list, ",") {
			in, ok := fetch(handle)
			if !ok {
				rw.Header().Set("Not-Executed", "1")
				rw.WriteHeader(http.StatusConflict)
				return
			}
			inputs = append(inputs, in)
		}
	}
	if w.onInputs != nil {
		w.onInputs(w, id, inputs)
	}
	if w.onRun != nil {
		w.onRun(w, r)
	}
	rw.Header().Set("Response-Seal", "seal-"+w.id)
	if w.events == 0 {
		pause(r.Context(), w.work)
		fmt.Fprintf(rw, "%s answers %s", w.id, id)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= w.events; n++ {
		if !pause(r.Context(), w.work) {
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(rw).Flush()
	}
}

func (w *worker) stageRun(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []stageItem `json:"items"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.isExpected(rw, r) {
		return
	}
	places := w.places
	if !w.take(r.Context()) {
		return
	}
	defer func() { <-places }()
	answers := make([]map[string]any, len(call.Items))
	for n, item := range call.Items {
		var inputs []result
		for _, handle := range item.Inputs {
			in, ok := fetch(handle)
			if !ok {
				answers[n] = map[string]any{"reason": "gone"}
				break
			}
			inputs = append(inputs, in)
		}
		if answers[n] == nil && w.onPiece != nil {
			w.onPiece(w, item, inputs)
		}
	}
	time.Sleep(w.work + time.Duration(len(call.Items))*w.perItem)
	w.mu.Lock()
	for n, item := range call.Items {
		if answers[n] == nil {
			w.made++
			handle := fmt.Sprintf("%s/%x", w.address, w.made)
			if os.Getenv("HANDLES") == "unique" {
				handle = fmt.Sprintf("%s/%x-%x", w.address, w.born, w.made)
			}
			w.results[handle] = result{ID: item.ID, Stage: item.Stage, Piece: item.Piece, Key: item.Key}
			answers[n] = map[string]any{"handle": handle}
		}
	}
	w.mu.Unlock()
	writeJSON(rw, map[string]any{"items": answers})
}

func (w *worker) stageFree(_ http.ResponseWriter, r *http.Request) {
	var freed struct {
		Handles []string `json:"handles"`
	}
	if json.NewDecoder(r.Body).Decode(&freed) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, handle := range freed.Handles {
		delete(w.results, handle)
	}
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, map[string]any{"queued": 0, "busy": len(w.places), "freeMb": 20})
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}

// pause waits, and reports false if the context ends before.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
