package feed

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// modelStore is a model of a store that comes back from older copies.
type modelStore struct {
	era uint64
	log []Record
}

func (m *modelStore) put(key string, value []byte) {
	m.log = append(m.log, Record{Key: key, Value: value, IsRemoved: len(value) == 0})
}

// returnFrom brings the store back from a copy that holds the first records.
func (m *modelStore) returnFrom(count int) {
	m.era++
	m.log = slices.Clone(m.log[:count])
}

// newest returns the newest record of each key, without removed ones.
func (m *modelStore) newest() map[string]Record {
	records := map[string]Record{}
	for n, r := range m.log {
		r.Era, r.Offset = m.era, uint64(n)
		records[r.Key] = r
		if r.IsRemoved {
			delete(records, r.Key)
		}
	}
	return records
}

// read returns a copy after a read of the store.
func (m *modelStore) read(s State, at time.Time) State {
	end := uint64(len(m.log))
	if m.era == s.Era && s.ReadStart() <= end {
		b := Batch{Era: m.era, From: s.ReadStart(), End: end}
		for n, r := range m.log[b.From:] {
			r.Era, r.Offset = m.era, b.From+uint64(n)
			b.Records = append(b.Records, r)
		}
		s, _, _ = s.WithBatch(b, at)
		return s.WithRead(end).WithConfirmation(at)
	}
	if m.era > s.Era {
		s = s.withEra(m.era, at)
	}
	s, _ = s.WithSnapshot(slices.Collect(maps.Values(m.newest())), end)
	return s.WithRead(end).WithConfirmation(at)
}

// ask returns a copy after it got what it lacks from another one.
func ask(s, other State, isNew bool, at time.Time) State {
	if b, ok := other.Missing(s.Position(), isNew); ok {
		s, _, _ = s.WithBatch(b, at)
	}
	return s
}

// stepBack draws a history of a store with returns and of copies of it, and returns what is
// wrong with a copy: a version of a key that is older than one that it had, or, once all was
// written again, a version that isn't the newest.
func stepBack(t *rapid.T, empty State, hasEras bool) string {
	store := &modelStore{era: 1}
	copies := []State{empty, empty, empty}
	highest := make([]map[string]int64, len(copies))
	for n := range highest {
		highest[n] = map[string]int64{}
	}
	written := map[string]int64{}
	write := func(key string, sequence int64) {
		written[key] = sequence
		store.put(key, versioned(1, sequence, false))
	}
	at := time.Unix(1000, 0)
	check := func() string {
		for n, s := range copies {
			for key, r := range s.records {
				if r.version.Sequence < highest[n][key] {
					return fmt.Sprintf("copy %d returned from version %d of %s to %d", n, highest[n][key], key, r.version.Sequence)
				}
				highest[n][key] = r.version.Sequence
			}
		}
		return ""
	}
	era := func(m *modelStore) *modelStore {
		if hasEras {
			return m
		}
		return &modelStore{log: m.log}
	}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		at = at.Add(200 * time.Millisecond)
		key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		n := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0, 1:
			write(key, written[key]+1)
		case 2:
			store.returnFrom(rapid.IntRange(0, len(store.log)).Draw(t, "kept"))
		case 3:
			copies[n], highest[n] = empty, map[string]int64{} // the instance restarts
		case 4, 5:
			copies[n] = era(store).read(copies[n], at)
		default:
			other := rapid.IntRange(0, len(copies)-1).Draw(t, "other")
			copies[n] = ask(copies[n], copies[other], rapid.Bool().Draw(t, "isNew"), at)
		}
		if wrong := check(); wrong != "" {
			return wrong
		}
	}
	for _, key := range slices.Sorted(maps.Keys(written)) {
		write(key, written[key]) // again, as it was
		write(key, written[key]+1)
	}
	for n := range copies {
		copies[n] = era(store).read(copies[n], at)
		for key, sequence := range written {
			if have := copies[n].records[key].version.Sequence; have != sequence {
				return fmt.Sprintf("copy %d has version %d of %s in place of %d", n, have, key, sequence)
			}
		}
	}
	return check()
}

// found reports whether stepBack finds something wrong in one of many histories.
func found(t *testing.T, empty State, hasEras bool) bool {
	isFound := false
	rapid.Check(t, func(t *rapid.T) {
		if !isFound {
			isFound = stepBack(t, empty, hasEras) != ""
		}
	})
	return isFound
}

// Guards against copies that return to an older value, or never get a newer one, when the
// store comes back from older copies while instances read, restart and ask each other.
func TestCopiesNeverStepBack(t *testing.T) {
	versions := State{VersionOf: validVersion, KeepPeriod: time.Minute}
	heartbeats := State{VersionOf: validVersion, IsEquivalent: isSameState, KeepPeriod: time.Minute}
	for _, empty := range []State{versions, heartbeats} {
		rapid.Check(t, func(t *rapid.T) {
			if wrong := stepBack(t, empty, true); wrong != "" {
				t.Fatal(wrong)
			}
		})
	}
	is := is.New(t)
	is.True(found(t, versions, false))                      // a copy that compares offsets without their eras
	is.True(found(t, State{KeepPeriod: time.Minute}, true)) // a copy that takes what the store returned with
}

// Guards against values that stay in force although the operator doesn't write them again,
// or that end before the copy could see them again.
func TestKeptValuesEnd(t *testing.T) {
	at := time.Unix(1000, 0)
	store := &modelStore{era: 1}
	store.put("present", []byte("x"))
	s := store.read(State{KeepPeriod: time.Minute}, at)
	store.put("lost", []byte("x"))
	store.put("written again", []byte("x"))
	s = store.read(s, at)
	store.returnFrom(1)
	var b strings.Builder
	note := func(what string) {
		fmt.Fprintf(&b, "%s: %d kept:", what, s.KeptCount())
		for _, r := range s.Since(0) {
			if !r.IsRemoved {
				fmt.Fprintf(&b, " %q", r.Key)
			}
		}
		b.WriteByte('\n')
	}
	s = store.read(s, at)
	note("back")
	store.put("written again", []byte("x"))
	s = store.read(s, at.Add(time.Second))
	note("written again")
	var removals []Record
	s, removals = s.WithoutKept()
	note("at once")
	is.New(t).Equal(len(removals), 0)
	late, _ := s.WithoutKept() // not confirmed since
	is.New(t).Equal(late.KeptCount(), 1)
	s = store.read(s, at.Add(time.Minute))
	s, removals = s.WithoutKept()
	note("a minute later")
	is.New(t).Equal(len(removals), 1)
	_, removals = s.WithoutKept()
	is.New(t).Equal(len(removals), 0)
	goldie.New(t).Assert(t, "kept", []byte(b.String()))
}

// Guards against batches of another era that change a copy: late answers, and changes without
// what came before them.
func TestBatchesOfOtherEras(t *testing.T) {
	at := time.Unix(1000, 0)
	state := State{KeepPeriod: time.Second}
	state, _, _ = state.WithBatch(Batch{Era: 2, End: 2, Records: []Record{{Key: "a", Era: 2, Offset: 1, Value: []byte("2")}}}, at)
	record := func(era, offset uint64) []Record {
		return []Record{{Key: "b", Era: era, Offset: offset, Value: []byte("x")}}
	}
	var b strings.Builder
	for _, c := range []struct {
		name  string
		batch Batch
		at    time.Time
	}{
		{"next records", Batch{Era: 2, From: 2, End: 3, Records: record(2, 2)}, at},
		{"records after a gap", Batch{Era: 2, From: 3, End: 4, Records: record(2, 3)}, at},
		{"late records of the earlier era", Batch{Era: 1, From: 2, End: 9, Records: record(1, 8)}, at},
		{"all records of the earlier era", Batch{Era: 1, End: 9, Records: record(1, 8)}, at},
		{"all records of the earlier era, later", Batch{Era: 1, End: 9, Records: record(1, 8)}, at.Add(time.Second)},
		{"some records of the next era", Batch{Era: 3, From: 2, End: 3, Records: record(3, 2)}, at},
		{"all records of the next era", Batch{Era: 3, End: 1, Records: record(3, 0)}, at},
	} {
		s, fresh, isComplete := state.WithBatch(c.batch, c.at)
		fmt.Fprintf(&b, "%s: ends at %d in era %d, %d new, complete %v\n", c.name, s.End, s.Era, len(fresh), isComplete)
	}
	goldie.New(t).Assert(t, "batches", []byte(b.String()))
}
