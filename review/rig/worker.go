//go:build review

package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lycheecrank.example/platform"
)

// heartbeatInterval is the interval at which workers renew their entries.
const heartbeatInterval = 1200 * time.Millisecond

// worker is a stand-in for a worker of any service. It registers itself in the store.
type worker struct {
	id, service, zone string
	slots             int
	site              *site
	server            *http.Server
	listener          net.Listener
	born              int64
	sequence          atomic.Int64
	// isColdStarted is set if the worker is cold for coldStart after its start.
	isColdStarted bool
	stop          context.CancelFunc
	// isLeaving is set from the moment at which the worker begins to leave, which it says
	// in all its answers.
	isLeaving atomic.Bool

	mu sync.Mutex
	// isListed is set while the worker renews its entry, state is the state in it.
	isListed bool
	state    string
	// lateWrite returns by how much the store delays a write of an entry without
	// answering it, or 0; it may be nil.
	lateWrite func() time.Duration
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// connection is a connection of a caller to a worker.
type connection struct {
	net.Conn
	// copied is an answer that is sent once more when the next request arrives.
	copied []byte
}

// newWorker starts a worker that is warm and lists it as ready.
func (s *site) newWorker(id, service string, zone, slots int, handler func(w *worker) http.Handler) (*worker, error) {
	return s.startWorker(id, service, zone, slots, false, handler)
}

// startWorker starts a worker, which may be cold, and lists it as ready.
func (s *site) startWorker(id, service string, zone, slots int, isCold bool, handler func(w *worker) http.Handler) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zones[zone%len(zones)], slots: slots, site: s, listener: listener, born: time.Now().UnixMilli(), isListed: true, state: "ready", isColdStarted: isCold}
	w.server = &http.Server{
		Handler: w.checked(handler(w)),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &connection{Conn: c})
		},
	}
	var ctx context.Context
	ctx, w.stop = context.WithCancel(context.Background())
	s.group.Go(func() { _ = w.server.Serve(listener) })
	w.renew()
	s.group.Go(func() {
		for pause(ctx, heartbeatInterval); ctx.Err() == nil; pause(ctx, heartbeatInterval) {
			w.renew()
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// renew writes the entry of the worker.
func (w *worker) renew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isListed {
		return
	}
	entry := map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state, "coldRemainingMs": w.coldRemaining().Milliseconds(),
		"sequence": w.sequence.Add(1), "born": w.born,
	}
	if w.lateWrite != nil {
		if delay := w.lateWrite(); delay > 0 {
			w.site.record.write("the write of %s with sequence %d, state %s, gets no answer", w.id, entry["sequence"], w.state)
			time.AfterFunc(delay, func() {
				w.site.store.PutJSON(platform.ServerStream, w.id, entry)
				w.site.record.write("the store carries out the write of %s with sequence %d, state %s", w.id, entry["sequence"], entry["state"])
				w.site.record.count("late writes")
			})
			return
		}
	}
	w.site.store.PutJSON(platform.ServerStream, w.id, entry)
}

// coldRemaining returns how long the worker remains cold.
func (w *worker) coldRemaining() time.Duration {
	if !w.isColdStarted {
		return 0
	}
	return max(0, coldStart-time.Since(time.UnixMilli(w.born)))
}

// drain makes the worker report that it is draining. It returns when the store has
// accepted the report.
func (w *worker) drain() time.Time {
	w.isLeaving.Store(true)
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.renew()
	return time.Now()
}

// unlist removes the entry of the worker, which goes on serving. It returns when the
// store has accepted the removal.
func (w *worker) unlist() time.Time {
	w.isLeaving.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isListed {
		w.isListed = false
		w.site.store.Put(platform.ServerStream, w.id, nil)
	}
	return time.Now()
}

func (w *worker) close() {
	w.stop()
	_ = w.server.Close()
}

// checked refuses requests that are meant for another worker.
func (w *worker) checked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.isLeaving.Load() {
			rw.Header().Set("Server-Leaving", "1")
		}
		if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
			rw.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			rw.Header().Set("Instance-Id", w.id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// refuse answers that the request has not run.
func refuse(rw http.ResponseWriter, r *http.Request, status int) {
	if id := r.Header.Get("Attempt-Id"); id != "" {
		rw.Header().Set("Attempt-Id", id)
	}
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
}

// setLateWrite sets the function that delays writes of the entry.
func (w *worker) setLateWrite(delay func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateWrite = delay
}
