package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Queries reads a table without taking a lock. Concurrent calls are safe.
type Queries struct{ table *Table }

// Usable returns the servers of a pool that may get new work, by ID.
func (q Queries) Usable(pool string, now time.Time) []Server {
	l := q.table.current.Load()
	var usable []Server
	for _, s := range l.servers {
		if s.Pool == pool && l.isUsable(s, now) {
			usable = append(usable, s)
		}
	}
	slices.SortFunc(usable, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

// Server returns a server and whether it may get new work. It is asked directly
// before a send, since a server may have left while a request waited.
func (q Queries) Server(id string, now time.Time) (Server, bool) {
	l := q.table.current.Load()
	s, ok := l.servers[id]
	return s, ok && l.isUsable(s, now)
}

// Size returns the number of listed servers.
func (q Queries) Size() int { return len(q.table.current.Load().servers) }

// IsEvacuated reports whether a data centre is evacuated.
func (q Queries) IsEvacuated(dataCentre string) bool {
	return q.table.current.Load().evacuated[dataCentre]
}

func (l *List) isUsable(s Server, now time.Time) bool {
	return !s.IsDraining && !s.isGone(now) && !l.evacuated[s.DataCentre]
}
