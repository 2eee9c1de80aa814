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
	list := q.table.current.Load()
	usable := map[string][]Server{}
	for _, s := range list.servers {
		if list.isUsable(s, now) {
			usable[s.Pool] = append(usable[s.Pool], s)
		}
	}
	for _, servers := range usable {
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return usable
}

// Listed returns the number of listed servers by pool and data centre. It includes those
// that get no new work for the moment, so that the numbers change little when servers
// drain or a data centre is evacuated. Servers that don't serve their pool, such as those
// of a version that is tried out, aren't counted.
func (q Queries) Listed(serves func(Server) bool) map[string]map[string]int {
	pools := map[string]map[string]int{}
	for _, s := range q.table.current.Load().servers {
		if !serves(s) {
			continue
		}
		if pools[s.Pool] == nil {
			pools[s.Pool] = map[string]int{}
		}
		pools[s.Pool][s.DataCentre]++
	}
	return pools
}

// Server returns a server and whether it may get new work of this instance. Callers check
// this right before a send, because the server may have left while the request waited.
func (q Queries) Server(id string, now time.Time) (Server, bool) {
	list := q.table.current.Load()
	server, ok := list.servers[id]
	return server, ok && list.isUsable(server, now) && !list.isPaused(server, now)
}

// Paused returns the IDs of the servers of a pool that want no requests of this instance,
// sorted.
func (q Queries) Paused(pool string, now time.Time) []string {
	var paused []string
	list := q.table.current.Load()
	for id, s := range list.servers {
		if s.Pool == pool && list.isPaused(s, now) {
			paused = append(paused, id)
		}
	}
	slices.Sort(paused)
	return paused
}

// PausedUntil returns when the first server of a pool wants requests of this instance
// again. It reports false if a server may get new work now, or if there is none at all.
func (q Queries) PausedUntil(pool string, now time.Time) (time.Time, bool) {
	list := q.table.current.Load()
	var first time.Time
	for _, s := range list.servers {
		if s.Pool != pool || !list.isUsable(s, now) {
			continue
		}
		until := list.statements[s.Process()].pausedUntil
		if !now.Before(until) {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}

// PauseEnd returns the end of the time in which a process of a server wants no requests of
// this instance, zero if it has named none.
func (q Queries) PauseEnd(p Process) time.Time {
	return q.table.current.Load().statements[p].pausedUntil
}

// Leaving returns the processes that have said that they are leaving and are listed or said
// so in the last recentPeriod, in any order.
func (q Queries) Leaving(now time.Time) []Process {
	list := q.table.current.Load()
	var leaving []Process
	for p, s := range list.statements {
		if s.isLeaving(p, now) && (list.isListed(p) || now.Sub(s.leavingAt) < recentPeriod) {
			leaving = append(leaving, p)
		}
	}
	return leaving
}

// States holds the number of servers of a pool in each state.
type States struct {
	// Usable is the number of servers that are not draining, lapsed or evacuated.
	Usable int `json:"usable"`
	// Cold is the number of usable servers in cold start.
	Cold int `json:"cold"`
	// Draining is the number of servers that report that they are draining, in their
	// entries or answers.
	Draining int `json:"draining"`
	// Lapsed is the number of other servers whose entry has lapsed, including those that
	// may still get new work during lapseGracePeriod.
	Lapsed int `json:"lapsed"`
	// Evacuated is the number of other servers in an evacuated data centre.
	Evacuated int `json:"evacuated"`
}

// States returns the number of servers in each state by pool.
func (q Queries) States(now time.Time) map[string]States {
	list := q.table.current.Load()
	pools := map[string]States{}
	for _, s := range list.servers {
		states := pools[s.Pool]
		switch {
		case s.IsDraining || list.isLeaving(s, now):
			states.Draining++
		case !s.lapsedAt.IsZero():
			states.Lapsed++
		case list.evacuated[s.DataCentre]:
			states.Evacuated++
		default:
			states.Usable++
			if s.IsCold(now) {
				states.Cold++
			}
		}
		pools[s.Pool] = states
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
	return !s.IsDraining && !l.isLeaving(s, now) && !s.isGone(now) && !l.evacuated[s.DataCentre]
}
