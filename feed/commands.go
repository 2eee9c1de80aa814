package feed

import "time"

// ApplyRecords adds a batch to the copy of a stream, and reports whether it did (see
// State.WithBatch). The caller guarantees that the batch was complete at the time
// confirmedAt. ApplyRecords calls apply with the records that are new to the copy, in the
// order of their positions. The table stays locked until apply returns, so that changes are
// applied in order.
func (c Commands) ApplyRecords(stream string, batch Batch, confirmedAt time.Time, apply func([]Record)) bool {
	return c.change(stream, confirmedAt, apply, func(s State) (State, []Record, bool) { return s.WithBatch(batch, time.Now()) })
}

// ApplyRead adds a batch that was read from the store, starting at State.ReadStart, in the
// same way as ApplyRecords.
func (c Commands) ApplyRead(stream string, batch Batch, confirmedAt time.Time, apply func([]Record)) bool {
	return c.change(stream, confirmedAt, apply, func(s State) (State, []Record, bool) {
		next, fresh, ok := s.WithBatch(batch, time.Now())
		if ok {
			next = next.WithRead(batch.End)
		}
		return next, fresh, ok
	})
}

// ApplySnapshot replaces the copy of a stream by a snapshot: the newest record of
// each key before the end of the batch. Records of the copy that are newer than the snapshot
// stay. It calls apply in the same way as ApplyRecords. A snapshot of an earlier era than
// that of the copy is ignored.
func (c Commands) ApplySnapshot(stream string, snapshot Batch, confirmedAt time.Time, apply func([]Record)) bool {
	return c.change(stream, confirmedAt, apply, func(s State) (State, []Record, bool) {
		switch {
		case snapshot.Era < s.Era:
			return s, nil, false
		case snapshot.Era > s.Era:
			s = s.withEra(snapshot.Era, time.Now())
		}
		next, fresh := s.WithSnapshot(snapshot.Records, snapshot.End)
		return next.WithRead(snapshot.End), fresh, true
	})
}

// RemoveKept removes the values of a stream that the store no longer holds, once they are no
// longer kept (see State.WithoutKept). It calls apply in the same way as ApplyRecords.
func (c Commands) RemoveKept(stream string, apply func([]Record)) {
	c.change(stream, time.Time{}, apply, func(s State) (State, []Record, bool) {
		next, removals := s.WithoutKept()
		return next, removals, false
	})
}

// Confirm records that the copy of a stream was complete at the given time, if the copy
// holds all records before a position in its era.
func (c Commands) Confirm(stream string, end Position, at time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if state := c.table.states[stream]; state.Era == end.Era && state.End >= end.Offset {
		c.table.states[stream] = state.WithConfirmation(at)
	}
}

// change calls apply under the lock, so that two changes of a stream are applied in
// order. next reports whether the copy is then complete at the given time.
func (c Commands) change(stream string, at time.Time, apply func([]Record), next func(State) (State, []Record, bool)) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	old := c.table.states[stream]
	state, fresh, isComplete := next(old)
	for _, r := range state.late {
		c.table.OnLate(stream, r)
	}
	for _, r := range state.invalid {
		c.table.OnInvalid(stream, r)
	}
	state.late, state.invalid = nil, nil
	if isComplete {
		state = state.WithConfirmation(at)
	}
	c.table.states[stream] = state
	if state.Era != old.Era {
		c.table.OnEra(stream, old, state)
	}
	if len(fresh) > 0 {
		apply(fresh)
	}
	return isComplete
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
