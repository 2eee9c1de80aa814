//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stageRounds = 6
	// clumpSize is the number of requests at the same moment. A worker of the first stage
	// restarts after the first clump of a round, while its requests wait for the second stage.
	clumpSize    = 16
	roundTime    = 6 * time.Second
	stageRestart = 100 * time.Millisecond
	stageQueue   = 2
	stageBatch   = 12
)

// result is a result of a piece at its maker.
type result struct {
	id           string
	stage, piece int
}

// stageSite holds the stage workers and the model workers, and what they read.
type stageSite struct {
	mu sync.Mutex
	// makers are the stage workers by address.
	makers  map[string]*stageWorker
	foreign []string
	pieces  int
	runs    int
}

// fetch returns the result with a handle, false if it no longer exists.
func (s *stageSite) fetch(handle string) (result, bool) {
	address, _, _ := strings.Cut(handle, "/")
	s.mu.Lock()
	maker := s.makers[address]
	s.mu.Unlock()
	if maker == nil {
		return result{}, false
	}
	maker.mu.Lock()
	defer maker.mu.Unlock()
	r, ok := maker.results[handle]
	return r, ok && !maker.isDown
}

// check records a result that belongs to another request.
func (s *stageSite) check(reader, id string, inputs []result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range inputs {
		if in.id != id {
			s.foreign = append(s.foreign, id)
			note("%s of request %s is given the result of request %s, stage %d, piece %d", reader, id, in.id, in.stage, in.piece)
		}
	}
}

// stageWorker is a stand-in for a worker of a stage service. It names its results by their
// count since its start.
type stageWorker struct {
	worker
	site             *stageSite
	callTime, itemMs time.Duration

	mu      sync.Mutex
	results map[string]result
	made    int
	places  chan struct{}
	waiting int
	isDown  bool
	server2 *http.Server
}

func (w *stageWorker) begin(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address, w.results, w.made, w.waiting, w.isDown = listener.Addr().String(), map[string]result{}, 0, 0, false
	w.places = make(chan struct{}, 1)
	server := &http.Server{Handler: http.HandlerFunc(w.serveStage)}
	w.server2 = server
	w.mu.Unlock()
	w.worker.mu.Lock()
	w.born, w.sequence, w.state, w.worker.isDown = time.Now().UnixMilli(), 0, "ready", false
	w.worker.mu.Unlock()
	w.site.mu.Lock()
	w.site.makers[w.address] = w
	w.site.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.beat()
	return nil
}

// restart crashes the worker and starts it again under its id and address.
func (w *stageWorker) restart() {
	w.worker.mu.Lock()
	w.worker.isDown = true
	w.worker.mu.Unlock()
	w.mu.Lock()
	w.isDown = true
	server := w.server2
	w.mu.Unlock()
	_ = server.Close()
	time.Sleep(stageRestart)
	for n := 0; w.begin(w.address) != nil; n++ {
		if n == 100 {
			cannotRun("stage worker %s can't listen again", w.id)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// refuseCall answers that the call has not run.
func refuseCall(rw http.ResponseWriter, status int) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *stageWorker) serveStage(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stage-run":
		w.runCall(rw, r)
	case "/stage-free":
		var freed struct{ Handles []string }
		if json.NewDecoder(r.Body).Decode(&freed) == nil {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, handle := range freed.Handles {
				delete(w.results, handle)
			}
		}
	case "/report":
		_ = json.NewEncoder(rw).Encode(object{"queued": 0, "busy": len(w.places), "freeMb": 20})
	}
}

func (w *stageWorker) runCall(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []struct {
			ID           string
			Stage, Piece int
			Inputs       []string
		}
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		refuseCall(rw, http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.waiting > stageQueue {
		w.mu.Unlock()
		refuseCall(rw, http.StatusServiceUnavailable)
		return
	}
	w.waiting++
	places, results := w.places, w.results
	w.mu.Unlock()
	places <- struct{}{}
	defer func() { <-places }()
	answers := make([]object, len(call.Items))
	for n, item := range call.Items {
		var inputs []result
		for _, handle := range item.Inputs {
			in, ok := w.site.fetch(handle)
			if !ok {
				answers[n] = object{"reason": "gone"}
				break
			}
			inputs = append(inputs, in)
		}
		if answers[n] == nil {
			w.site.check(fmt.Sprintf("piece %d of stage %d at %s", item.Piece, item.Stage, w.id), item.ID, inputs)
		}
	}
	time.Sleep(w.callTime + time.Duration(len(call.Items))*w.itemMs)
	w.mu.Lock()
	w.waiting = max(0, w.waiting-1)
	for n, item := range call.Items {
		if answers[n] == nil {
			w.made++
			handle := fmt.Sprintf("%s/%x", w.address, w.made)
			results[handle] = result{id: item.ID, stage: item.Stage, piece: item.Piece}
			answers[n] = object{"handle": handle}
		}
	}
	w.mu.Unlock()
	w.site.mu.Lock()
	w.site.pieces += len(call.Items)
	w.site.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(object{"items": answers})
}

// startModel starts a model worker that fetches the results which its requests name.
func (s *stageSite) startModel(store *store, id, zone string) {
	w := &worker{id: id, service: "model", zone: zone, store: store, log: &runLog{}, slots: 64, state: "ready", born: time.Now().UnixMilli()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get("Attempt-Id")
		rw.Header().Set("Attempt-Id", attempt)
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			refuseCall(rw, http.StatusMisdirectedRequest)
			return
		}
		if r.Header.Get("Inputs") == "" {
			refuseCall(rw, http.StatusBadRequest)
			return
		}
		var inputs []result
		for handle := range strings.SplitSeq(r.Header.Get("Inputs"), ",") {
			in, ok := s.fetch(strings.TrimSpace(handle))
			if !ok {
				refuseCall(rw, http.StatusConflict)
				return
			}
			inputs = append(inputs, in)
		}
		s.check("the run at "+id, attempt, inputs)
		s.mu.Lock()
		s.runs++
		s.mu.Unlock()
		rw.Header().Set("Response-Seal", "seal."+id+"."+attempt)
		rw.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 6 && r.Context().Err() == nil; n++ {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", n, n)
			_ = http.NewResponseController(rw).Flush()
		}
	})}
	go func() { _ = server.Serve(listener) }()
	keepBeating(w)
}

// keepBeating writes the entry of a worker at once and with each heartbeat.
func keepBeating(w *worker) {
	w.beat()
	go func() {
		for {
			time.Sleep(beatTime)
			w.beat()
		}
	}()
}

func stageService(name string, batch int, itemMs float64) object {
	s := plainService(name)
	s["pieces"] = object{"slots": 1, "queue": stageQueue, "batch": batch, "callMs": 200.0, "itemMs": itemMs, "headroomMb": 27.0, "handleS": 4.0, "linkMbps": 10000}
	return s
}

// stageHandles restarts one of two workers of a first stage while requests wait for the
// second stage.
func stageHandles() bool {
	s := startStore()
	all := newInstances(folder, "helsinki-a", "helsinki-b", "espoo")
	site := &stageSite{makers: map[string]*stageWorker{}}
	var first []*stageWorker
	for n := range 2 {
		for _, service := range []string{"intake", "notify"} {
			w := &stageWorker{site: site, callTime: 200 * time.Millisecond, itemMs: 6 * time.Millisecond}
			w.id, w.service, w.zone, w.store, w.slots = fmt.Sprintf("i-%s-%d", service, n), service, all[n%3].zone, s, 1
			if service == "notify" {
				w.itemMs = 14 * time.Millisecond
			} else {
				first = append(first, w)
			}
			if err := w.begin("127.0.0.1:0"); err != nil {
				cannotRun("stage worker: %v", err)
			}
			keepBeating(&w.worker)
		}
		site.startModel(s, fmt.Sprintf("i-model-%d", n), all[n%3].zone)
	}
	model := engineService("model")
	model["coldStartS"], model["coldPerS"] = 0.0, 0.0
	draft := streamRoute("draft", "/draft/", 2, true)
	draft["stages"] = []any{
		object{"service": "intake", "after": []int{}, "bytes": 8000}, object{"service": "notify", "after": []int{0}, "bytes": 8000},
	}
	configuration{
		version: 3, services: []object{model, stageService("intake", 28, 6), stageService("notify", stageBatch, 14)}, keys: []string{keptKey}, routes: []object{draft},
	}.write(s)
	startInstances(s, all)
	awaitReady(all, 15*time.Second)
	note("all instances are ready")
	c := newClients()
	var number atomic.Int64
	clump := func() {
		for n := range clumpSize {
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				c.send(all[n%len(all)], http.MethodPost, "/draft/a", 6*time.Second, append(prompt(int(number.Add(1)), "a1:300"),
					"Pieces", "3,12", "Piece-Key", fmt.Sprintf("key%x", number.Load()))...)
			}()
		}
	}
	time.Sleep(3 * time.Second)
	for round := range stageRounds {
		clump()
		time.Sleep(700 * time.Millisecond)
		w := first[round%len(first)]
		if hasTrouble {
			w.restart()
			note("worker %s has crashed and is back under its id", w.id)
		} else {
			time.Sleep(stageRestart)
		}
		clump()
		time.Sleep(roundTime)
	}
	c.group.Wait()
	byStatus, wrong := map[int]int{}, 0
	site.mu.Lock()
	defer site.mu.Unlock()
	isForeign := map[string]bool{}
	for _, id := range site.foreign {
		isForeign[id] = true
	}
	for _, a := range c.all() {
		note("attempt %s at %s, sent %.3f, answered %.3f: status %d, error %v, bytes %d", a.id, a.instance, since(a.sentAt), since(a.endedAt), a.status, a.err, len(a.body))
		byStatus[a.status]++
		if isForeign[a.id] && a.status == http.StatusOK {
			wrong++
		}
	}
	if byStatus[http.StatusOK] < stageRounds {
		cannotRun("the site doesn't serve: %v", byStatus)
	}
	note("answers by status %v; %d pieces computed, %d runs of models", byStatus, site.pieces, site.runs)
	note("%d results of another request were read, for %d requests, %d of which got 200", len(site.foreign), len(isForeign), wrong)
	return len(site.foreign) > 0
}
