package feed

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// versioned returns a value with a version.
func versioned(process, sequence int64, isFinal bool) []byte {
	value := binary.BigEndian.AppendUint64(nil, uint64(process))
	value = binary.BigEndian.AppendUint64(value, uint64(sequence))
	if isFinal {
		return append(value, 1)
	}
	return append(value, 0)
}

func versionOf(value []byte) Version {
	return Version{Process: int64(binary.BigEndian.Uint64(value)), Sequence: int64(binary.BigEndian.Uint64(value[8:])), IsFinal: value[16] == 1}
}

// validVersion is versionOf for State.VersionOf. A value that is too short isn't valid.
func validVersion(_ string, value []byte) (Version, error) {
	if len(value) < len(versioned(0, 0, false)) {
		return Version{}, errInvalid
	}
	return versionOf(value), nil
}

var errInvalid = errors.New("value too short")

// isSameState ignores the sequence number, as platform.IsSameServer does.
func isSameState(a, b []byte) bool {
	if len(a) == 0 || len(b) == 0 {
		return false
	}
	first, second := versionOf(a), versionOf(b)
	return first.Process == second.Process && first.IsFinal == second.IsFinal
}

// maxLateness is the number of seconds by which the store executes a write late.
const maxLateness = 6

// execution is a record of the log, with the second in which the store executed it.
type execution struct {
	Record
	second int
}

// drawLog draws the writes of one key, one a second, some of which are executed late.
func drawLog(t *rapid.T) []execution {
	var log []execution
	process, sequence, isFinal := int64(1), int64(0), false
	for second := range rapid.IntRange(1, 40).Draw(t, "seconds") {
		lateness := 0
		switch rapid.IntRange(0, 9).Draw(t, "write") {
		case 0: // the entry is removed
			log = append(log, execution{Record{Key: "a", IsRemoved: true}, second})
			continue
		case 1: // the server restarts
			process, sequence, isFinal = process+1, 0, false
		case 2:
			isFinal = true
		case 3, 4, 5:
			lateness = rapid.IntRange(1, maxLateness).Draw(t, "lateness")
		}
		sequence++
		log = append(log, execution{Record{Key: "a", Value: versioned(process, sequence, isFinal)}, second + lateness})
	}
	slices.SortStableFunc(log, func(a, b execution) int { return cmp.Compare(a.second, b.second) })
	for n := range log {
		log[n].Offset = uint64(n)
	}
	return log
}

// currentOf returns the newest version in a log, and whether the entry is removed: no
// version was executed after the last removal that is newer than all before it.
func currentOf(log []execution) (newest Version, isRemoved bool) {
	for _, r := range log {
		if r.IsRemoved {
			isRemoved = newest.Process > 0
		} else if v := versionOf(r.Value); newest.Process == 0 || v.isNewerThan(newest) {
			newest, isRemoved = v, false
		}
	}
	return newest, isRemoved
}

// Guards against a late write that replaces a newer entry or lists a removed server again,
// at an instance that reads the store, at one that gets only changes from another, and at
// one that takes over the reads; and against newer entries that are ignored.
func TestLateWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		empty := State{IsEquivalent: isSameState, VersionOf: validVersion}
		reader, follower := empty, empty
		until := 0
		for second := 0; until < len(log); second++ {
			at := time.Unix(int64(second), 0)
			for until < len(log) && log[until].second <= second {
				until++
			}
			read := func(s State) State {
				var records []Record
				for _, r := range log[s.ReadStart():until] {
					records = append(records, r.Record)
				}
				s, _ = s.WithRecords(records, uint64(until))
				return s.WithRead(uint64(until)).WithConfirmation(at)
			}
			reader = read(reader)
			if second > 0 && rapid.Bool().Draw(t, "takesOver") {
				follower = read(follower)
			} else {
				follower, _ = follower.WithRecords(reader.Since(follower.End), reader.End)
				follower = follower.WithConfirmation(at)
			}
			newest, isRemoved := currentOf(log[:until])
			if until == 0 || newest.Process == 0 {
				continue
			}
			for name, s := range map[string]State{"reader": reader, "follower": follower} {
				r := s.records["a"]
				if r.IsRemoved != isRemoved || !isRemoved && (r.version.Process != newest.Process || r.version.IsFinal != newest.IsFinal) {
					t.Fatalf("second %d, %s: %v removed %v in place of %v removed %v\n%s", second, name, r.version, r.IsRemoved, newest, isRemoved, show(log[:until]))
				}
			}
		}
	})
}

func show(log []execution) string {
	text := ""
	for _, r := range log {
		if r.IsRemoved {
			text += fmt.Sprintf("%d at %d: removed\n", r.Offset, r.second)
			continue
		}
		text += fmt.Sprintf("%d at %d: %+v\n", r.Offset, r.second, versionOf(r.Value))
	}
	return text
}

// Guards against an instance that takes over the reads and doesn't know the newest version
// of a removed value, because it got only changes before.
func TestTakeoverKnowsRemovedVersion(t *testing.T) {
	is := is.New(t)
	log := []Record{
		{Key: "a", Offset: 0, Value: versioned(1, 1, false)},
		{Key: "a", Offset: 1, Value: versioned(1, 3, false)}, // a heartbeat
		{Key: "a", Offset: 2, IsRemoved: true},
		{Key: "a", Offset: 3, Value: versioned(1, 2, false)}, // executed late
	}
	s := State{IsEquivalent: isSameState, VersionOf: validVersion}
	s, _ = s.WithRecords(log[:1], 1)
	s = s.WithConfirmation(time.Unix(1, 0))
	s, _ = s.WithRecords(nil, 2)
	s = s.WithConfirmation(time.Unix(3, 0))
	isRemovedAfterReadFrom := func(start uint64) bool {
		s, _ := s.WithRecords(log[start:], 4)
		return s.records["a"].IsRemoved
	}
	is.True(isRemovedAfterReadFrom(s.ReadStart()))
	is.True(!isRemovedAfterReadFrom(s.End)) // the check finds the read without overlap
}

// Guards against an instance that keeps the late write of its snapshot after its restart,
// although another instance knows that the server was removed or is draining.
func TestLateWriteInSnapshot(t *testing.T) {
	for _, last := range []Record{
		{Key: "a", Offset: 2, IsRemoved: true},
		{Key: "a", Offset: 2, Value: versioned(1, 3, true)},
	} {
		is := is.New(t)
		late := Record{Key: "a", Offset: 3, Value: versioned(1, 1, false)}
		empty := State{IsEquivalent: isSameState, VersionOf: validVersion}
		reader, _ := empty.WithRecords([]Record{{Key: "a", Offset: 1, Value: versioned(1, 2, false)}, last, late}, 4)
		restarted, _ := empty.WithSnapshot([]Record{late}, 4)
		is.True(!restarted.records["a"].IsRemoved)
		restarted, fresh := restarted.WithRecords(reader.Since(0), reader.End)
		is.Equal(len(fresh), 1)
		is.Equal(restarted.records["a"].IsRemoved, last.IsRemoved)
		is.Equal(restarted.records["a"].version, reader.records["a"].version)
		_, fresh = restarted.WithSnapshot([]Record{late}, 5)
		is.Equal(len(fresh), 0)
	}
}

// Guards against an overlap that is read again in each read, that never ends because a
// response holds only a part of it, or that takes a large response.
func TestReadStart(t *testing.T) {
	is := is.New(t)
	s := State{IsEquivalent: isSameState, VersionOf: validVersion}
	for second := range 20 {
		s, _ = s.WithRecords(nil, uint64(10*(second+1)))
		s = s.WithConfirmation(time.Unix(int64(second), 0))
	}
	is.Equal(s.End, uint64(200))
	is.Equal(s.ReadStart(), uint64(120)) // at second 11, overlapPeriod before the last one
	is.Equal(s.WithRead(150).ReadStart(), uint64(150))
	is.Equal(s.WithRead(200).ReadStart(), uint64(200))
	s, _ = s.WithRecords(nil, 100_000)
	is.Equal(s.ReadStart(), uint64(100_000-maxOverlap))
	s.VersionOf = nil
	is.Equal(s.ReadStart(), s.End)
}

// Guards against a value of another writer that replaces the one of its key, or hides it in
// a snapshot.
func TestInvalidValueIsIgnored(t *testing.T) {
	is := is.New(t)
	invalid := 0
	table := NewTable()
	table.OnInvalid = func(stream string, r Invalid) {
		is.Equal(stream, "servers")
		is.True(errors.Is(r.Err, errInvalid))
		invalid++
	}
	table.AddStream("servers", State{IsEquivalent: isSameState, VersionOf: validVersion})
	c, applied := table.Commands(), 0
	apply := func(fresh []Record) { applied += len(fresh) }
	valid := Record{Key: "a", Offset: 1, Value: versioned(1, 1, false)}
	c.ApplyRead("servers", Batch{End: 2, Records: []Record{valid}}, time.Now(), apply)
	c.ApplyRead("servers", Batch{End: 4, Records: []Record{{Key: "a", Offset: 2, Value: []byte("x")}, {Key: "b", Offset: 3, Value: []byte("x")}}}, time.Now(), apply)
	c.ApplySnapshot("servers", Batch{End: 4, Records: []Record{{Key: "a", Offset: 2, Value: []byte("x")}}}, time.Now(), apply)
	is.Equal(invalid, 3)
	is.Equal(applied, 1)
	s := table.Queries().State("servers")
	is.Equal(s.End, uint64(4))
	is.Equal(len(s.Since(0)), 1)
	is.Equal(s.Since(0)[0].Value, valid.Value)
	c.ApplyRead("servers", Batch{End: 5, Records: []Record{{Key: "a", Offset: 4, IsRemoved: true}}}, time.Now(), apply)
	is.Equal(applied, 2)
}
