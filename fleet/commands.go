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

// MarkLeaving records that a process of a server said at a time that it is leaving: it gets
// no new work from then on, also if it is listed only later. It reports whether this is new.
func (c Commands) MarkLeaving(p Process, at time.Time) bool {
	isNew := false
	c.change(func(l List) List {
		isNew = !l.statements[p].isLeaving(p, at)
		if !isNew && p.StartedUnixMilli != 0 {
			return l
		}
		return l.withStatement(p, at, func(s statement) statement { return s.withLeaving(at) })
	})
	return isNew
}

// Pause records that a process of a server said that it wants no requests of this instance
// until a time.
func (c Commands) Pause(p Process, until, now time.Time) {
	c.change(func(l List) List {
		return l.withStatement(p, now, func(s statement) statement { return s.withPause(until) })
	})
}

// SetEvacuated sets whether a data centre is evacuated: its servers get no new work.
func (c Commands) SetEvacuated(dataCentre string, isEvacuated bool) {
	c.change(func(l List) List { return l.WithEvacuated(dataCentre, isEvacuated) })
}
