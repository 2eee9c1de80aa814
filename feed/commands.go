package feed

import "time"

// ApplyRecords adds records to the copy of a stream. The caller guarantees that the copy
// then holds all records before the offset end, and that it was complete at the time
// confirmedAt. ApplyRecords calls apply with the records that are new to the copy, in the
// order of their offsets. The table stays locked until apply returns, so that changes are
// applied in order.
func (c Commands) ApplyRecords(stream string, records []Record, end uint64, confirmedAt time.Time, apply func([]Record)) {
	c.change(stream, confirmedAt, apply, func(s State) (State, []Record) { return s.WithRecords(records, end) })
}

// ApplyRead adds records that were read from the store, starting at State.ReadStart, in the
// same way as ApplyRecords.
func (c Commands) ApplyRead(stream string, records []Record, end uint64, confirmedAt time.Time, apply func([]Record)) {
	c.change(stream, confirmedAt, apply, func(s State) (State, []Record) {
		next, fresh := s.WithRecords(records, end)
		return next.WithRead(end), fresh
	})
}

// ApplySnapshot replaces the copy of a stream by a snapshot: the newest record of
// each key before the offset end. Records of the copy that are newer than the snapshot
// stay. It calls apply in the same way as ApplyRecords.
func (c Commands) ApplySnapshot(stream string, records []Record, end uint64, confirmedAt time.Time, apply func([]Record)) {
	c.change(stream, confirmedAt, apply, func(s State) (State, []Record) {
		next, fresh := s.WithSnapshot(records, end)
		return next.WithRead(end), fresh
	})
}

// Confirm records that the copy of a stream was complete at the given time, if the copy
// holds all records before the offset end.
func (c Commands) Confirm(stream string, end uint64, at time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if state := c.table.states[stream]; state.End >= end {
		c.table.states[stream] = state.WithConfirmation(at)
	}
}

// change calls apply under the lock, so that two changes of a stream are applied in
// order.
func (c Commands) change(stream string, at time.Time, apply func([]Record), next func(State) (State, []Record)) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	state, fresh := next(c.table.states[stream])
	for _, r := range state.late {
		c.table.OnLate(stream, r)
	}
	for _, r := range state.invalid {
		c.table.OnInvalid(stream, r)
	}
	state.late, state.invalid = nil, nil
	c.table.states[stream] = state.WithConfirmation(at)
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
