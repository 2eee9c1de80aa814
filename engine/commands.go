package engine

import (
	"slices"
	"time"

	"lycheecrank.example/speed"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct{ table *Table }

// SetPool replaces the specification and the eligible engines of a pool. The state of
// an engine that remains is kept, except for the cache of one that has restarted. So is
// that of an engine with running requests: it may become eligible again, as at the end of
// an evacuation, and must not get more than its memory then.
func (c Commands) SetPool(spec Spec, endpoints []Endpoint) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[spec.Pool]
	if p == nil {
		p = &pool{servers: map[string]Server{}, until: map[placement]time.Time{}}
		t.pools[spec.Pool] = p
	}
	p.spec, p.shortage = spec, memoryShortage{}
	for id, s := range p.servers {
		if len(s.requests) == 0 && !slices.ContainsFunc(endpoints, func(pl Endpoint) bool { return pl.ID == id }) {
			delete(p.servers, id)
		}
	}
	p.ids = nil
	for _, pl := range endpoints {
		p.ids = append(p.ids, pl.ID)
		s, ok := p.servers[pl.ID]
		switch {
		case !ok || s.Address != pl.Address:
			s = newServer(pl)
		case s.StartedUnixMilli != pl.StartedUnixMilli:
			s = s.WithoutCache()
		}
		s.Endpoint = pl
		p.servers[pl.ID] = s
	}
	slices.Sort(p.ids)
}

// probeTimeout is how long a data centre stays blocked after a request was sent there
// as a probe, unless the probe succeeds earlier. The first request after the end of a
// block is the probe. A first event takes some hundred milliseconds.
const probeTimeout = 800 * time.Millisecond

// Reservation is the engine that is reserved for a request.
type Reservation struct {
	Endpoint
	// PrefixSource is the address of an engine that has more of the prompt cached,
	// empty for none.
	PrefixSource string
	// ExpectedFirstEvent is the estimated time to the first event.
	ExpectedFirstEvent time.Duration
	// TypicalFirstEvent is the time to the first event at an idle engine of usual speed.
	TypicalFirstEvent time.Duration
	// LacksMemory is set if no engine was reserved because those that may get the request
	// lack the memory for it.
	LacksMemory bool
}

// memoryCheckInterval is how long the finding that no engine has memory for a request
// holds for larger ones, unless a request ends. All waiting requests check again and
// again, which would use the coordinator's processor in a shortage.
const memoryCheckInterval = 25 * time.Millisecond

// memoryShortage is the finding that no engine has memory for a request of some tokens.
type memoryShortage struct {
	tokens int64
	until  time.Time
}

// Reserve chooses an engine for a request and adds the request to its load.
func (c Commands) Reserve(poolName, request string, p Prompt, n Requirements, now time.Time) (Reservation, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	pl := t.pools[poolName]
	if pl == nil {
		return Reservation{}, false
	}
	pl.sweep(now)
	if now.Before(pl.shortage.until) && p.MaxTokens() >= pl.shortage.tokens {
		return Reservation{LacksMemory: true}, false
	}
	servers := t.serversWithOutages(pl, now)
	_, remote := pl.remote.longest(p, now)
	ofPool := pl.speed.value(now)
	s, ok := chooseEngine(pl.spec, servers, p, n, remote, ofPool, now)
	if !ok {
		lacksMemory := isShortOfMemory(pl.spec, servers, p, n, now)
		// With requirements that exclude engines, the finding holds for these requests only.
		if lacksMemory && n.RequiredEngine == "" && len(n.AvoidEngines) == 0 && n.Allows == nil {
			pl.shortage = memoryShortage{tokens: p.MaxTokens(), until: now.Add(memoryCheckInterval)}
		}
		return Reservation{LacksMemory: lacksMemory}, false
	}
	choice := Reservation{Endpoint: s.Endpoint, PrefixSource: transferSource(servers, &pl.remote, s, p, now), ExpectedFirstEvent: s.expectedFirstEvent(p, n, ofPool, now)}
	choice.TypicalFirstEvent = s.typicalFirstEvent(p, ofPool, now)
	pl.servers[s.ID] = s.WithRequest(request, p, n, choice.PrefixSource != "", now)
	pl.expect(s.ID, request, n.Until, now)
	t.outages.RecordSent(s.DataCentre, now.Add(probeTimeout))
	return choice, true
}

// RecordFirstEvent records the first event of a request and the time to it.
func (c Commands) RecordFirstEvent(poolName, id, request string, took time.Duration, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil {
		return
	}
	s, ok := p.servers[id]
	if !ok {
		return
	}
	t.outages.RecordSuccess(s.DataCentre)
	if sample, ok := s.speedSample(request, took, now); ok {
		p.speed = p.speed.withSample(sample, now)
	}
	p.servers[id] = s.WithFirstEvent(request, took, p.speed.value(now), now)
}

// RecordLoad records the load that an engine reported with a response, received at a time.
func (c Commands) RecordLoad(poolName, id string, load speed.Report, at time.Time) {
	c.updateServer(poolName, id, func(s Server) Server { return s.WithLoad(load, at) })
}

// RecordEnd records that a request has ended at an engine.
func (c Commands) RecordEnd(poolName, id, request string) {
	c.updateServer(poolName, id, func(s Server) Server { return s.WithoutRequest(request) })
}

// RecordRejection records that an engine rejected a request.
func (c Commands) RecordRejection(poolName, id, request string, now time.Time) {
	c.updateServer(poolName, id, func(s Server) Server { return s.WithoutRequest(request).WithFailure(now) })
}

// RecordFailure records that an engine was unreachable or aborted a request, which has
// ended there.
func (c Commands) RecordFailure(poolName, id, request string, now time.Time) {
	c.updateServer(poolName, id, func(s Server) Server {
		c.table.outages.RecordFailure(s.DataCentre, s.ID, now)
		return s.WithoutRequest(request).WithFailure(now)
	})
}

// PlacedRequest is a request that another coordinator placed, as reported to a new one.
type PlacedRequest struct {
	Pool      string
	EngineID  string
	RequestID string
	Prompt    Prompt
	// IsRunning is false for a request that has ended and whose prompt may still be
	// cached.
	IsRunning bool
	// Until is when the request has ended at the latest, zero if it is unknown.
	Until time.Time
}

// Restore restores placements by another coordinator. A new coordinator gets thousands
// at once, so all placements at an engine are applied in one update.
func (c Commands) Restore(requests []PlacedRequest, now time.Time) {
	type key struct{ pool, server string }
	byServer := map[key][]PlacedRequest{}
	for _, l := range requests {
		k := key{l.Pool, l.EngineID}
		byServer[k] = append(byServer[k], l)
	}
	for k, ls := range byServer {
		c.updateServer(k.pool, k.server, func(s Server) Server { return s.WithRestored(ls, now) })
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range requests {
		if p := t.pools[l.Pool]; p != nil && l.IsRunning {
			p.expect(l.EngineID, l.RequestID, l.Until, now)
		}
	}
}

func (c Commands) updateServer(poolName, id string, update func(Server) Server) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[poolName]; p != nil {
		if s, ok := p.servers[id]; ok {
			next := update(s)
			if next.heldTokens < s.heldTokens {
				p.shortage = memoryShortage{}
			}
			p.servers[id] = next
		}
	}
}
