package backend

import (
	"time"

	"lycheecrank.example/event"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Sync makes the table hold exactly the given servers. Servers that have work
// in flight and are no longer wanted stay as taken out until it has ended.
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
	for name := range t.places {
		old, _ := t.server(name)
		if _, wanted := next[name]; !wanted && old.InFlight > 0 {
			next[name] = old.WithTakenOut()
		}
	}
	t.replace(next)
}

// Reserve takes a slot at the best free server of a pool for a step.
func (c Commands) Reserve(pool string, rank int, avoid []string, r Rights, now time.Time) (Server, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := Choose(t.pools[pool], rank, avoid, r, now)
	if !ok {
		return Server{}, false
	}
	s = s.WithReserved()
	t.set(s)
	return s, true
}

// Release gives a slot back with what was seen of the step.
func (c Commands) Release(name string, o Observation, now time.Time) {
	c.change(name, func(s Server) Server { return s.WithObservation(o, now) })
}

// Return gives a slot back of which nothing was sent.
func (c Commands) Return(name string) {
	c.change(name, func(s Server) Server {
		s.InFlight--
		return s
	})
}

// Report takes a load report of a server.
func (c Commands) Report(name string, r Report, now time.Time) {
	c.change(name, func(s Server) Server { return s.WithReport(r, now) })
}

// ConnectionLost notes that the server at an address has ended a connection.
func (c Commands) ConnectionLost(address string, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeAll(func(s Server) Server {
		if s.Address != address {
			return s
		}
		return s.WithConnectionLost(now)
	})
}

// SetListedLeaving notes whether a server is leaving, as the list of instances
// says.
func (c Commands) SetListedLeaving(name string, leaving bool) {
	c.change(name, func(s Server) Server { return s.WithListedLeaving(leaving) })
}

// Cool treats all servers as cold, such as when their data centre is taken out:
// nobody knows what happens to them until it returns, and then it must be filled
// by steps.
func (c Commands) Cool(now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeAll(func(s Server) Server { return s.WithCold(now) })
}

func (c Commands) change(name string, next func(Server) Server) {
	t := c.table
	t.mu.Lock()
	old, ok := t.server(name)
	if !ok {
		t.mu.Unlock()
		return
	}
	s := next(old)
	t.set(s)
	t.mu.Unlock()
	c.log(old, s)
}

func (c Commands) log(old, s Server) {
	switch {
	case old.Warmth != Cold && s.Warmth == Cold:
		c.table.Logger.Write(event.ServerCold, s.Name, "was "+old.Warmth.String())
	case old.Warmth != Warm && s.Warmth == Warm:
		c.table.Logger.Write(event.ServerWarm, s.Name)
	}
	if !old.IsLeaving() && s.IsLeaving() {
		c.table.Logger.Write(event.ServerLeaving, s.Name)
	}
}
