package backend

import (
	"cmp"
	"slices"
	"time"
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
	return t.server(name)
}

// Pool returns the views of the servers of a pool, ordered by name.
func (q Queries) Pool(pool string) []Server {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.pools[pool])
}

// Capacity returns the capacity of a pool for steps of a rank.
func (q Queries) Capacity(pool string, rank int, p Permission, now time.Time) Capacity {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return CapacityOf(t.pools[pool], rank, p, now)
}

// All returns the views of all servers, ordered by name.
func (q Queries) All() []Server {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Server, 0, len(t.positions))
	for _, servers := range t.pools {
		all = append(all, servers...)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// CanServe reports whether a pool has a server that serves a rank, where 0 is the
// best, and is not leaving.
func (q Queries) CanServe(pool string, rank int) bool {
	return slices.ContainsFunc(q.Pool(pool), func(s Server) bool { return !s.IsLeaving() && rank <= s.LowestRank })
}
