package fleet

import "time"

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

func (c Commands) change(update func(List) List) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	next := update(*table.current.Load())
	table.current.Store(&next)
}

// Apply applies changes to the list in order.
func (c Commands) Apply(changes []Change) {
	c.change(func(l List) List { return l.WithChanges(changes) })
}

// MarkLeaving records that a server said that it is leaving: it gets no new work until it
// is listed as another process. It reports whether this is new.
func (c Commands) MarkLeaving(id string) bool {
	isNew := false
	c.change(func(l List) List {
		s, isListed := l.servers[id]
		isNew = isListed && !s.saysLeaving
		if !isNew {
			return l
		}
		return l.withServer(id, Server.WithLeaving)
	})
	return isNew
}

// Pause records that a server wants no requests of this instance until a time.
func (c Commands) Pause(id string, until time.Time) {
	c.change(func(l List) List {
		return l.withServer(id, func(s Server) Server { return s.WithPause(until) })
	})
}

// SetEvacuated sets whether a data centre is evacuated: its servers get no new work.
func (c Commands) SetEvacuated(dataCentre string, isEvacuated bool) {
	c.change(func(l List) List { return l.WithEvacuated(dataCentre, isEvacuated) })
}
