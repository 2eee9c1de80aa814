//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beatTime is heartbeatMs of the small deployments.
const beatTime = 1200 * time.Millisecond

// run is a request that a worker began to run.
type run struct {
	at                           time.Time
	worker, service, id, path    string
	tenant, prefix, lastEvent    string
	hasCrashed, isStreamFinished bool
}

// runLog collects the runs of all workers.
type runLog struct {
	mu   sync.Mutex
	runs []*run
}

func (l *runLog) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]run, 0, len(l.runs))
	for _, r := range l.runs {
		all = append(all, *r)
	}
	return all
}

// crashMode is when a worker crashes that answers a prompt with the crashing part.
type crashMode int

const (
	// crashAtHead: the head of the answer has left, and nothing more.
	crashAtHead crashMode = iota
	// crashBeforeHead: the worker begins to write, and nothing has left.
	crashBeforeHead
	// crashAfterEvent: the first event has left.
	crashAfterEvent
)

// worker is a stand-in for a worker of a plain service or, with events, a model worker.
type worker struct {
	id, service, zone string
	store             *store
	log               *runLog
	// work is the time before the answer or before each event.
	work   time.Duration
	events int
	slots  int
	// crashPart is the part of a prompt that crashes the worker, empty for none. It is back
	// after downTime.
	crashPart string
	mode      crashMode
	downTime  time.Duration

	// cold, if it isn't nil, is the cold start that the worker has at times.
	cold *coldStart

	address string
	mu      sync.Mutex
	server  *http.Server
	born    int64
	// sequence counts the writes of the process.
	sequence int64
	beatAt   time.Time
	isDown   bool
	state    string
	conns    map[net.Conn]bool
	crashes  []time.Time
}

func (w *worker) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w.address = listener.Addr().String()
	w.state = "ready"
	w.serve(listener)
	w.beat()
	go func() {
		for {
			time.Sleep(beatTime)
			w.beat()
		}
	}()
}

// serve starts a process of the worker at its address.
func (w *worker) serve(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.sequence, w.isDown, w.conns = time.Now().UnixMilli(), 0, false, map[net.Conn]bool{}
	conns := w.conns
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle), ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch state {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(conns, c)
		}
	}}
	server := w.server
	go func() { _ = server.Serve(listener) }()
}

// beat writes the entry of the worker, unless it is down or no longer registered.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDown {
		return
	}
	w.sequence++
	coldMs := int64(0)
	if w.cold != nil {
		coldMs = w.cold.remaining(time.Now()).Milliseconds()
	}
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"coldRemainingMs": coldMs, "sequence": w.sequence, "born": w.born,
	})
	if err != nil {
		cannotRun("entry: %v", err)
	}
	w.beatAt = time.Now()
	w.store.put("keyed.servers", w.id, data)
}

// lastBeat returns when the worker last wrote its entry.
func (w *worker) lastBeat() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.beatAt
}

// crash ends the process: its connections break and its port is closed. It is back after
// downTime.
func (w *worker) crash() {
	w.mu.Lock()
	if w.isDown {
		w.mu.Unlock()
		return
	}
	w.isDown = true
	w.crashes = append(w.crashes, time.Now())
	server := w.server
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	w.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(w.downTime, func() {
		listener, err := net.Listen("tcp", w.address)
		for n := 0; err != nil && n < 50; n++ {
			time.Sleep(20 * time.Millisecond)
			listener, err = net.Listen("tcp", w.address)
		}
		if err != nil {
			cannotRun("worker %s can't listen again: %v", w.id, err)
		}
		w.serve(listener)
		w.beat()
	})
}

func (w *worker) crashTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.crashes...)
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	header := rw.Header()
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		header.Set("Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		header.Set("Instance-Id", w.id)
		if w.cold != nil {
			header.Set("Cold-Ms", strconv.FormatInt(w.cold.remaining(time.Now()).Milliseconds(), 10))
		}
		return
	}
	if id == "" {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	done := &run{
		at: time.Now(), worker: w.id, service: w.service, id: id, path: r.URL.Path, tenant: r.Header.Get("Tenant"),
		prefix: r.Header.Get("Prompt-Prefix"), lastEvent: r.Header.Get("Last-Event-Id"),
	}
	w.log.add(done)
	if w.cold != nil && w.cold.arrive(done.at) {
		note("%s crashes: it gets far more than it bears while it is cold", w.id)
		w.crash()
		panic(http.ErrAbortHandler)
	}
	header.Set("Response-Seal", "seal."+w.id+"."+id)
	if w.events == 0 {
		time.Sleep(w.work)
		_, _ = fmt.Fprintf(rw, "%s %s", w.service, id)
		return
	}
	w.stream(rw, r, done)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, done *run) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", "1")
	control := http.NewResponseController(rw)
	last, err := strconv.Atoi(done.lastEvent)
	if err != nil {
		last = 0
	}
	w.mu.Lock()
	isCrashing, mode := w.crashPart != "" && hasPart(done.prefix, w.crashPart), w.mode
	w.mu.Unlock()
	for n := last + 1; n <= w.events; n++ {
		select {
		case <-time.After(w.work):
		case <-r.Context().Done():
			return
		}
		if isCrashing && (n == last+1 && mode != crashAfterEvent || n == last+2) {
			if mode == crashAtHead {
				_ = control.Flush()
				time.Sleep(20 * time.Millisecond)
			}
			w.log.mu.Lock()
			done.hasCrashed = true
			w.log.mu.Unlock()
			w.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", n, n)
		_ = control.Flush()
	}
	w.log.mu.Lock()
	done.isStreamFinished = true
	w.log.mu.Unlock()
}

// hasPart reports whether a prompt has a part.
func hasPart(prefix, part string) bool {
	for p := range strings.SplitSeq(prefix, ",") {
		if id, _, _ := strings.Cut(strings.TrimSpace(p), ":"); id == part {
			return true
		}
	}
	return false
}
