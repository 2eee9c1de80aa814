package feed

import "time"

// ApplyRecords adds records that complete the copy of a stream up to an offset, as
// the store had them at a time. It calls apply with the new records, in the order of their
// offsets, before a later call for the stream changes the copy.
func (c Commands) ApplyRecords(stream string, records []Record, end uint64, confirmedAt time.Time, apply func([]Record)) {
	c.change(stream, confirmedAt, apply, func(s State) (State, []Record) { return s.WithRecords(records, end) })
}

// ApplySnapshot replaces the copy of a stream by a snapshot: the newest record of
// each key. Records of the copy that are newer than the snapshot stay.
func (c Commands) ApplySnapshot(stream string, records []Record, end uint64, confirmedAt time.Time, apply func([]Record)) {
	c.change(stream, confirmedAt, apply, func(s State) (State, []Record) { return s.WithSnapshot(records, end) })
}

// Confirm records that the copy of a stream was complete at a time if it reaches an
// offset.
func (c Commands) Confirm(stream string, end uint64, at time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if s := c.table.states[stream]; s.End >= end {
		c.table.states[stream] = s.WithConfirmation(at)
	}
}

// change calls apply under the lock, so that two changes of a stream are applied in
// order.
func (c Commands) change(stream string, at time.Time, apply func([]Record), next func(State) (State, []Record)) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	s, fresh := next(c.table.states[stream])
	c.table.states[stream] = s.WithConfirmation(at)
	if len(fresh) > 0 {
		apply(fresh)
	}
}

// Invalidate drops the confirmations of all copies, such as after a connection loss:
// they may be outdated.
func (c Commands) Invalidate() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	for stream, s := range c.table.states {
		s.ConfirmedAt = time.Time{}
		c.table.states[stream] = s
	}
}
