package batch

import (
	"slices"
	"time"
)

// Queries reads a Table. Concurrent calls are safe.
type Queries struct{ table *Table }

// Depth is how much waits at a pool and what it can do.
type Depth struct {
	Pool    string
	Waiting int
	// Servers is the number of servers that may get work, Busy how many have it.
	Servers int
	Busy    int
	// RoomTaken is the share of the room of the servers that results take, from 0
	// to 1.
	RoomTaken float64
	// Delay estimates how long a piece that is queued now waits.
	Delay time.Duration
}

// Depth returns the state of a pool.
func (q Queries) Depth(name string, now time.Time) Depth {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[name]
	if p == nil {
		return Depth{Pool: name}
	}
	d := Depth{Pool: name, Waiting: p.queue.size()}
	perSecond, taken := 0.0, int64(0)
	for _, s := range p.servers {
		if s.isUnlisted || s.isBlocked(now) {
			continue
		}
		d.Servers++
		d.Busy += min(1, s.Calls)
		taken += s.taken(now)
		full := s.expected(p.spec, p.spec.Size)
		if full > 0 {
			perSecond += float64(p.spec.Slots*p.spec.Size) / full.Seconds()
		}
	}
	if room := int64(d.Servers) * p.spec.Room; room > 0 {
		d.RoomTaken = float64(taken) / float64(room)
	}
	if perSecond > 0 {
		d.Delay = time.Duration(float64(d.Waiting) / perSecond * float64(time.Second))
	}
	return d
}

// CallTime returns the usual time of a call of a pool with some pieces.
func (q Queries) CallTime(name string, pieces int) time.Duration {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[name]; p != nil {
		return p.spec.duration(pieces)
	}
	return 0
}

// Makers returns the handles of known results by the address of their makers.
func (q Queries) Makers(handles []string) map[string][]string {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	byMaker := map[string][]string{}
	for _, h := range handles {
		if r, ok := t.results[h]; ok {
			byMaker[r.address] = append(byMaker[r.address], h)
		}
	}
	return byMaker
}

// Servers returns the places of the servers of all pools by pool.
func (q Queries) Servers() map[string][]Place {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	places := map[string][]Place{}
	for name, p := range t.pools {
		for _, s := range p.list() {
			places[name] = append(places[name], s.Place)
		}
	}
	return places
}

// Pools returns the names of all pools, sorted.
func (q Queries) Pools() []string {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.names)
}

// DataCentre returns where a result is kept, empty if it is unknown.
func (q Queries) DataCentre(handle string) string {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.results[handle]
	if !ok {
		return ""
	}
	return r.dataCentre
}
