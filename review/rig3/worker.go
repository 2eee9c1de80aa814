//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker of a plain service.
type worker struct {
	site   *site
	id     string
	zone   string
	work   time.Duration
	server *http.Server
	addr   string
	born   int64

	mu        sync.Mutex
	sequence  int
	isSilent  bool
	isLeaving bool
	running   int
}

// slots is the number of requests that a worker runs at a time.
const slots = 16

// addWorker starts a worker and writes its entry about every heartbeat interval.
func (s *site) addWorker(id, zone string, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{site: s, id: id, zone: zone, work: work, addr: l.Addr().String(), born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	s.workers = append(s.workers, w)
	s.running.Go(func() { _ = w.server.Serve(l) })
	w.beat()
	s.beating.Go(func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.mu.Lock()
				isSilent := w.isSilent
				w.mu.Unlock()
				if !isSilent {
					w.beat()
				}
			case <-s.stopBeats:
				return
			}
		}
	})
	return w, nil
}

// nextEntry returns the worker's next entry for the store.
func (w *worker) nextEntry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return map[string]any{
		"service": service, "address": w.addr, "zone": w.zone, "version": "1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
}

// beat writes the worker's entry.
func (w *worker) beat() { w.site.store.PutJSON(servers, w.id, w.nextEntry()) }

// setSilent ends or resumes the writes of the entry.
func (w *worker) setSilent(isSilent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isSilent = isSilent
}

// leave makes the worker say in all its answers that it is leaving.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isLeaving, w.isSilent = true, true
}

// stop ends the worker with all of its connections.
func (w *worker) stop() { _ = w.server.Close() }

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	header := rw.Header()
	header.Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.running++
	running := w.running
	w.mu.Unlock()
	w.site.reached(id, w)
	w.site.write("%s runs %s %s, %d bytes", w.id, r.Method, id, len(body))
	timer := time.NewTimer(w.work)
	defer timer.Stop()
	isDropped := false
	select {
	case <-timer.C:
	case <-r.Context().Done():
		isDropped = true
	}
	w.mu.Lock()
	w.running--
	isLeaving := w.isLeaving
	w.mu.Unlock()
	if isDropped {
		w.site.write("%s drops %s: its connection closed", w.id, id)
		return
	}
	if isLeaving {
		header.Set("Server-Leaving", "1")
		header.Set("Connection", "close")
	}
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", running-1, slots))
	header.Set("Response-Seal", "3e1b."+w.id)
	w.site.write("%s answers %s, leaving %v", w.id, id, isLeaving)
	_, _ = fmt.Fprintf(rw, "done %s", id)
}
