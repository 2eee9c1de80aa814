package quarantine

import (
	"slices"
	"time"
)

// SettleTime is how long after its first event an answer may still be cut off by a crash that
// its prompt has caused. An answer that has gone on for longer, or has ended before, is a
// success of the parts of its prompt.
const SettleTime = time.Second

// maxBegun bounds the answers that have begun lately.
const maxBegun = 4096

// begunAnswer is an answer whose first event has been sent, but which isn't a success yet.
type begunAnswer struct {
	request string
	parts   []string
	at      time.Time
}

// RecordBegin records that an engine sent the first event of its answer to a request with the
// given parts. It returns the entries that changed, because of earlier answers.
func (c Commands) RecordBegin(request string, parts []string, now time.Time) []Entry {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	// The instance that sends a request and its coordinator, which may be the same one, both
	// record the beginning.
	if !slices.ContainsFunc(t.begun, func(b begunAnswer) bool { return b.request == request }) {
		t.begun = append(t.begun, begunAnswer{request, parts, now})
	}
	t.begun = t.begun[max(0, len(t.begun)-maxBegun):]
	return t.settle(now)
}

// RecordEnd records that the answer to a request ended, or that it broke off, in which case it
// is no success. It returns the entries that changed.
func (c Commands) RecordEnd(request string, isBroken bool, now time.Time) []Entry {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.settle(now)
	n := slices.IndexFunc(t.begun, func(b begunAnswer) bool { return b.request == request })
	if n < 0 {
		return changed
	}
	ended := t.begun[n]
	t.begun = slices.Delete(t.begun, n, n+1)
	if isBroken {
		return changed
	}
	return append(changed, t.recordSuccess(ended.parts, now)...)
}

// Settle makes successes of the answers that have gone on for SettleTime. It returns the
// entries that changed.
func (c Commands) Settle(now time.Time) []Entry {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settle(now)
}

// settle is Settle for a caller that holds the lock. The answers are in the order in which
// they began.
func (t *Table) settle(now time.Time) []Entry {
	var changed []Entry
	n := 0
	for ; n < len(t.begun) && now.Sub(t.begun[n].at) >= SettleTime; n++ {
		changed = append(changed, t.recordSuccess(t.begun[n].parts, t.begun[n].at.Add(SettleTime))...)
	}
	t.begun = slices.Delete(t.begun, 0, n)
	return changed
}
