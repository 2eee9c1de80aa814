package batch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lycheecrank.example/lock"
)

// Table holds the pools with their waiting pieces, servers and results.
type Table struct {
	mu *lock.Ranked
	// changed tells that a call may be possible. One waiting worker is woken, which
	// wakes the next one if it finds a call: waking all for each piece cost most of
	// the coordinator's processor time.
	changed *sync.Cond
	pools   map[string]*pool
	results map[string]result
	last    uint64
}

// pool is the queue of a pool and its servers.
type pool struct {
	spec    Spec
	servers map[string]Server
	waiting []Piece
}

// result is a result that takes room at its maker.
type result struct {
	pool    string
	server  string
	address string
	// dataCentre is that of the maker.
	dataCentre string
	bytes      int64
	expires    time.Time
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

// next returns the next call of any pool.
func (t *Table) next(now time.Time) (Call, bool) {
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		p := t.pools[name]
		if len(p.waiting) == 0 {
			continue
		}
		slices.SortFunc(p.waiting, func(a, b Piece) int { return compareUrgency(a, b, now) })
		call, ok := choose(p.spec, p.sortedServers(), p.waiting, now)
		if !ok {
			continue
		}
		p.waiting = remove(p.waiting, call.Pieces)
		t.last++
		call.Number = t.last
		s := p.servers[call.Server.ID]
		p.servers[s.ID] = s.WithCall(call.Bytes(), now.Add(call.Expected))
		return call, true
	}
	return Call{}, false
}

func (p *pool) sortedServers() []Server {
	servers := make([]Server, 0, len(p.servers))
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		servers = append(servers, p.servers[id])
	}
	return servers
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
		if len(p.waiting) == 0 {
			continue
		}
		for _, s := range p.servers {
			consider(s.blockedUntil)
			consider(s.unknownUntil)
		}
		for _, r := range t.results {
			if r.pool == p.spec.Pool {
				consider(r.expires)
			}
		}
	}
	return first
}

// expire gives back the room of results that their makers no longer keep.
func (t *Table) expire(now time.Time) {
	for handle, r := range t.results {
		if !now.Before(r.expires) {
			t.release(handle)
		}
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
