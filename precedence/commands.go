package precedence

import (
	"slices"
	"time"
)

// Commands changes the table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Add appends the record of a decision to the chain. The order of calls is the
// order of the chain, so a caller that decides under a lock must add the record
// before it unlocks. Add never waits for the log; if the table is full, the record
// is counted as lost.
func (c Commands) Add(record Record) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if record.DecidedAt.IsZero() {
		record.DecidedAt = time.Now()
	}
	record = record.withLogPrecision()
	t.sequence++
	needed := 1
	// The gap record precedes the new record in the chain.
	if t.gap.LostCount > 0 {
		needed = 2
	}
	if t.recordCount()+needed > t.capacity {
		t.countLost(record.DecidedAt)
	} else {
		t.appendGap()
		t.appendRecord(record, t.sequence)
	}
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// TakeBatch returns an unsigned batch of the oldest records, at most limit of them;
// a limit below 1 counts as 1. The batch stays pending until ConfirmBatch or
// RequeueBatch. After RequeueBatch the same batch is returned again unchanged: the log
// may already contain it, if the append succeeded without a reply. TakeBatch reports
// false if there are no records, or if a batch is pending and not requeued.
func (c Commands) TakeBatch(limit int) (Batch, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending != nil {
		if !t.requeued {
			return Batch{}, false
		}
		t.requeued = false
		return *t.pending, true
	}
	limit = max(limit, 1)
	// Without new records, Add does not append the gap record, so it is appended here if
	// the batch and the table have space for it.
	if len(t.waiting) < limit && len(t.waiting) < t.capacity {
		t.appendGap()
	}
	count := min(len(t.waiting), limit)
	if count == 0 {
		return Batch{}, false
	}
	batch := newBatch(slices.Clone(t.waiting[:count]))
	t.waiting = t.waiting[count:]
	if len(t.waiting) == 0 {
		// Releases the memory of a buffer that grew while the log was unavailable.
		t.waiting = nil
	}
	t.pending = &batch
	return batch, true
}

// RequeueBatch makes TakeBatch return the pending batch again after a failed append.
func (c Commands) RequeueBatch(batch Batch) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending, t.requeued = &batch, true
}

// ConfirmBatch removes the pending batch after it was appended to the log.
func (c Commands) ConfirmBatch() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending, t.requeued = nil, false
}
