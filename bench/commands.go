package bench

import "time"

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Sent counts a request at its time.
func (c Commands) Sent(a Arrival) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range t.of(a.Class) {
		one.sent++
		one.second(a.At).sent++
	}
}

// Answered counts the verdict on a reply. Latencies are those of whole and late
// answers.
func (c Commands) Answered(a Arrival, r Reply, v Verdict, reason string, took time.Duration) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if v == Whole {
		t.wholeByTarget[a.Target]++
		if at := a.At + took; at > settlingOf(t.until) && at <= t.until {
			t.settled[a.Target]++
		}
	}
	for _, one := range t.of(a.Class) {
		one.answered(a, r, v, reason, took)
	}
}

func (t *tally) answered(a Arrival, r Reply, v Verdict, reason string, took time.Duration) {
	t.verdicts[v]++
	if reason != "" {
		if t.reasons[v] == nil {
			t.reasons[v] = map[string]int64{}
		}
		t.reasons[v][reason]++
	}
	switch v {
	case Whole:
		t.second(a.At).whole++
	case Lost:
		t.second(a.At).lost++
	}
	if v != Whole && v != Late {
		return
	}
	// Values out of range can't occur, since timeouts are at most a minute.
	_ = t.latency.RecordValue(max(lowestMicros, took.Microseconds()))
	if r.FirstPiece > 0 {
		_ = t.firstPiece.RecordValue(max(lowestMicros, r.FirstPiece.Microseconds()))
	}
	for _, g := range r.Gaps {
		_ = t.gap.RecordValue(max(lowestMicros, g.Microseconds()))
	}
}
