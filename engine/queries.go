package engine

import (
	"slices"
	"time"
)

// Queries reads a Table. Concurrent calls are safe.
type Queries struct{ table *Table }

// BestEngine returns the engine with the lowest cost for a prompt now, without reserving
// it. Unlike Reserve, it does not exclude engines in unreachable data centres.
func (q Queries) BestEngine(poolName string, p Prompt, n Requirements, now time.Time) (Endpoint, bool) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	pl := t.pools[poolName]
	if pl == nil {
		return Endpoint{}, false
	}
	_, remote := pl.remote.longest(p, now)
	s, ok := chooseEngine(pl.spec, pl.sortedServers(), p, n, remote, now)
	return s.Endpoint, ok
}

// AreAllExcluded reports whether the request is to avoid each engine that the requirements
// allow. It reports false if they allow none: that doesn't last.
func (q Queries) AreAllExcluded(poolName string, n Requirements) bool {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	pl := t.pools[poolName]
	if pl == nil || len(pl.servers) == 0 {
		return false
	}
	isAnyAllowed := false
	for id := range pl.servers {
		if !n.allows(id) {
			continue
		}
		if !slices.Contains(n.AvoidEngines, id) {
			return false
		}
		isAnyAllowed = true
	}
	return isAnyAllowed
}

// Load is the number of requests at an engine and the number of their prompt tokens that
// still have to be prefilled.
type Load struct {
	Endpoint
	RunningRequests int
	PendingPrefill  int64
}

// Loads returns the load of the engines of a pool, by ID.
func (q Queries) Loads(poolName string) []Load {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	pl := t.pools[poolName]
	if pl == nil {
		return nil
	}
	var loads []Load
	for _, s := range pl.sortedServers() {
		l := Load{Endpoint: s.Endpoint, RunningRequests: len(s.requests)}
		for _, r := range s.requests {
			l.PendingPrefill += r.pendingPrefill
		}
		loads = append(loads, l)
	}
	return loads
}
