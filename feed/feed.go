// Package feed keeps an instance's copies of the keyed streams of the platform's
// store: the newest record of each key. Copies are updated from the store or from
// other instances; records may arrive in any order and more than once.
package feed

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Record is a record of a key. A State holds the newest one of each key.
type Record struct {
	Key    string `msgpack:"key"`
	Offset uint64 `msgpack:"offset"`
	Value  []byte `msgpack:"value"`
	// IsRemoved is set if the key was removed.
	IsRemoved bool `msgpack:"isRemoved"`
	// changedOffset is the offset of the record that last changed the value, apart from
	// changes that State.IsEquivalent ignores.
	changedOffset uint64
}

// State is a copy of a stream. It is an immutable value.
type State struct {
	// End is the offset before which all records are known.
	End uint64
	// ConfirmedAt is when the copy was last known to be complete.
	ConfirmedAt time.Time
	// IsEquivalent reports whether two values of a key are equivalent, so that a change
	// from one to the other is not sent to other instances (see Since). A server that
	// renews its entry as a heartbeat writes an equivalent value. If nil, the bytes are
	// compared.
	IsEquivalent func(a, b []byte) bool
	records      map[string]Record
}

// WithRecords returns the state with records added, with which it holds all records
// before the offset end. It also returns those of the records that are newer than the
// state's record of their key, in the order of their offsets.
func (s State) WithRecords(records []Record, end uint64) (State, []Record) {
	var fresh []Record
	for _, r := range records {
		old, ok := s.records[r.Key]
		if ok && r.Offset <= old.Offset {
			continue
		}
		r.changedOffset = r.Offset
		if ok && old.IsRemoved == r.IsRemoved && s.isEquivalent(old.Value, r.Value) {
			r.changedOffset = old.changedOffset
		}
		fresh = append(fresh, r)
	}
	slices.SortFunc(fresh, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	s.End = max(s.End, end)
	if len(fresh) == 0 {
		return s, nil
	}
	next := make(map[string]Record, len(s.records)+len(fresh))
	maps.Copy(next, s.records)
	for _, r := range fresh {
		next[r.Key] = r
	}
	s.records = next
	return s, fresh
}

// WithSnapshot returns the state with a snapshot: the newest record of each key before
// the offset end. A key of the state that is not in the snapshot was removed by a record
// that the stream no longer holds.
func (s State) WithSnapshot(records []Record, end uint64) (State, []Record) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for _, r := range s.records {
		if !present[r.Key] && !r.IsRemoved && r.Offset < end {
			// The offset of the removal is unknown, but it is before end.
			records = append(records, Record{Key: r.Key, Offset: end - 1, IsRemoved: true})
		}
	}
	return s.WithRecords(records, end)
}

// WithConfirmation returns the state as confirmed to be complete at the given time.
func (s State) WithConfirmation(at time.Time) State {
	if at.After(s.ConfirmedAt) {
		s.ConfirmedAt = at
	}
	return s
}

func (s State) isEquivalent(a, b []byte) bool {
	if s.IsEquivalent == nil {
		return bytes.Equal(a, b)
	}
	return s.IsEquivalent(a, b)
}

// Since returns the records whose values changed at or after an offset, in the order of
// their offsets. A copy that holds all records before that offset is up to date after
// they are added to it.
func (s State) Since(from uint64) []Record {
	var records []Record
	for _, r := range s.records {
		if r.changedOffset >= from {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
	return records
}
