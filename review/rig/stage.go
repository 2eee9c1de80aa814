//go:build review

package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// The workers of a stage take callTime a call and itemTime a piece, run one call at a
	// time, hold stageQueue waiting ones and keep a result for resultLifetime.
	callTime       = 200 * time.Millisecond
	itemTime       = 21 * time.Millisecond
	stageQueue     = 2
	maxPieces      = 8
	resultLifetime = 4 * time.Second
	// The model workers take firstEventTime to the first event of a stream and
	// eventInterval to each other one.
	firstEventTime = 40 * time.Millisecond
	eventInterval  = 20 * time.Millisecond
	events         = 6
)

// pieceID identifies a piece.
type pieceID struct {
	request string
	stage   int
	piece   int
}

func (p pieceID) String() string { return fmt.Sprintf("%s/%d/%d", p.request, p.stage, p.piece) }

// result is a result that a stage worker keeps.
type result struct {
	of      pieceID
	endedAt time.Time
	isFreed bool
}

// results holds the results of all stage workers by handle. Concurrent calls are safe.
type results struct {
	mu       sync.Mutex
	byHandle map[string]result
	foreign  []string
}

func newResults() *results { return &results{byHandle: map[string]result{}} }

func (r *results) add(address string, of pieceID) string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	handle := address + "/" + hex.EncodeToString(random[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byHandle[handle] = result{of: of, endedAt: time.Now()}
	return handle
}

func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		kept := r.byHandle[h]
		kept.isFreed = true
		r.byHandle[h] = kept
	}
}

// isGone reports whether a result no longer exists.
func (r *results) isGone(handle string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, ok := r.byHandle[handle]
	return !ok || kept.isFreed || time.Since(kept.endedAt) > resultLifetime
}

// foreignInputs returns the inputs that belong to another request or stage, or that come
// twice, and remembers them as violations.
func (r *results) foreignInputs(what, request string, stage int, inputs []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	var foreign []string
	for _, h := range inputs {
		of := r.byHandle[h].of
		if of.request != request || of.stage != stage || seen[h] {
			foreign = append(foreign, fmt.Sprintf("%s is given %s, the result of %s", what, h, of))
		}
		seen[h] = true
	}
	r.foreign = append(r.foreign, foreign...)
	return foreign
}

func (r *results) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.foreign
}

// stageItem is a piece of a call.
type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// stageAnswer is the outcome of a piece.
type stageAnswer struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// stageWorker is a worker of a stage.
type stageWorker struct {
	worker  *worker
	results *results
	// isCopied decides whether an answer is sent a second time.
	isCopied func() bool
	slot     chan struct{}

	mu      sync.Mutex
	waiting int
}

func stageHandler(kept *results, isCopied func() bool) func(w *worker) http.Handler {
	return func(w *worker) http.Handler {
		s := &stageWorker{worker: w, results: kept, isCopied: isCopied, slot: make(chan struct{}, 1)}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /stage-run", s.run)
		mux.HandleFunc("POST /stage-free", s.free)
		mux.HandleFunc("GET /report", func(rw http.ResponseWriter, _ *http.Request) {
			writeJSON(rw, map[string]any{"queued": 0, "busy": len(s.slot), "freeMb": 18.0})
		})
		return mux
	}
}

func (s *stageWorker) run(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []stageItem `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Items) == 0 || len(call.Items) > maxPieces {
		refuse(rw, r, http.StatusBadRequest)
		return
	}
	conn := r.Context().Value(connectionKey{}).(*connection)
	if conn.copied != nil {
		s.worker.site.record.write("%s sends its last answer once more, on the connection of the call %s", s.worker.id, describe(call.Items))
		s.worker.site.record.count("copies")
		_, _ = conn.Write(conn.copied)
		conn.copied = nil
	}
	if !s.enter(r) {
		refuse(rw, r, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slot }()
	answers := s.compute(call.Items)
	body, err := json.Marshal(map[string]any{"items": answers})
	if err != nil {
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Server-Load", "0,0,1")
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write(body)
	if s.isCopied() {
		conn.copied = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Load: 0,0,1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// enter waits for the slot of the worker. It reports false if too many calls wait, or if
// the caller closes its connection.
func (s *stageWorker) enter(r *http.Request) bool {
	s.mu.Lock()
	isFull := s.waiting > stageQueue
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	if isFull {
		return false
	}
	select {
	case s.slot <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// compute computes the pieces of a call.
func (s *stageWorker) compute(items []stageItem) []stageAnswer {
	answers := make([]stageAnswer, 0, len(items))
	for _, i := range items {
		if len(i.Inputs) > 0 {
			what := fmt.Sprintf("piece %s", pieceID{i.ID, i.Stage, i.Piece})
			for _, f := range s.results.foreignInputs(what, i.ID, i.Stage-1, i.Inputs) {
				s.worker.site.record.write("MIXED %s", f)
			}
		}
	}
	time.Sleep(callTime + time.Duration(len(items))*itemTime)
	for _, i := range items {
		isGone := false
		for _, h := range i.Inputs {
			isGone = isGone || s.results.isGone(h)
		}
		if isGone {
			answers = append(answers, stageAnswer{Reason: "gone"})
			continue
		}
		answers = append(answers, stageAnswer{Handle: s.results.add(s.worker.address(), pieceID{i.ID, i.Stage, i.Piece})})
	}
	s.worker.site.record.write("%s has run the call %s", s.worker.id, describe(items))
	s.worker.site.record.count("calls")
	return answers
}

func describe(items []stageItem) string {
	var names []string
	for _, i := range items {
		names = append(names, pieceID{i.ID, i.Stage, i.Piece}.String())
	}
	return strings.Join(names, " ")
}

func (s *stageWorker) free(_ http.ResponseWriter, r *http.Request) {
	var freed struct {
		Handles []string `json:"handles"`
	}
	if json.NewDecoder(r.Body).Decode(&freed) == nil {
		s.results.free(freed.Handles)
	}
}

// modelHandler returns the handler of a model worker, which fetches the results of the
// last stage.
func modelHandler(kept *results, lastStage, pieces int) func(w *worker) http.Handler {
	return func(w *worker) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Attempt-Id")
			if id == "" {
				writeJSON(rw, map[string]any{"stage": "both", "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 367584})
				return
			}
			inputs := strings.Split(r.Header.Get("Inputs"), ",")
			if r.Header.Get("Inputs") == "" {
				refuse(rw, r, http.StatusBadRequest)
				return
			}
			for _, h := range inputs {
				if kept.isGone(h) {
					refuse(rw, r, http.StatusConflict)
					return
				}
			}
			w.site.record.write("%s runs %s with %s", w.id, id, strings.Join(inputs, " "))
			w.site.record.count("runs")
			for _, f := range kept.foreignInputs("request "+id, id, lastStage, inputs) {
				w.site.record.write("MIXED %s", f)
			}
			if len(inputs) != pieces {
				w.site.record.write("request %s has %d inputs in place of %d", id, len(inputs), pieces)
			}
			rw.Header().Set("Attempt-Id", id)
			rw.Header().Set("Response-Seal", "seal-of-"+w.id)
			rw.Header().Set("Content-Type", "text/event-stream")
			time.Sleep(firstEventTime)
			for n := range events {
				fmt.Fprintf(rw, "id: %d\ndata: token\n\n", n+1)
				if http.NewResponseController(rw).Flush() != nil || r.Context().Err() != nil {
					return
				}
				time.Sleep(eventInterval)
			}
		})
	}
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}
