package feed

import "time"

// mark is the end of a copy at the time for which it was confirmed.
type mark struct {
	at  time.Time
	end uint64
}

const (
	// overlapPeriod is how far a read from the store goes back before the end of a copy
	// that was received from another instance. It is longer than the 6 s by which the
	// store may execute a write late, plus the time between a confirmation and the end
	// that belongs to it.
	overlapPeriod = 8 * time.Second
	// markInterval is the least time between two marks.
	markInterval = 500 * time.Millisecond
	// maxOverlap bounds the records that are read again. A response with more of them
	// would keep the link of a small machine busy for a tenth of a second.
	maxOverlap = 2000
)

// withMark returns the marks with one added: those of the last overlapPeriod and one
// before it.
func withMark(marks []mark, added mark) []mark {
	if n := len(marks); n > 0 && added.at.Sub(marks[n-1].at) < markInterval {
		return marks
	}
	kept := marks
	for len(kept) > 1 && added.at.Sub(kept[1].at) >= overlapPeriod {
		kept = kept[1:]
	}
	return append(append(make([]mark, 0, len(kept)+1), kept...), added)
}

// ReadStart returns the offset at which the next read from the store starts. It is the
// end of the copy, unless values have versions and the last records were received from
// another instance, which leaves out heartbeats (see State.IsEquivalent): the copy then
// doesn't know the newest version of each value, and would take a write that the store
// executes late for a newer one. The read goes back to before such a write was sent, so
// that it finds all newer ones.
func (s State) ReadStart() uint64 {
	if s.VersionOf == nil || s.IsEquivalent == nil || len(s.marks) == 0 {
		return s.End
	}
	start := max(s.marks[0].end, s.readEnd)
	if s.End > maxOverlap {
		start = max(start, s.End-maxOverlap)
	}
	return min(start, s.End)
}

// WithRead returns the state after the records before an offset were read from the store.
func (s State) WithRead(end uint64) State {
	s.readEnd = max(s.readEnd, end)
	return s
}
