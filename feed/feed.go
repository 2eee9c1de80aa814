// Package feed keeps an instance's copies of the keyed streams of the platform's
// store: the newest record of each key. Copies are updated from the store or from
// other instances; records may arrive in any order and more than once.
//
// The store may come back from an older copy of itself. What was written after that copy is
// gone, and the offsets are given out again in the next era of the store. Offsets are
// therefore only compared together with their eras. An instance keeps what it has of the
// earlier era until it is written again (see era.go).
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
	Key string `msgpack:"key"`
	// Era is the era of the store in which Offset was given out.
	Era    uint64 `msgpack:"era,omitempty"`
	Offset uint64 `msgpack:"offset"`
	Value  []byte `msgpack:"value"`
	// IsRemoved is set if the key was removed.
	IsRemoved bool `msgpack:"isRemoved"`
	// ChangedOffset is the offset of the record that last changed the value, apart from
	// changes that State.IsEquivalent ignores. A record that was read from the store has
	// none, 0: it depends on the record before it.
	ChangedOffset uint64 `msgpack:"changed,omitempty"`
	// IsKept is set if the value was written in an earlier era than Era, and is newer than
	// the one that the store has at Offset.
	IsKept bool `msgpack:"isKept,omitempty"`
	// version is the version of the value, or of the removed value if IsRemoved is set.
	version Version
}

// State is a copy of a stream. It is an immutable value.
type State struct {
	// Era is the era of the store that the copy is of, 0 if the store names none.
	Era uint64
	// End is the offset before which all records of the era are known.
	End uint64
	// ConfirmedAt is when the copy was last known to be complete.
	ConfirmedAt time.Time
	// IsEquivalent reports whether two values of a key are equivalent, so that a change
	// from one to the other is not sent to other instances (see Since). A server that
	// renews its entry as a heartbeat writes an equivalent value. If nil, the bytes are
	// compared.
	IsEquivalent func(a, b []byte) bool
	// VersionOf returns the version of a value, or an error if the value isn't one of its
	// key. With it, a record with such a value is ignored, and so is one whose value is
	// older than one that was seen before: the store may execute a write late. If nil, the
	// record with the higher offset is the newer one. Removals then keep the removed value,
	// so that copies which receive them from other instances know its version.
	VersionOf func(key string, value []byte) (Version, error)
	// KeepPeriod is how long after a change of the era the copy keeps a value that the store
	// no longer holds, unless it is written again.
	KeepPeriod time.Duration
	records    map[string]Record
	// eraSince is when the copy changed to its era, the zero time once KeepPeriod has ended.
	eraSince time.Time
	// readEnd is the end of the last read from the store, and marks are earlier ends; see
	// ReadStart.
	readEnd uint64
	marks   []mark
	// late are the records of the last change that were ignored: the store has executed
	// them after a newer one of their key. invalid are those that were ignored because
	// their values aren't those of their keys.
	late    []Record
	invalid []Invalid
}

// Invalid is a record that was ignored, with what is wrong with its value.
type Invalid struct {
	Record
	Err error
}

// WithRecords returns the state with records added, with which it holds all records
// before the offset end. It also returns those of the records that change the state's
// record of their key, in the order of their offsets.
func (s State) WithRecords(records []Record, end uint64) (State, []Record) {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Position().Compare(b.Position()) })
	var fresh, late []Record
	var invalid []Invalid
	changed := map[string]Record{}
	for _, r := range sorted {
		if s.VersionOf != nil && len(r.Value) > 0 {
			version, err := s.VersionOf(r.Key, r.Value)
			if err != nil && !r.IsRemoved {
				invalid = append(invalid, Invalid{r, err})
				continue
			}
			r.version = version
		}
		old, ok := changed[r.Key]
		if !ok {
			old, ok = s.records[r.Key]
		}
		if ok && !s.supersedes(r, old) {
			if old.IsRemoved && r.version.isNewerThan(old.version) {
				// The removal came after the value.
				changed[r.Key] = old.withRemoved(r)
			}
			switch {
			case r.Era > old.Era:
				changed[r.Key] = old.keptAt(r)
			case r.Era == old.Era && r.Offset > old.Offset && old.version.isNewerThan(r.version):
				late = append(late, r)
			}
			continue
		}
		if ok {
			r = s.succeed(r, old)
		} else {
			r.ChangedOffset = max(r.ChangedOffset, r.Offset)
		}
		changed[r.Key] = r
		fresh = append(fresh, r)
	}
	s.End, s.late, s.invalid = max(s.End, end), late, invalid
	if len(changed) == 0 {
		return s, nil
	}
	next := make(map[string]Record, len(s.records)+len(changed))
	maps.Copy(next, s.records)
	maps.Copy(next, changed)
	s.records = next
	return s, fresh
}

// supersedes reports whether a record replaces an older one of its key.
func (s State) supersedes(r, old Record) bool {
	isLater := r.Position().Compare(old.Position()) > 0
	if !r.version.isOrderedWith(old.version) {
		return isLater
	}
	switch {
	case r.IsRemoved:
		// If the removal came first, only a newer value can have been written after it.
		return isLater || !old.IsRemoved && !old.version.isNewerThan(r.version)
	case old.IsRemoved:
		return isLater && r.version.isNewerThan(old.version)
	case r.version == old.version:
		return isLater
	}
	return r.version.isNewerThan(old.version)
}

// succeed returns the record of a key after r has replaced old. If r comes from another
// copy, there may have been other records between the two, of which only that copy knows.
func (s State) succeed(r, old Record) Record {
	if r.IsRemoved && (r.version == Version{} || old.version.isNewerThan(r.version)) {
		r = r.withRemoved(old)
	}
	switch {
	case r.Era < old.Era:
		return r.keptAt(old)
	case r.Era > old.Era, old.IsKept:
		r.ChangedOffset = r.Offset
		return r
	}
	if old.IsRemoved == r.IsRemoved && s.isEquivalent(old.Value, r.Value) {
		r.ChangedOffset = max(r.ChangedOffset, old.ChangedOffset)
		return r
	}
	r.ChangedOffset = max(r.Offset, old.Offset)
	return r
}

// withRemoved returns a removal with the value that it removed.
func (r Record) withRemoved(removed Record) Record {
	if removed.version != (Version{}) {
		r.Value, r.version = removed.Value, removed.version
	}
	return r
}

// WithSnapshot returns the state with a snapshot: the newest record of each key before
// the offset end. A key of the state that is not in the snapshot was removed by a record
// that the stream no longer holds, unless the state has it from an earlier era. The records
// may include removals.
func (s State) WithSnapshot(records []Record, end uint64) (State, []Record) {
	present := make(map[string]bool, len(records))
	records = slices.DeleteFunc(slices.Clone(records), s.mayPrecede)
	for n, r := range records {
		present[r.Key] = true
		if r.Offset >= s.End {
			// There may have been other records since the end of the copy.
			records[n].ChangedOffset = r.Offset
		}
	}
	for _, r := range s.records {
		if !present[r.Key] && !r.IsRemoved && r.Era == s.Era && r.Offset < end {
			// The offset of the removal is unknown, but it is before end.
			records = append(records, Record{Key: r.Key, Era: s.Era, Offset: end - 1, IsRemoved: true})
		}
	}
	return s.WithRecords(records, end)
}

// WithConfirmation returns the state as confirmed to be complete at the given time.
func (s State) WithConfirmation(at time.Time) State {
	if at.After(s.ConfirmedAt) {
		s.ConfirmedAt = at
		s.marks = withMark(s.marks, mark{at: at, end: s.End})
	}
	return s
}

func (s State) isEquivalent(a, b []byte) bool {
	if s.IsEquivalent == nil {
		return bytes.Equal(a, b)
	}
	return s.IsEquivalent(a, b)
}

// Since returns the records whose values changed at or after an offset of the era, in the
// order of their positions. A copy that holds all records before that offset is up to date
// after they are added to it. Records of earlier eras are among them if the offset is 0.
func (s State) Since(from uint64) []Record {
	var records []Record
	for _, r := range s.records {
		if from == 0 || r.Era == s.Era && r.ChangedOffset >= from {
			records = append(records, r)
		}
	}
	sortRecords(records)
	return records
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.Position().Compare(b.Position()), cmp.Compare(a.Key, b.Key))
	})
}
