package engine

import (
	"slices"
	"time"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct{ table *Table }

// SetPool takes over what a pool declares and which of its engines may get work.
// What is known of an engine that stays is kept, but for the memory of one that
// has restarted.
func (c Commands) SetPool(spec Spec, places []Place) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[spec.Pool]
	if p == nil {
		p = &pool{servers: map[string]Server{}}
		t.pools[spec.Pool] = p
	}
	p.spec = spec
	for id := range p.servers {
		if !slices.ContainsFunc(places, func(pl Place) bool { return pl.ID == id }) {
			delete(p.servers, id)
		}
	}
	for _, pl := range places {
		s, ok := p.servers[pl.ID]
		switch {
		case !ok || s.Address != pl.Address:
			s = newServer(pl)
		case s.Born != pl.Born:
			s = s.WithEmptied()
		}
		s.Place = pl
		p.servers[pl.ID] = s
	}
}

// trialTime is how long the other engines of a data centre in doubt wait for what
// becomes of a request at one of them: a first event takes some hundred milliseconds.
const trialTime = 800 * time.Millisecond

// Choice is where a request runs.
type Choice struct {
	Place
	// Source is the address of an engine that has more of the prompt, empty for
	// none.
	Source string
	// Expected is the likely time to the first event.
	Expected time.Duration
}

// Reserve chooses an engine for a request and counts the request there.
func (c Commands) Reserve(poolName, request string, p Prompt, n Needs, now time.Time) (Choice, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.pools[poolName]
	if q == nil {
		return Choice{}, false
	}
	servers := t.reachable(q, now)
	s, ok := choose(q.spec, servers, p, n, now)
	if !ok {
		return Choice{}, false
	}
	choice := Choice{Place: s.Place, Source: source(servers, s, p, now), Expected: s.expected(p, now)}
	q.servers[s.ID] = s.WithRun(request, p, now)
	t.outages.RecordSent(s.DataCentre, now.Add(trialTime))
	return choice, true
}

// Started notes the first event of a request and the time that it took.
func (c Commands) Started(poolName, id, request string, took time.Duration) {
	c.change(poolName, id, func(s Server) Server {
		c.table.outages.RecordSuccess(s.DataCentre)
		return s.WithStarted(request, took)
	})
}

// Ended notes that a request has ended at an engine.
func (c Commands) Ended(poolName, id, request string) {
	c.change(poolName, id, func(s Server) Server { return s.WithoutRun(request) })
}

// Refused notes that an engine did not take a request.
func (c Commands) Refused(poolName, id, request string, now time.Time) {
	c.change(poolName, id, func(s Server) Server { return s.WithoutRun(request).WithFailure(now) })
}

// Failed notes that an engine was not reached or broke a request off, which has
// ended there.
func (c Commands) Failed(poolName, id, request string, now time.Time) {
	c.change(poolName, id, func(s Server) Server {
		c.table.outages.RecordFailure(s.DataCentre, s.ID, now)
		return s.WithoutRun(request).WithFailure(now)
	})
}

// Learned is a placement that another chooser made.
type Learned struct {
	Pool    string
	Server  string
	Request string
	Prompt  Prompt
	// IsRunning tells that the request has not ended yet.
	IsRunning bool
}

// Learn takes over placements that another chooser made. A new coordinator gets
// thousands at once, so that each engine is changed once for all of its own.
func (c Commands) Learn(learned []Learned, now time.Time) {
	type key struct{ pool, server string }
	byServer := map[key][]Learned{}
	for _, l := range learned {
		k := key{l.Pool, l.Server}
		byServer[k] = append(byServer[k], l)
	}
	for k, ls := range byServer {
		c.change(k.pool, k.server, func(s Server) Server { return s.WithLearned(ls, now) })
	}
}

func (c Commands) change(poolName, id string, next func(Server) Server) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[poolName]; p != nil {
		if s, ok := p.servers[id]; ok {
			p.servers[id] = next(s)
		}
	}
}
