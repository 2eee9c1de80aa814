//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

// playForged writes entries of another writer, in which fields are missing, under the key of
// a worker of another service, and watches which service runs the orders.
func playForged(folder string, isTroubled bool) bool {
	store := site.NewStore()
	defer store.Close()
	var mu sync.Mutex
	ran := map[string]int{}
	foreign := 0
	onRun := func(w *worker, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ran[w.service+" "+r.Host]++
		record("worker %s of service %s runs %s (%s %s%s)", w.id, w.service, r.Header.Get("Attempt-Id"), r.Method, r.Host, r.RequestURI)
		if w.service == "public-portal" && r.Host == "orders.example" {
			foreign++
			record("ROUTE: the service public-portal runs order %s", r.Header.Get("Attempt-Id"))
		}
	}
	var portal *worker
	for _, service := range []string{"recall-registry", "public-portal"} {
		for n := range 2 {
			w := &worker{id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, slots: 6, store: store, work: 30 * time.Millisecond, onRun: onRun}
			if service == "public-portal" {
				w.work = 10 * time.Millisecond
				portal = w
			}
			w.start()
			defer w.crash()
		}
	}
	store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "recall-order", "host": "orders.example", "pathPrefix": "/o/", "kind": "unsafe", "service": "recall-registry", "maxAttempts": 2, "timeoutMs": 1500, "targetLatencyMs": 150},
			{"name": "portal", "host": "portal.example", "pathPrefix": "/p/", "kind": "safe", "service": "public-portal", "maxAttempts": 2, "timeoutMs": 1500, "targetLatencyMs": 150},
		},
		"services": []map[string]any{{"name": "recall-registry"}, {"name": "public-portal"}},
		"limits":   limits,
	})
	d := newDeployment(folder, store.Address(), 2, 284)
	d.start()
	defer d.stop()
	load := startLoad(d, 20, func(n int) request {
		if n%4 == 3 {
			return request{method: "GET", host: "portal.example", path: "/p/x", id: fmt.Sprintf("p-%d", n), deadlineMs: 1500}
		}
		return request{method: "POST", host: "orders.example", path: "/o/x", id: fmt.Sprintf("o-%d", n), deadlineMs: 1500, body: "order"}
	})
	for n := range 6 {
		time.Sleep(3 * time.Second)
		if !isTroubled {
			continue
		}
		// The fields version, slots, coldRemainingMs, sequence and born are missing.
		entry := map[string]any{"service": "recall-registry", "address": portal.address, "zone": "a", "state": "ready"}
		record("another writer writes servers/%s, write %d: %v", portal.id, n+1, entry)
		store.PutJSON(platform.ServerStream, portal.id, entry)
	}
	time.Sleep(3 * time.Second)
	load.stop()
	mu.Lock()
	defer mu.Unlock()
	record("answers by status %v", load.statuses())
	record("requests run by service and host %v", ran)
	record("orders run by the service public-portal: %d", foreign)
	return foreign > 0
}
