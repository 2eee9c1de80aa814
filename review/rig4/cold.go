//go:build review3

package main

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// coldPerS, coldOvershoot and coldSlack give the bound of the rule for a cold worker.
	coldPerS      = 4
	coldOvershoot = 1.5
	coldSlack     = 5
	coldBound     = int(coldPerS*coldOvershoot + coldSlack)
	coldTime      = 3 * time.Second
)

// coldStart is the cold start of a worker, which crashes at twice the bound.
type coldStart struct {
	mu    sync.Mutex
	until time.Time
	// arrivals are those while it is cold.
	arrivals []time.Time
}

func (c *coldStart) begin(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = at.Add(coldTime)
}

func (c *coldStart) remaining(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.until.Sub(now))
}

// arrive records a request and reports whether the worker crashes.
func (c *coldStart) arrive(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.Before(c.until) {
		return false
	}
	c.arrivals = append(c.arrivals, at)
	return c.within(at) > 2*coldBound
}

// within returns how many requests arrived in the second that ends at a time.
func (c *coldStart) within(at time.Time) int {
	n := 0
	for _, a := range c.arrivals {
		if a.After(at.Add(-time.Second)) && !a.After(at) {
			n++
		}
	}
	return n
}

// coldPlain lets one of three workers of a plain service become cold while it serves.
func coldPlain() bool {
	s := startStore()
	all := newInstances(folder, "helsinki-a", "helsinki-b", "espoo")
	log := &runLog{}
	var workers []*worker
	for n := range 3 {
		w := &worker{
			id: "i-order-" + string(rune('a'+n)), service: "order", zone: all[n].zone, store: s, log: log, work: 30 * time.Millisecond, slots: 6,
			cold: &coldStart{}, downTime: 2 * time.Second,
		}
		w.start()
		workers = append(workers, w)
	}
	service := plainService("order")
	service["coldStartS"], service["coldPerS"] = coldTime.Seconds(), float64(coldPerS)
	configuration{
		version: 3, services: []object{service}, keys: []string{keptKey},
		routes: []object{routeOf("order", "/order/", "unsafe", "order", object{"maxAttempts": 1})},
	}.write(s)
	startInstances(s, all)
	awaitReady(all, 15*time.Second)
	note("all instances are ready")
	start := time.Now()
	c := newClients()
	c.every(8*time.Millisecond, start.Add(16*time.Second), all, http.MethodPost, "/order/a", 1500*time.Millisecond, func(int) []string {
		return []string{"Authorization", "Token " + keptKey}
	})
	waitUntil(start, 9*time.Second)
	chosen := busiest(workers, log.all())
	if hasTrouble {
		// Halfway between two heartbeats.
		for last := chosen.lastBeat(); chosen.lastBeat().Equal(last); {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(beatTime / 2)
		note("worker %s becomes cold for %v and says so in its next heartbeat", chosen.id, coldTime)
		chosen.cold.begin(time.Now())
	}
	c.group.Wait()
	early, served, unanswered := 0, 0, 0
	for _, a := range c.all() {
		note("attempt %s at %s, sent %.3f, answered %.3f: status %d, error %v", a.id, a.instance, since(a.sentAt), since(a.endedAt), a.status, a.err)
		if a.sentAt.Before(start.Add(9 * time.Second)) {
			early++
			if a.status == http.StatusOK {
				served++
			}
		} else if a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout || a.err != nil {
			unanswered++
		}
	}
	note("in calm %d of %d orders were served", served, early)
	if served*10 < early*9 {
		cannotRun("the site doesn't serve in calm")
	}
	most := 0
	cold := chosen.cold
	for _, at := range cold.arrivals {
		most = max(most, cold.within(at))
	}
	for _, r := range log.all() {
		note("worker %s began to run %s at %.3f", r.worker, r.id, since(r.at))
	}
	note("the cold worker got %d requests in one second (%d are allowed), %d crashes; %d orders after that have an unknown outcome",
		most, coldBound, len(chosen.crashTimes()), unanswered)
	return most > coldBound
}

// busiest returns the worker with the most of the runs so far.
func busiest(workers []*worker, runs []run) *worker {
	counts := map[string]int{}
	for _, r := range runs {
		counts[r.worker]++
	}
	return slices.MaxFunc(workers, func(a, b *worker) int { return cmp.Compare(counts[a.id], counts[b.id]) })
}
