package backend

import (
	"cmp"
	"maps"
	"slices"
)

// Queries reads a Table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// Server returns the view of a server.
func (q Queries) Server(name string) (Server, bool) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byName[name]
	return s, ok
}

// Pool returns the views of the servers of a pool by name.
func (q Queries) Pool(pool string) []Server {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(pool)
}

// All returns all views by name.
func (q Queries) All() []Server {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.SortedFunc(maps.Values(t.byName), func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
}

// HasUsable reports whether a pool has a server that is not leaving and serves
// a rank.
func (q Queries) HasUsable(pool string, rank int) bool {
	return slices.ContainsFunc(q.Pool(pool), func(s Server) bool { return !s.IsLeaving() && rank <= s.LowestRank })
}

// pool returns the views of a pool; the caller holds the lock.
func (t *Table) pool(pool string) []Server {
	names := t.pools[pool]
	servers := make([]Server, 0, len(names))
	for _, n := range names {
		servers = append(servers, t.byName[n])
	}
	return servers
}
