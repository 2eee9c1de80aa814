package hedge

import (
	"maps"
	"time"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Deposit adds the share of one request to what its route may send a second time.
func (c Commands) Deposit(route string, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.tokens[route]
	if !ok && len(t.tokens) >= maxClasses {
		maps.DeleteFunc(t.tokens, func(_ string, a account) bool { return now.Sub(a.usedAt) > maxAge })
	}
	t.tokens[route] = account{tokens: min(maxTokens, a.tokens+t.share), usedAt: now}
}

// Take withdraws one second send of a route and reports whether one was available.
func (c Commands) Take(route string) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.tokens[route]
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	t.tokens[route] = a
	return true
}

// Return gives back a second send that was not made.
func (c Commands) Return(route string) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.tokens[route]; ok {
		a.tokens = min(maxTokens, a.tokens+1)
		t.tokens[route] = a
	}
}

// Record records the response time of a first send.
func (c Commands) Record(class Class, sample Sample) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.window(class, sample.At)
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, sample)
	} else {
		w.samples[w.next%windowSize] = sample
	}
	w.next++
	if w.next%profileInterval == 0 {
		w.profile = w.profile.With(w.samples, lateQuantile(t.share), sample.At)
	}
}

// RecordResult records whether a request to a pool was late.
func (c Commands) RecordResult(pool string, r Result) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(pool, r.At)
	if len(p.results) < maxResults {
		p.results = append(p.results, r)
	} else {
		p.results[p.next%maxResults] = r
	}
	p.next++
}

// RecordRefusal records that a server of a pool refused a request.
func (c Commands) RecordRefusal(pool string, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool(pool, now).refusedAt = now
}

// RecordQueue records how many requests wait in the queue of a server.
func (c Commands) RecordQueue(server string, waiting int, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if waiting <= 0 {
		delete(t.queued, server)
		return
	}
	if len(t.queued) >= maxLoads {
		maps.DeleteFunc(t.queued, func(_ string, at time.Time) bool { return now.Sub(at) > loadAge })
	}
	t.queued[server] = now
}
