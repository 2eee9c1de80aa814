package batch

import "time"

// Queries reads a Table. Concurrent calls are safe.
type Queries struct{ table *Table }

// Depth is how much waits at a pool and what it can do.
type Depth struct {
	Pool    string
	Waiting int
	// Servers is the number of servers that may get work, Busy how many have it.
	Servers int
	Busy    int
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
	d := Depth{Pool: name, Waiting: len(p.waiting)}
	perSecond := 0.0
	for _, s := range p.servers {
		if s.isUnlisted || s.isBlocked(now) {
			continue
		}
		d.Servers++
		d.Busy += min(1, s.Calls)
		full := s.expected(p.spec, p.spec.Size)
		if full > 0 {
			perSecond += float64(p.spec.Slots*p.spec.Size) / full.Seconds()
		}
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

// Pools returns the names of all pools with something waiting or known servers.
func (q Queries) Pools() []string {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.pools))
	for n := range t.pools {
		names = append(names, n)
	}
	return names
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
