package batch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lycheecrank.example/lock"
	"lycheecrank.example/outage"
)

// Table holds the pools with their waiting pieces, servers and results.
type Table struct {
	mu *lock.Ranked
	// changed tells that a call may be possible. One waiting worker is woken, which
	// wakes the next one if it finds a call: waking all for each piece cost most of
	// the coordinator's processor time.
	changed *sync.Cond
	pools   map[string]*pool
	// names are the names of the pools, sorted.
	names   []string
	results map[string]result
	last    uint64
	// outages are the data centres that can't be reached, by the servers of all
	// pools.
	outages outage.Tracker
}

// pool is the queue of a pool and its servers.
type pool struct {
	spec    Spec
	servers map[string]Server
	// ids are the IDs of the servers, sorted.
	ids   []string
	queue queue
	// expiries are the ends of the results in the order in which they were made,
	// which is that of their ends.
	expiries []expiry
}

// result is a result that takes room at its maker.
type result struct {
	pool    string
	server  string
	address string
	// dataCentre is that of the maker.
	dataCentre string
	bytes      int64
}

// expiry is when a result is dropped by its maker.
type expiry struct {
	handle string
	at     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	mu := lock.New(lock.RankBatch, "batch")
	return &Table{mu: mu, changed: sync.NewCond(mu), pools: map[string]*pool{}, results: map[string]result{}}
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{t} }

// pool returns a pool, which is added if it is new.
func (t *Table) pool(name string) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{spec: Spec{Pool: name}, servers: map[string]Server{}}
		t.pools[name] = p
		t.names = slices.Sorted(maps.Keys(t.pools))
	}
	return p
}

// next returns the next call of any pool.
func (t *Table) next(now time.Time) (Call, bool) {
	for _, name := range t.names {
		p := t.pools[name]
		if p.queue.isEmpty() || !p.hasIdle(now) {
			continue
		}
		p.queue.age(now)
		p.queue.displace(p.spec, p.rate(now), now)
		call, ok := choose(p.spec, t.reachable(p, now), p.queue.first(lookAhead), p.queue.size(), now)
		if !ok {
			continue
		}
		p.queue.remove(call.Pieces)
		t.last++
		call.Number = t.last
		s := p.servers[call.Server.ID]
		t.outages.RecordSent(s.DataCentre, now.Add(call.Limit()))
		p.servers[s.ID] = s.WithCall(call.Bytes(), now.Add(call.Expected))
		return call, true
	}
	return Call{}, false
}

// reachable returns the servers by ID, of which those in data centres that can't be
// reached are blocked.
func (t *Table) reachable(p *pool, now time.Time) []Server {
	servers := p.list()
	for i, s := range servers {
		if t.outages.IsBlocked(s.DataCentre, now) {
			servers[i] = s.WithBlock(t.outages.BlockedUntil(s.DataCentre))
		}
	}
	return servers
}

// hasIdle reports whether a server may get a call.
func (p *pool) hasIdle(now time.Time) bool {
	for _, id := range p.ids {
		if s := p.servers[id]; s.Calls < p.spec.Slots && !s.isBlocked(now) {
			return true
		}
	}
	return false
}

// list returns the servers by ID.
func (p *pool) list() []Server {
	servers := make([]Server, 0, len(p.ids))
	for _, id := range p.ids {
		servers = append(servers, p.servers[id])
	}
	return servers
}

// setServers takes over the servers of the pool.
func (p *pool) setServers(servers map[string]Server) {
	p.servers = servers
	p.ids = slices.Sorted(maps.Keys(servers))
}

// wakeAfter returns when a blocked server may be used again or a result expires,
// so that a waiting worker looks again; zero if nothing is due.
func (t *Table) wakeAfter(now time.Time) time.Duration {
	first := time.Duration(0)
	consider := func(at time.Time) {
		if d := at.Sub(now); d > 0 && (first == 0 || d < first) {
			first = d
		}
	}
	for _, p := range t.pools {
		if p.queue.isEmpty() {
			continue
		}
		for _, s := range p.servers {
			consider(s.blockedUntil)
			consider(s.unknownUntil)
			consider(t.outages.BlockedUntil(s.DataCentre))
		}
		if len(p.expiries) > 0 {
			consider(p.expiries[0].at)
		}
	}
	return first
}

// keep adds a result.
func (t *Table) keep(p *pool, handle string, r result, now time.Time) {
	t.results[handle] = r
	p.expiries = append(p.expiries, expiry{handle, now.Add(p.spec.Life)})
}

// expire gives back the room of results that their makers no longer keep.
func (t *Table) expire(now time.Time) {
	for _, p := range t.pools {
		due := 0
		for due < len(p.expiries) && !now.Before(p.expiries[due].at) {
			t.release(p.expiries[due].handle)
			due++
		}
		p.expiries = p.expiries[due:]
	}
}

// release forgets a result.
func (t *Table) release(handle string) {
	r, ok := t.results[handle]
	if !ok {
		return
	}
	delete(t.results, handle)
	if p := t.pools[r.pool]; p != nil {
		if s, ok := p.servers[r.server]; ok {
			p.servers[r.server] = s.WithFreed(r.bytes)
		}
	}
}
