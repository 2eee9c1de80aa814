package precedence

import (
	"slices"
	"time"
)

// Commands changes the table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Add records a decision. The order of calls is the order of the chain, so a
// caller that decides under a lock adds the record before it unlocks. Add never
// waits for the log.
func (c Commands) Add(r Record) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.At.IsZero() {
		r.At = time.Now()
	}
	r = r.withLogTimes()
	t.sequence++
	needed := 1
	if t.gap.Lost > 0 {
		needed = 2
	}
	if t.held()+needed > t.capacity {
		t.lose(r.At)
	} else {
		t.closeGap()
		t.push(r, t.sequence)
	}
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// TakeBatch takes the oldest records, at most limit (at least 1) of them, as an
// unsigned batch. After Returned it gives the same batch again, so that a batch
// whose answer was lost can stand twice in the log but never in two forms. It
// reports false if there is nothing to take or a batch is out already.
func (c Commands) TakeBatch(limit int) (Batch, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending != nil {
		if !t.returned {
			return Batch{}, false
		}
		t.returned = false
		return *t.pending, true
	}
	limit = max(limit, 1)
	if len(t.waiting) < limit && len(t.waiting) < t.capacity {
		t.closeGap()
	}
	n := min(len(t.waiting), limit)
	if n == 0 {
		return Batch{}, false
	}
	b := newBatch(slices.Clone(t.waiting[:n]))
	t.waiting = t.waiting[n:]
	if len(t.waiting) == 0 {
		// A buffer grown in an outage is not kept after it.
		t.waiting = nil
	}
	t.pending = &b
	return b, true
}

// Returned puts back the batch that was taken, after a failed append.
func (c Commands) Returned(b Batch) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending, t.returned = &b, true
}

// Appended removes the batch that was taken, after it reached the log.
func (c Commands) Appended() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending, t.returned = nil, false
}
