//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The worker of the order service has orderSlots slots, holds orderQueue waiting
	// requests and turns others away.
	orderSlots = 6
	orderQueue = 6
	// ordersPerSecond is the load of the service, which serves 200 requests a second.
	ordersPerSecond = 230
	ordersLength    = 90 * time.Second
	// orderAttempts is the number of workers to which an order may be sent.
	orderAttempts = 2
	// refusalCopyRate is the part of its refusals that the worker sends a second time. It
	// is far less than copyRate of all its answers.
	refusalCopyRate = 0.1
)

// orders holds what became of the orders.
type orders struct {
	mu       sync.Mutex
	runs     map[string][]string
	statuses map[string]int
}

// orderWorker is a worker of the order service.
type orderWorker struct {
	worker   *worker
	orders   *orders
	isCopied func() bool
	slots    chan struct{}
	waiting  atomic.Int64
}

func (o *orderWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		rw.Header().Set("Instance-Id", o.worker.id)
		return
	}
	conn := r.Context().Value(connectionKey{}).(*connection)
	if conn.copied != nil {
		o.worker.site.record.write("%s sends its last refusal once more, on the connection of %s", o.worker.id, id)
		o.worker.site.record.count("copies")
		_, _ = conn.Write(conn.copied)
		conn.copied = nil
	}
	if o.waiting.Add(1) > orderSlots+orderQueue {
		o.waiting.Add(-1)
		o.worker.site.record.write("%s turns %s away", o.worker.id, id)
		o.worker.site.record.count("turned away")
		refuse(rw, r, http.StatusServiceUnavailable)
		if o.isCopied() {
			conn.copied = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		}
		return
	}
	defer o.waiting.Add(-1)
	select {
	case o.slots <- struct{}{}:
	case <-r.Context().Done():
		o.worker.site.record.write("the caller of %s left while it waited at %s", id, o.worker.id)
		return
	}
	o.orders.mu.Lock()
	o.orders.runs[id] = append(o.orders.runs[id], o.worker.id)
	o.orders.mu.Unlock()
	o.worker.site.record.write("%s runs %s", o.worker.id, id)
	o.worker.site.record.count("runs")
	time.Sleep(workTime)
	<-o.slots
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Seal", "seal-of-"+o.worker.id)
	rw.Header().Set("Server-Load", "1,0,1")
	fmt.Fprintf(rw, "order %s is filed", id)
}

// violations returns the orders that ran twice, and those that ran although their client
// was told that they hadn't.
func (o *orders) violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []string
	for id, workers := range o.runs {
		if len(workers) > 1 {
			found = append(found, fmt.Sprintf("TWICE: order %s ran at %v", id, workers))
		}
		if status := o.statuses[id]; status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			found = append(found, fmt.Sprintf("REFUSED: order %s is answered %d and ran at %v", id, status, workers))
		}
	}
	return found
}

func init() { cases["resend"] = playResend }

// playResend checks that no order is refused that runs, while the worker of a busy
// service sends a second copy of a refusal late.
func playResend(ctx context.Context, s *site) ([]string, error) {
	o := &orders{runs: map[string][]string{}, statuses: map[string]int{}}
	var isActive atomic.Bool
	isCopied := func() bool { return isActive.Load() && rand.Float64() < refusalCopyRate }
	handler := func(w *worker) http.Handler {
		return &orderWorker{worker: w, orders: o, isCopied: isCopied, slots: make(chan struct{}, orderSlots)}
	}
	if _, err := s.newWorker("i-registry-1", "recall-registry", 0, orderSlots, handler); err != nil {
		return nil, err
	}
	s.configure(
		[]map[string]any{{
			"name": "order", "host": host, "pathPrefix": "/order/", "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2,
			"service": "recall-registry", "maxAttempts": orderAttempts, "anonymous": false,
		}},
		[]map[string]any{{"name": "recall-registry", "healthPath": "/healthz", "maxConnections": 360, "coldStartS": 0.0, "coldPerS": 0.0}},
	)
	if err := s.start(ctx, instances); err != nil {
		return nil, err
	}
	c := s.newClients(ordersPerSecond, "/order/2f", 1500*time.Millisecond, func(string) http.Header { return http.Header{} })
	c.onAnswer = func(id string, status int) {
		o.mu.Lock()
		o.statuses[id] = status
		o.mu.Unlock()
	}
	playing, stop := context.WithTimeout(ctx, ordersLength)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { s.balance(playing) })
	group.Go(func() { c.run(playing) })
	pause(playing, settleTime)
	for isTroubled() && playing.Err() == nil {
		isActive.Store(true)
		pause(playing, copyTime)
		isActive.Store(false)
		pause(playing, copyPause)
	}
	group.Wait()
	return o.violations(), ctx.Err()
}
