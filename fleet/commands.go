package fleet

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

func (c Commands) change(with func(List) List) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	next := with(*t.current.Load())
	t.current.Store(&next)
}

// Apply takes over changes of the list in their order.
func (c Commands) Apply(changes []Change) {
	c.change(func(l List) List { return l.WithChanges(changes) })
}

// SetEvacuated notes whether operators want a data centre to get no new work.
func (c Commands) SetEvacuated(dataCentre string, isEvacuated bool) {
	c.change(func(l List) List { return l.WithEvacuated(dataCentre, isEvacuated) })
}
