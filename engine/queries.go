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
	s, ok := chooseEngine(pl.spec, pl.sortedServers(), p, n, remote, pl.speed.value(now), now)
	return s.Endpoint, ok
}

// AreAllExcluded reports whether the request is to avoid each engine that the requirements
// allow. It reports false if they allow none: that doesn't last.
func (q Queries) AreAllExcluded(poolName string, n Requirements) bool {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	pl := t.pools[poolName]
	if pl == nil || len(pl.ids) == 0 {
		return false
	}
	isAnyAllowed := false
	for _, id := range pl.ids {
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

// IsShortOfMemory reports whether no engine can get a request now because those that may
// get it lack the memory.
func (q Queries) IsShortOfMemory(poolName string, p Prompt, n Requirements, now time.Time) bool {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	pl := t.pools[poolName]
	if pl == nil {
		return false
	}
	isShort := false
	for _, id := range pl.ids {
		s := pl.servers[id]
		switch {
		case t.outages.IsBlocked(s.DataCentre, now) || !s.isAllowed(pl.spec, n, now):
		case s.hasMemory(pl.spec, p):
			return false
		default:
			isShort = true
		}
	}
	return isShort
}

// MemoryTokens returns the memory of an engine of a pool in tokens, 0 if it is unknown.
func (q Queries) MemoryTokens(poolName string) int64 {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if pl := t.pools[poolName]; pl != nil {
		return pl.spec.MemoryTokens
	}
	return 0
}

// Pools returns the names of the pools with engines.
func (q Queries) Pools() []string {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, pl := range t.pools {
		if len(pl.ids) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Load is the load of an engine.
type Load struct {
	Endpoint
	RunningRequests int
	// PendingPrefill is the number of prompt tokens that still have to be prefilled.
	PendingPrefill int64
	// HeldTokens is the number of tokens that the running requests may use.
	HeldTokens int64
	// TokensPerMs is the expected prefill speed.
	TokensPerMs float64
}

// Loads returns the load of the engines of a pool, by ID.
func (q Queries) Loads(poolName string, now time.Time) []Load {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	pl := t.pools[poolName]
	if pl == nil {
		return nil
	}
	var loads []Load
	ofPool := pl.speed.value(now)
	for _, s := range pl.sortedServers() {
		loads = append(loads, Load{
			Endpoint: s.Endpoint, RunningRequests: len(s.requests), PendingPrefill: s.pendingPrefill, HeldTokens: s.heldTokens,
			TokensPerMs: s.prefillSpeed(ofPool, now),
		})
	}
	return loads
}
