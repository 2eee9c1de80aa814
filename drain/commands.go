package drain

import "time"

// Commands changes a table. Concurrent calls are safe. The commands of the zero value do
// nothing.
type Commands struct{ table *Table }

// Begin adds an attempt whose body is read.
func (c Commands) Begin(id string, arrivedAt time.Time) Key {
	if c.table == nil {
		return 0
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.lastKey++
	c.table.attempts[c.table.lastKey] = Attempt{ID: id, ArrivedAt: arrivedAt}
	return c.table.lastKey
}

// Advance records the phase of an attempt, if that hasn't ended.
func (c Commands) Advance(key Key, phase Phase) {
	if c.table == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if a, ok := c.table.attempts[key]; ok {
		c.table.attempts[key] = a.WithPhase(phase)
	}
}

// End removes an attempt.
func (c Commands) End(key Key) {
	if c.table == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	delete(c.table.attempts, key)
}
