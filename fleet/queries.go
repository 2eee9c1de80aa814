package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Queries reads a table without taking a lock. Concurrent calls are safe.
type Queries struct{ table *Table }

// Usable returns the servers that may get new work by pool, sorted by ID.
func (q Queries) Usable(now time.Time) map[string][]Server {
	l := q.table.current.Load()
	usable := map[string][]Server{}
	for _, s := range l.servers {
		if l.isUsable(s, now) {
			usable[s.Pool] = append(usable[s.Pool], s)
		}
	}
	for _, servers := range usable {
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return usable
}

// Server returns a server and whether it may get new work. Callers check this right
// before a send, because the server may have left while the request waited.
func (q Queries) Server(id string, now time.Time) (Server, bool) {
	l := q.table.current.Load()
	s, ok := l.servers[id]
	return s, ok && l.isUsable(s, now)
}

// States holds the number of servers of a pool in each state.
type States struct {
	// Usable servers may get new work; Cold is the number of those in cold start.
	Usable int `json:"usable"`
	Cold   int `json:"cold"`
	// Draining servers report that they are draining, the entries of Lapsed ones have
	// lapsed, and Evacuated ones are in an evacuated data centre.
	Draining  int `json:"draining"`
	Lapsed    int `json:"lapsed"`
	Evacuated int `json:"evacuated"`
}

// States returns the number of servers in each state by pool.
func (q Queries) States(now time.Time) map[string]States {
	l := q.table.current.Load()
	pools := map[string]States{}
	for _, s := range l.servers {
		n := pools[s.Pool]
		switch {
		case s.IsDraining:
			n.Draining++
		case !s.lapsedAt.IsZero():
			n.Lapsed++
		case l.evacuated[s.DataCentre]:
			n.Evacuated++
		default:
			n.Usable++
			if s.IsCold(now) {
				n.Cold++
			}
		}
		pools[s.Pool] = n
	}
	return pools
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
