package route

import "time"

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// Adopt puts a configuration in force if it is newer than the one in force and
// reports whether it did, so that an instance never goes back.
func (c Commands) Adopt(next Configuration) bool {
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

// Confirm notes that at a time no newer configuration was known to the store.
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

// Invalidate notes that the configuration may be old, such as after a break.
func (c Commands) Invalidate() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := *t.current.Load()
	e.confirmedAt = time.Time{}
	t.current.Store(&e)
}
