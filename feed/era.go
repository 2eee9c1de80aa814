package feed

import (
	"cmp"
	"time"
)

// Position is an offset of a stream with the era of the store in which it was given out.
type Position struct {
	Era    uint64
	Offset uint64
}

// Compare returns a negative number if the position is before another one, 0 if both are the
// same, and a positive number otherwise. Each position of an era is before those of later
// eras.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// Position returns the position of the record.
func (r Record) Position() Position { return Position{Era: r.Era, Offset: r.Offset} }

// Position returns the end of the copy.
func (s State) Position() Position { return Position{Era: s.Era, Offset: s.End} }

// keptAt returns the record at the position of another one of its key, which has an older
// value and a later era: the store no longer holds the value of the record.
func (r Record) keptAt(other Record) Record {
	r.Era, r.Offset, r.ChangedOffset, r.IsKept = other.Era, other.Offset, other.Offset, true
	return r
}

// Batch is the records of a stream from the offset From up to, but not including, End. If
// From is 0, it holds the newest record of each key.
type Batch struct {
	Era     uint64
	From    uint64
	End     uint64
	Records []Record
}

// WithBatch returns the state with the records of a batch added at a time, those of them that
// change the state's record of their key, and whether the state holds all records before the
// end of the batch. It ignores batches that don't follow on the copy.
//
// A complete batch of a later era moves the copy to that era. Values that the batch lacks
// are kept, and values with newer versions than those of the batch stay in force. A complete
// batch of an earlier era adds what was written there, as long as such values are kept.
func (s State) WithBatch(b Batch, at time.Time) (State, []Record, bool) {
	switch {
	case b.Era == s.Era && b.From <= s.End:
		next, fresh := s.WithRecords(b.Records, b.End)
		return next, fresh, true
	case b.Era > s.Era && b.From == 0:
		next, fresh := s.withEra(b.Era, at).WithRecords(b.Records, b.End)
		return next, fresh, true
	case b.Era < s.Era && b.From == 0 && s.keepsAt(at):
		next, fresh := s.WithRecords(b.Records, 0)
		return next, fresh, false
	}
	return s, nil, false
}

// withEra returns the state at the beginning of a later era, which it entered at a time. The
// reads of the store start anew.
func (s State) withEra(era uint64, at time.Time) State {
	s.Era, s.End, s.readEnd, s.eraSince = era, 0, 0, at
	s.marks = []mark{{at: at}}
	return s
}

// mayPrecede reports whether a removal may have been written before the record of its key that
// the state has from an earlier era, or that other instances may have: then it is from the copy
// that the store came back from. The store gives out the offset of a record that it has lost,
// and those after it, only in the later era.
func (s State) mayPrecede(r Record) bool {
	old, ok := s.records[r.Key]
	return r.IsRemoved && (!ok || old.Era < r.Era && r.Offset < old.Offset)
}

// keepsAt reports whether values that the store no longer holds are kept at a time.
func (s State) keepsAt(at time.Time) bool {
	return !s.eraSince.IsZero() && at.Sub(s.eraSince) < s.KeepPeriod
}

// WithoutKept returns the state without the values that the store no longer holds, and their
// removals, if KeepPeriod has ended and the copy was confirmed since. Until then it returns
// the state as it is.
func (s State) WithoutKept() (State, []Record) {
	if s.eraSince.IsZero() || s.ConfirmedAt.Sub(s.eraSince) < s.KeepPeriod {
		return s, nil
	}
	s.eraSince = time.Time{}
	var removals []Record
	for _, r := range s.records {
		if r.Era < s.Era && !r.IsRemoved {
			removals = append(removals, Record{Key: r.Key, Era: s.Era, Offset: max(s.End, 1) - 1, IsRemoved: true})
		}
	}
	return s.WithRecords(removals, s.End)
}

// Missing returns what a copy that ends at a position lacks, and false if it lacks nothing.
// The copy of an instance that has just started or read a later era from the store (isNew)
// also lacks what the store no longer holds.
func (s State) Missing(at Position, isNew bool) (Batch, bool) {
	switch {
	case s.Era > at.Era, s.Era < at.Era && isNew:
		return Batch{Era: s.Era, End: s.End, Records: s.Since(0)}, true
	case s.Era < at.Era:
		return Batch{}, false
	case s.End > at.Offset:
		b := Batch{Era: s.Era, From: at.Offset, End: s.End, Records: s.Since(at.Offset)}
		if isNew && b.From > 0 {
			b.Records = append(b.Records, s.kept(b.From)...)
		}
		return b, true
	}
	b := Batch{Era: s.Era, From: s.End, End: s.End}
	if isNew {
		b.Records = s.kept(s.End)
	}
	return b, len(b.Records) > 0
}

// kept returns the records with values that the store no longer holds and that Since doesn't
// return for an offset.
func (s State) kept(from uint64) []Record {
	var records []Record
	for _, r := range s.records {
		if r.Era < s.Era || r.IsKept && r.ChangedOffset < from {
			records = append(records, r)
		}
	}
	sortRecords(records)
	return records
}

// KeptCount returns the number of values that the store no longer holds.
func (s State) KeptCount() int {
	count := 0
	for _, r := range s.records {
		if !r.IsRemoved && (r.Era < s.Era || r.IsKept) {
			count++
		}
	}
	return count
}
