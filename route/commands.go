package route

import "time"

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// Apply replaces the configuration in force by a newer one and reports whether it
// did. An older configuration is ignored, so that an instance never returns to it.
func (c Commands) Apply(next Configuration) bool {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	state := *table.current.Load()
	if next.Version <= state.configuration.Version {
		return false
	}
	state.configuration = next
	table.current.Store(&state)
	return true
}

// Confirm records that the store had no newer configuration at the given time.
func (c Commands) Confirm(at time.Time) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	state := *table.current.Load()
	if at.After(state.confirmedAt) {
		state.confirmedAt = at
		table.current.Store(&state)
	}
}

// Invalidate drops the confirmation, such as after a connection loss: the
// configuration may be outdated.
func (c Commands) Invalidate() {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	state := *table.current.Load()
	state.confirmedAt = time.Time{}
	table.current.Store(&state)
}
