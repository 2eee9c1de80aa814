package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against copies that differ by the order in which records arrive, by
// repeated records, or by the instance that relayed them.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 20).Draw(t, "keys")
		var log []Record
		for i, k := range keys {
			isRemoved := rapid.Bool().Draw(t, "isRemoved")
			log = append(log, Record{Key: k, Offset: uint64(i), Value: []byte{byte(i)}, IsRemoved: isRemoved})
		}
		end := uint64(len(log))
		straight, _ := State{}.WithRecords(log, end)
		shuffled := State{}
		for _, r := range rapid.Permutation(append(log, log...)).Draw(t, "order") {
			shuffled, _ = shuffled.WithRecords([]Record{r}, r.Offset+1)
		}
		relayed, _ := State{}.WithRecords(straight.Since(0), straight.End)
		for _, s := range []State{shuffled, relayed} {
			if s.End != straight.End || len(s.Since(0)) != len(straight.Since(0)) {
				t.Fatalf("copies differ: %v, %v", s, straight)
			}
			for i, r := range s.Since(0) {
				if other := straight.Since(0)[i]; r.Offset != other.Offset || r.IsRemoved != other.IsRemoved {
					t.Fatalf("copies differ at %s: %v, %v", r.Key, r, other)
				}
			}
		}
	})
}

// Guards against a server that stays listed after the record of its removal was
// dropped from the stream, and against an old snapshot that removes a newer entry.
func TestSnapshotRemovesMissingKeys(t *testing.T) {
	is := is.New(t)
	s, _ := State{}.WithRecords([]Record{{Key: "a", Offset: 1}, {Key: "b", Offset: 2}, {Key: "c", Offset: 9}}, 10)
	s, fresh := s.WithSnapshot([]Record{{Key: "b", Offset: 5}}, 8)
	is.Equal(len(fresh), 2)
	is.Equal(fresh[0].Key, "b")
	is.Equal(fresh[0].Offset, uint64(5))
	is.Equal(fresh[1].Key, "a")
	is.Equal(fresh[1].Offset, uint64(7))
	is.True(fresh[1].IsRemoved)
	is.Equal(s.End, uint64(10))
	is.Equal(len(s.Since(9)), 1) // c is newer than the snapshot
}

// Guards against sending each heartbeat of a server to other instances, and against
// omitting a change.
func TestOnlyChangesAreSentOn(t *testing.T) {
	is := is.New(t)
	s := State{IsEquivalent: func(a, b []byte) bool { return a[0] == b[0] }}
	s, _ = s.WithRecords([]Record{{Key: "a", Offset: 0, Value: []byte("x1")}}, 1)
	s, fresh := s.WithRecords([]Record{{Key: "a", Offset: 1, Value: []byte("x2")}}, 2)
	is.Equal(len(fresh), 1)
	is.Equal(len(s.Since(1)), 0) // only a heartbeat
	is.Equal(string(s.Since(0)[0].Value), "x2")
	s, _ = s.WithRecords([]Record{{Key: "a", Offset: 2, Value: []byte("y1")}}, 3)
	is.Equal(len(s.Since(2)), 1)
	s, _ = s.WithRecords([]Record{{Key: "a", Offset: 3, IsRemoved: true, Value: []byte("y1")}}, 4)
	is.Equal(len(s.Since(3)), 1) // a removal is a change
}

// Guards against records that are applied twice or with a gap between them, and
// against the confirmation of an incomplete copy.
func TestTable(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	c, q := table.Commands(), table.Queries()
	var applied []uint64
	apply := func(rs []Record) {
		for _, r := range rs {
			applied = append(applied, r.Offset)
		}
	}
	at := time.Unix(100, 0)
	c.ApplyRecords("op", Batch{End: 2, Records: []Record{{Key: "b", Offset: 1}, {Key: "a", Offset: 0}}}, at, apply)
	c.ApplyRecords("op", Batch{End: 1, Records: []Record{{Key: "a", Offset: 0}}}, at, apply)
	c.ApplySnapshot("op", Batch{End: 3, Records: []Record{{Key: "a", Offset: 0}}}, at, apply)
	is.Equal(applied, []uint64{0, 1, 2})
	c.Confirm("op", Position{Offset: 4}, at.Add(time.Second)) // the copy ends at 3
	is.Equal(q.State("op").ConfirmedAt, at)
	c.Confirm("op", Position{Offset: 3}, at.Add(time.Second))
	is.Equal(q.State("op").ConfirmedAt, at.Add(time.Second))
	c.Invalidate()
	is.True(q.State("op").ConfirmedAt.IsZero())
	is.Equal(q.State("op").End, uint64(3))
}

// Guards against a change that a copy missed, because the value was taken back and set again
// in between, and that it doesn't pass on to a copy that saw a part of it: an evacuation that
// is in force would be missing there for good.
func TestMissedChangeIsPassedOn(t *testing.T) {
	set := func(offset uint64) Record { return Record{Key: "evacuate/a", Offset: offset, Value: []byte("{}")} }
	removal := Record{Key: "evacuate/a", Offset: 2, IsRemoved: true}
	holds := func(s State) bool {
		for _, r := range s.Since(0) {
			if r.Key == "evacuate/a" {
				return !r.IsRemoved
			}
		}
		return false
	}
	reader, _ := State{}.WithRecords([]Record{set(1), removal, set(3)}, 4)
	partial, _ := State{}.WithRecords([]Record{set(1), removal}, 3)
	before, _ := State{}.WithRecords([]Record{set(1)}, 2)
	throughCopy, _ := before.WithRecords(reader.Since(before.End), reader.End)
	throughSnapshot, _ := before.WithSnapshot([]Record{set(3)}, 4)
	for name, missed := range map[string]State{"copy": throughCopy, "snapshot": throughSnapshot} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(holds(missed))
			next, fresh := partial.WithRecords(missed.Since(partial.End), missed.End)
			is.Equal(len(fresh), 1)
			is.True(holds(next))
		})
	}
}
