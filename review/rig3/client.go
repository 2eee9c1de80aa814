//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// deadline is the time that a client waits.
const deadline = 6 * time.Second

// request is a client attempt. Its fields are guarded by the lock of the site.
type request struct {
	id       string
	instance *instance
	sentAt   time.Duration
	// workers are the IDs of the workers that it has reached, with the times.
	workers   []string
	reachedAt []time.Duration
	// endedAt is when the answer was complete or the connection ended, status 0 for no
	// complete answer.
	endedAt   time.Duration
	status    int
	isLeaving bool
}

// reached records that a request has reached a worker.
func (s *site) reached(id string, w *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.requests[id]; q != nil {
		q.workers = append(q.workers, w.id)
		q.reachedAt = append(q.reachedAt, s.now())
	}
}

// send sends a request to an instance and waits for its answer.
func (s *site) send(n *instance, method, path string) *request {
	s.mu.Lock()
	s.lastID++
	q := &request{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+s.lastID), instance: n}
	s.requests[q.id] = q
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + q.id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, body)
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("Attempt-Id", q.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+apiKey)
	q.sentAt = s.now()
	s.write("client sends %s %s %s to %s", method, path, q.id, n.name)
	res, err := n.client.Do(r)
	status, isLeaving := 0, false
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err == nil {
			status, isLeaving = res.StatusCode, res.Header.Get("Server-Leaving") != ""
		}
	}
	s.mu.Lock()
	q.endedAt, q.status, q.isLeaving = s.now(), status, isLeaving
	s.mu.Unlock()
	s.write("client gets %d for %s from %s, leaving %v, error %v", status, q.id, n.name, isLeaving, err)
	return q
}

// sendEvery sends requests to an instance at an interval, until a time, and returns when
// all are answered.
func (s *site) sendEvery(n *instance, method, path string, interval, until time.Duration) {
	var sending sync.WaitGroup
	for s.now() < until {
		sending.Go(func() { s.send(n, method, path) })
		time.Sleep(interval)
	}
	sending.Wait()
}

// sleepUntil waits until a time since the start of the case.
func (s *site) sleepUntil(at time.Duration) { time.Sleep(at - s.now()) }
