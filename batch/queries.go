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
	perSecond, taken := p.rate(now), int64(0)
	for _, s := range p.servers {
		if s.isUnlisted || s.isBlocked(now) {
			continue
		}
		d.Servers++
		d.Busy += min(1, s.Calls)
		taken += s.taken(now)
	}
	if room := int64(d.Servers) * p.spec.Room; room > 0 {
		d.RoomTaken = float64(taken) / float64(room)
	}
	if perSecond > 0 {
		d.Delay = time.Duration(float64(d.Waiting) / perSecond * float64(time.Second))
	}
	return d
}

// Wait estimates how long a piece of a class with a latest start would wait if it
// were queued now.
func (q Queries) Wait(name string, start time.Time, c Class, now time.Time) time.Duration {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[name]
	if p == nil {
		return 0
	}
	rate := p.rate(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(p.queue.ahead(start, c, now) / rate * float64(time.Second))
}

// Overdue is a request that can't be made in its time, and how long what is before it
// takes.
type Overdue struct {
	Request string
	Wait    time.Duration
}

// Unattainable returns the requests with pieces that wait behind so many others that
// they can't be made in their time, or not before their inputs expire: then all stages
// would be made again, in an overload more than once. The last stages of a request take
// after more.
func (q Queries) Unattainable(after time.Duration, now time.Time) []Overdue {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var unattainable []Overdue
	seen := map[string]bool{}
	for _, name := range t.names {
		p := t.pools[name]
		rate := p.rate(now)
		if rate <= 0 {
			continue
		}
		for k, piece := range p.queue.late {
			wait := time.Duration(lateWaitFactor * float64(len(p.queue.onTime)+k) / rate * float64(time.Second))
			isLate := now.Add(wait + p.spec.CallTime + after).After(piece.Deadline)
			isExpiring := len(piece.Inputs) > 0 && p.spec.Life > 0 && now.Add(wait).After(piece.QueuedAt.Add(p.spec.Life))
			if (isLate || isExpiring) && !seen[piece.Request] {
				seen[piece.Request] = true
				unattainable = append(unattainable, Overdue{piece.Request, wait})
			}
		}
	}
	return unattainable
}

// lateWaitFactor is by how much late pieces wait longer than the queue before them
// takes, since others that can be on time go first.
const lateWaitFactor = 1.5

// rate returns the pieces a second that the servers of the pool make in full
// calls.
func (p *pool) rate(now time.Time) float64 {
	perSecond := 0.0
	for _, s := range p.servers {
		if s.isUnlisted || s.isBlocked(now) {
			continue
		}
		if full := s.expected(p.spec, p.spec.Size, now); full > 0 {
			perSecond += float64(p.spec.Slots*p.spec.Size) / full.Seconds()
		}
	}
	return perSecond
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

// Due returns the handles of known results by the address of their makers, for
// makers whose room is taken beyond a share, and the handles of the others.
func (q Queries) Due(handles []string, share float64) (due map[string][]string, rest []string) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	due = map[string][]string{}
	for _, h := range handles {
		r, ok := t.results[h]
		if !ok {
			continue
		}
		p := t.pools[r.pool]
		if float64(p.servers[r.server].Held) < share*float64(p.spec.Room) {
			rest = append(rest, h)
			continue
		}
		due[r.address] = append(due[r.address], h)
	}
	return due, rest
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
