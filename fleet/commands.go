package fleet

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

// SetEvacuated sets whether a data centre is evacuated: its servers get no new work.
func (c Commands) SetEvacuated(dataCentre string, isEvacuated bool) {
	c.change(func(l List) List { return l.WithEvacuated(dataCentre, isEvacuated) })
}
