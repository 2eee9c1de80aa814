package route

import "time"

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// Apply replaces the configuration in force by a newer one and reports whether it
// did. An older one is ignored, so that an instance never returns to it.
func (c Commands) Apply(next Configuration) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := *t.current.Load()
	if next.Version <= e.configuration.Version {
		return false
	}
	e.configuration = next
	t.current.Store(&e)
	return true
}

// Confirm records that the store had no newer configuration at a time.
func (c Commands) Confirm(at time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := *t.current.Load()
	if at.After(e.confirmedAt) {
		e.confirmedAt = at
		t.current.Store(&e)
	}
}

// Invalidate drops the confirmation, such as after a connection loss: the
// configuration may be outdated.
func (c Commands) Invalidate() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := *t.current.Load()
	e.confirmedAt = time.Time{}
	t.current.Store(&e)
}
