package feed

import "time"

// Take adds records that complete the copy of a stream up to an offset, as they
// were known to the store at a time. Apply gets the records that were new, in
// order and before a later Take returns to its caller.
func (c Commands) Take(stream string, records []Record, end uint64, confirmedAt time.Time, apply func([]Record)) {
	c.change(stream, confirmedAt, apply, func(s State) (State, []Record) { return s.WithRecords(records, end) })
}

// TakeSnapshot replaces the copy of a stream by the newest record of each key.
func (c Commands) TakeSnapshot(stream string, records []Record, end uint64, confirmedAt time.Time, apply func([]Record)) {
	c.change(stream, confirmedAt, apply, func(s State) (State, []Record) { return s.WithSnapshot(records, end) })
}

// Confirm notes that the copy of a stream was complete at a time if it reaches
// an offset.
func (c Commands) Confirm(stream string, end uint64, at time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if s := c.table.states[stream]; s.End >= end {
		c.table.states[stream] = s.WithConfirmation(at)
	}
}

// change applies new records under the lock, so that two changes of a stream are
// applied in their order.
func (c Commands) change(stream string, at time.Time, apply func([]Record), next func(State) (State, []Record)) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	s, fresh := next(c.table.states[stream])
	c.table.states[stream] = s.WithConfirmation(at)
	if len(fresh) > 0 {
		apply(fresh)
	}
}

// Invalidate notes that all copies may be old, such as after a break.
func (c Commands) Invalidate() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	for stream, s := range c.table.states {
		s.ConfirmedAt = time.Time{}
		c.table.states[stream] = s
	}
}
