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
	// changed is signalled when a call may be possible. It wakes one waiting worker,
	// which wakes the next one if it finds a call: waking all of them for each piece
	// used most of the coordinator's processor time.
	changed *sync.Cond
	pools   map[string]*pool
	// poolNames are sorted.
	poolNames []string
	results   map[string]result
	// pieces holds the piece of each result until it expires, also if the result was
	// released earlier.
	pieces   map[string]Identity
	lastCall uint64
	// outages tracks unreachable data centres by the servers of all pools.
	outages outage.Tracker
}

// pool is the queue of a pool and its servers.
type pool struct {
	spec    Spec
	servers map[string]Server
	// serverIDs are sorted.
	serverIDs []string
	queue     queue
	// expiries are in the order in which the results were completed, which is that of
	// their expiry.
	expiries []expiry
}

// result is a result that uses memory of a stage server.
type result struct {
	pool string
	// server, address and dataCentre are those of the stage server that holds it.
	server     string
	address    string
	dataCentre string
	bytes      int64
}

// expiry is when a stage server drops a result.
type expiry struct {
	handle string
	at     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	mu := lock.New(lock.RankBatch, "batch")
	return &Table{mu: mu, changed: sync.NewCond(mu), pools: map[string]*pool{}, results: map[string]result{}, pieces: map[string]Identity{}}
}

// Commands returns the methods that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the methods that read the table.
func (t *Table) Queries() Queries { return Queries{t} }

// pool returns a pool and adds it if it is new.
func (t *Table) pool(name string) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{spec: Spec{Pool: name}, servers: map[string]Server{}}
		t.pools[name] = p
		t.poolNames = slices.Sorted(maps.Keys(t.pools))
	}
	return p
}

// nextCall returns the next call of any pool.
func (t *Table) nextCall(now time.Time) (Call, bool) {
	for _, name := range t.poolNames {
		p := t.pools[name]
		if p.queue.isEmpty() || !p.hasIdleServer(now) {
			continue
		}
		p.queue.moveLate(now)
		p.queue.displace(p.spec, p.rate(now), now)
		call, ok := chooseCall(p.spec, t.serversWithOutages(p, now), p.queue.mostUrgent(lookAhead), p.queue.size(), now)
		if !ok {
			continue
		}
		p.queue.remove(call.Pieces)
		t.lastCall++
		call.Number = t.lastCall
		s := p.servers[call.Server.ID]
		t.outages.RecordSent(s.DataCentre, now.Add(call.Timeout()))
		p.servers[s.ID] = s.WithCall(call.ResultBytes(), now.Add(call.ExpectedTime))
		return call, true
	}
	return Call{}, false
}

// serversWithOutages returns the servers of a pool by ID, with those in unreachable
// data centres blocked.
func (t *Table) serversWithOutages(p *pool, now time.Time) []Server {
	servers := p.sortedServers()
	for i, s := range servers {
		if t.outages.IsBlocked(s.DataCentre, now) {
			servers[i] = s.WithBlock(t.outages.BlockedUntil(s.DataCentre))
		}
	}
	return servers
}

// hasIdleServer reports whether a server can get a call.
func (p *pool) hasIdleServer(now time.Time) bool {
	for _, id := range p.serverIDs {
		if s := p.servers[id]; s.Calls < p.spec.Slots && !s.isBlocked(now) {
			return true
		}
	}
	return false
}

// sortedServers returns the servers by ID.
func (p *pool) sortedServers() []Server {
	servers := make([]Server, 0, len(p.serverIDs))
	for _, id := range p.serverIDs {
		servers = append(servers, p.servers[id])
	}
	return servers
}

// setServers replaces the servers of the pool.
func (p *pool) setServers(servers map[string]Server) {
	p.servers = servers
	p.serverIDs = slices.Sorted(maps.Keys(servers))
}

// wakeAfter returns the time until a blocked server can be used again or a result
// expires, when a waiting worker has to check again. It is zero if nothing is due.
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
			consider(s.pausedUntil)
			consider(s.unaccountedUntil)
			consider(t.outages.BlockedUntil(s.DataCentre))
		}
		if len(p.expiries) > 0 {
			consider(p.expiries[0].at)
		}
	}
	return first
}

// addResult adds a result and its expiry.
func (t *Table) addResult(p *pool, handle string, r result, now time.Time) {
	t.results[handle] = r
	p.expiries = append(p.expiries, expiry{handle, now.Add(p.spec.ResultLifetime)})
}

// expireResults frees the memory of results that their stage servers have dropped.
func (t *Table) expireResults(now time.Time) {
	for _, p := range t.pools {
		due := 0
		for due < len(p.expiries) && !now.Before(p.expiries[due].at) {
			t.releaseResult(p.expiries[due].handle)
			delete(t.pieces, p.expiries[due].handle)
			due++
		}
		p.expiries = p.expiries[due:]
	}
}

// releaseResult removes a result and frees its memory.
func (t *Table) releaseResult(handle string) {
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
