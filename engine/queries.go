package engine

import "time"

// Queries reads a Table. Concurrent calls are safe.
type Queries struct{ table *Table }

// Nearest returns the engine that would be chosen for a prompt now, without
// counting anything there.
func (q Queries) Nearest(poolName string, p Prompt, n Needs, now time.Time) (Place, bool) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.pools[poolName]
	if e == nil {
		return Place{}, false
	}
	s, ok := choose(e.spec, e.sorted(), p, n, now)
	return s.Place, ok
}

// Load is what an engine works on.
type Load struct {
	Place
	Running int
	Unread  int64
}

// Loads returns the load of the engines of a pool, by ID.
func (q Queries) Loads(poolName string) []Load {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.pools[poolName]
	if e == nil {
		return nil
	}
	var loads []Load
	for _, s := range e.sorted() {
		l := Load{Place: s.Place, Running: len(s.runs)}
		for _, r := range s.runs {
			l.Unread += r.unread
		}
		loads = append(loads, l)
	}
	return loads
}
