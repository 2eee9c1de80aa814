//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// A worker is cold for coldStart after its start during traffic. coldPerSecond,
	// coldOvershoot and coldSlack give the number of requests that it may get in a second.
	coldStart     = 3 * time.Second
	coldPerSecond = 11.0
	coldOvershoot = 1.5
	coldSlack     = 5.0
	// crashFactor is the multiple of coldPerSecond at which a cold worker crashes.
	crashFactor = 2.5
	// A worker is down for downTime. coldInterval is the time from one such loss to the
	// next one, coldLosses their number.
	downTime     = 4500 * time.Millisecond
	coldInterval = 10 * time.Second
	coldLosses   = 9
	// silenceLimit is the time after which the entry of a silent worker is removed.
	silenceLimit = 3 * heartbeatInterval
	// coldLoad is the mean load in requests per second, of which coldClump come at once.
	coldLoad  = 19.5
	coldClump = 30
	// workersOfCold is the number of workers of the service, one in each zone.
	workersOfCold = 4
)

// coldRegistry holds the arrivals at the workers of a plain service with a cold start.
type coldRegistry struct {
	site    *site
	started int

	mu sync.Mutex
	// arrivals are those of the last second at each cold worker.
	arrivals map[*worker][]time.Time
	crashed  map[*worker]bool
	// most is the largest number of arrivals in a second at each worker over the bound.
	most map[string]int
	lost int
}

// arrive records a request that reaches a worker. It reports whether the worker crashes.
func (c *coldRegistry) arrive(w *worker, id string) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(time.UnixMilli(w.born)) > coldStart || !w.isColdStarted {
		return false
	}
	recent := c.arrivals[w]
	for len(recent) > 0 && now.Sub(recent[0]) >= time.Second {
		recent = recent[1:]
	}
	recent = append(recent, now)
	c.arrivals[w] = recent
	c.site.record.write("%s reaches the cold worker %s, the %d. in a second", id, w.id, len(recent))
	if float64(len(recent)) > coldPerSecond*coldOvershoot+coldSlack {
		c.most[w.id] = max(c.most[w.id], len(recent))
	}
	if float64(len(recent)) > crashFactor*coldPerSecond && !c.crashed[w] {
		c.crashed[w] = true
		c.site.record.count("crashes")
		c.site.record.write("%s crashes", w.id)
		return true
	}
	return false
}

func (c *coldRegistry) handler(w *worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		if id == "" {
			rw.Header().Set("Instance-Id", w.id)
			return
		}
		if c.arrive(w, id) {
			w.close()
			return
		}
		c.site.record.count("runs")
		time.Sleep(workTime)
		rw.Header().Set("Attempt-Id", id)
		rw.Header().Set("Response-Seal", "seal-of-"+w.id)
		rw.Header().Set("Server-Load", "1,0,6")
		fmt.Fprintf(rw, "order %s is filed", id)
	})
}

// add starts a worker in a zone. A worker that starts during traffic is cold.
func (c *coldRegistry) add(zone int, isCold bool) (*worker, error) {
	c.started++
	return c.site.startWorker(fmt.Sprintf("i-registry-%d", c.started), "recall-registry", zone, 6, isCold, c.handler)
}

// lose ends a worker without notice. The store removes its entry after silenceLimit.
func (c *coldRegistry) lose(w *worker) {
	c.site.record.write("%s is down", w.id)
	w.close()
	time.AfterFunc(silenceLimit, func() { w.unlist() })
}

func init() { cases["cold"] = playCold }

// playCold checks that a worker of a plain service that comes back cold gets no more
// requests than a cold one may get.
func playCold(ctx context.Context, s *site) ([]string, error) {
	c := &coldRegistry{site: s, arrivals: map[*worker][]time.Time{}, crashed: map[*worker]bool{}, most: map[string]int{}}
	var current []*worker
	for n := range workersOfCold {
		w, err := c.add(n, false)
		if err != nil {
			return nil, err
		}
		current = append(current, w)
	}
	s.configure(
		[]map[string]any{{
			"name": "order", "host": host, "pathPrefix": "/order/", "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2,
			"service": "recall-registry", "maxAttempts": 1, "anonymous": false,
		}},
		[]map[string]any{{"name": "recall-registry", "healthPath": "/healthz", "maxConnections": 96, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerSecond}},
	)
	if err := s.start(ctx, instances); err != nil {
		return nil, err
	}
	clients := s.newClients(coldLoad, "/order/2f", 1500*time.Millisecond, func(string) http.Header { return http.Header{} })
	clients.clump = coldClump
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { s.balance(playing) })
	group.Go(func() { clients.run(playing) })
	pause(playing, settleTime)
	for n := range coldLosses {
		began := time.Now()
		zone := n % workersOfCold
		if isTroubled() {
			c.lose(current[zone])
			pause(playing, downTime)
			w, err := c.add(zone, true)
			if err != nil {
				return nil, err
			}
			current[zone] = w
			s.record.write("%s is back, cold", w.id)
		}
		pause(playing, time.Until(began.Add(coldInterval)))
	}
	stop()
	group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	for id, n := range c.most {
		violations = append(violations, fmt.Sprintf("cold worker %s gets %d requests in a second, bound %.1f", id, n, coldPerSecond*coldOvershoot+coldSlack))
	}
	return violations, ctx.Err()
}
