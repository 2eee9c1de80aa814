package backend

import (
	"slices"
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/speed"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Sync makes the table contain exactly the given servers. Removed servers that
// have steps in flight are kept as taken out until the first call of Sync after
// these steps have ended.
func (c Commands) Sync(specs []Spec, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]Server, len(specs))
	for _, sp := range specs {
		if old, ok := t.server(sp.Name); ok {
			next[sp.Name] = old.WithSpec(sp, now)
			continue
		}
		next[sp.Name] = NewServer(sp, now)
	}
	for name := range t.positions {
		old, _ := t.server(name)
		if _, wanted := next[name]; !wanted && old.InFlight > 0 {
			next[name] = old.WithTakenOut()
		}
	}
	t.replaceAll(next)
}

// Reserve reserves a slot for a step on the best available server of a pool.
func (c Commands) Reserve(pool string, rank int, avoid []string, p Permission, now time.Time) (Server, bool) {
	return c.ReserveAmong(pool, rank, avoid, nil, p, now)
}

// ReserveAmong is like Reserve, for the servers that a function allows; nil allows all.
func (c Commands) ReserveAmong(pool string, rank int, avoid []string, allows func(name string) bool, p Permission, now time.Time) (Server, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := t.pools[pool]
	if allows != nil {
		servers = slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return !allows(s.Name) })
	}
	s, ok := Choose(servers, rank, avoid, p, now)
	if !ok {
		return Server{}, false
	}
	s = s.WithReserved().withColdTurn(now)
	t.setServer(s)
	return s, true
}

// Release frees a slot after its step has ended and applies the observation.
func (c Commands) Release(name string, o Observation, now time.Time) {
	c.update(name, func(s Server) Server { return s.WithObservation(o, now) })
}

// CancelReservation frees a slot whose step was not sent to the server.
func (c Commands) CancelReservation(name string) {
	c.update(name, func(s Server) Server {
		s.InFlight--
		return s
	})
}

// Pause records that a server wants no steps of this instance until a time.
func (c Commands) Pause(name string, until time.Time) {
	c.update(name, func(s Server) Server { return s.WithPause(until) })
}

// RecordLoad records the load that a server reported with a response, received at a time.
func (c Commands) RecordLoad(name string, load speed.Report, at time.Time) {
	c.update(name, func(s Server) Server { return s.WithLoad(load, at) })
}

// ApplyReport applies a load report of a server.
func (c Commands) ApplyReport(name string, r Report, now time.Time) {
	c.update(name, func(s Server) Server { return s.WithReport(r, now) })
}

// MarkConnectionLost records that the server at an address closed a connection.
func (c Commands) MarkConnectionLost(address string, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateAll(func(s Server) Server {
		if s.Address != address {
			return s
		}
		return s.WithConnectionLost(now)
	})
}

// SetListedLeaving sets whether the platform's list of instances, which contains the
// backend servers too, marks a server as leaving.
func (c Commands) SetListedLeaving(name string, leaving bool) {
	c.update(name, func(s Server) Server { return s.WithListedLeaving(leaving) })
}

// MarkAllCold marks all servers as cold, for instance when their data centre is taken
// out. Their state is unknown until it returns, and they must then be warmed up
// again.
func (c Commands) MarkAllCold(now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateAll(func(s Server) Server { return s.WithCold(now) })
}

// update replaces the view of a server if it is known, and logs its transitions.
func (c Commands) update(name string, next func(Server) Server) {
	t := c.table
	t.mu.Lock()
	old, ok := t.server(name)
	if !ok {
		t.mu.Unlock()
		return
	}
	s := next(old)
	t.setServer(s)
	t.mu.Unlock()
	c.logTransitions(old, s)
}

func (c Commands) logTransitions(old, s Server) {
	switch {
	case old.Warmth != Cold && s.Warmth == Cold:
		c.table.Logger.Write(event.ServerCold, s.Name, "was "+old.Warmth.String())
	case old.Warmth != Warm && s.Warmth == Warm:
		c.table.Logger.Write(event.ServerWarm, s.Name)
	}
	if old.suspectedSince.IsZero() && !s.suspectedSince.IsZero() {
		c.table.Logger.Write(event.ServerSuspected, s.Name, s.ServiceTime.Milliseconds(), s.InFlight, s.CurrentLimit)
	}
	if !old.IsLeaving() && s.IsLeaving() {
		c.table.Logger.Write(event.ServerLeaving, s.Name, "report", 0, true)
	}
}
