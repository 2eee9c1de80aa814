package catalogue_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lycheecrank.example/catalogue"
)

// Guards against two concurrent edits of an entry that are both accepted, and
// against a verdict that depends on anything but the order of the records.
func TestRaceOfTwoOperators(t *testing.T) {
	base := apply(t, catalogue.Catalogue{}, entry(catalogue.ClassKind, "recall"), entry(catalogue.DataCentreKind, "espoo"))
	espoo, _ := base.Entry(catalogue.DataCentreKind, "espoo")
	out := editRecord("out", espoo.WithState(catalogue.TakenOut))
	renamed := espoo
	renamed.Owner = "vantaa-team"
	owner := editRecord("owner", renamed)
	for _, order := range [][]catalogue.Record{{out, owner}, {owner, out}} {
		is := is.New(t)
		c, first := base.Apply(2, order[0])
		c, second := c.Apply(3, order[1])
		is.Equal(first.Decision, catalogue.Accepted)
		is.Equal(second.Decision, catalogue.Conflict)
		is.Equal(second.Detail, "dataCentre/espoo has revision 2, but the edit is based on revision 1")
		is.Equal(c.Revision, uint64(2)) // the refused edit changes nothing
		is.Equal(c.IsTakenOut("espoo"), order[0].Edit.ID == "out")
	}
}

// Guards against an edit that is applied in part or twice, and against one that
// leaves the catalogue invalid.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	base := apply(t, catalogue.Catalogue{}, entry(catalogue.ClassKind, "recall"), pool("registry"), service("lookup", "registry"))
	class, _ := base.Entry(catalogue.ClassKind, "recall")
	deletion := func(based uint64) catalogue.Record {
		return catalogue.Record{Edit: &catalogue.Edit{ID: "del", Changes: []catalogue.Change{{ID: class.ID(), BaseRevision: based}}}}
	}
	mismatched := editRecord("mismatched", pool("a"))
	mismatched.Edit.Changes[0].ID.Name = "b"
	for _, x := range []struct {
		record catalogue.Record
		want   catalogue.Decision
	}{
		{editRecord("half", pool("new"), pool("registry")), catalogue.Conflict}, // the change of registry has base revision 0, but registry exists
		{deletion(1), catalogue.Invalid},
		{deletion(0), catalogue.Conflict},
		{editRecord("ok", service("status", "missing")), catalogue.Invalid},
		{mismatched, catalogue.Conflict},
		{editRecord("edit-1", pool("new")), catalogue.Repeated},
		{catalogue.Record{}, catalogue.NoEdit},
	} {
		next, v := base.Apply(2, x.record)
		is.Equal(v.Decision, x.want)
		is.Equal(next.Revision, base.Revision)
		is.Equal(next.Entries(), base.Entries())
		is.Equal(next.Offset, uint64(2))
	}
}

// Guards against readers that reach different catalogues after old records have
// expired.
func TestReplayAfterExpiry(t *testing.T) {
	is := is.New(t)
	records, states := poolHistory(t, 6)
	s := states[4].Snapshot()
	snapshot := catalogue.Record{Snapshot: &s}
	log := append(slices.Clone(records), numberedRecord(7, snapshot), numberedRecord(8, snapshot), numberedRecord(9, editRecord("last", pool("last"))))
	want, verdicts, err := catalogue.Replay(log)
	is.NoErr(err)
	is.Equal(len(verdicts), 9)
	is.Equal(verdicts[7].Decision, catalogue.NoEdit) // the repeated snapshot
	for earliest := 2; earliest <= 5; earliest++ {
		got, _, err := catalogue.Replay(log[earliest-1:])
		is.NoErr(err)
		is.Equal(got, want)
	}
	_, _, err = catalogue.Replay(log[5:]) // record 5 has expired, and the snapshot doesn't cover it
	is.True(errors.Is(err, catalogue.ErrGap))
	_, _, err = catalogue.Replay(append(slices.Clone(log[:3]), log[4:]...))
	is.True(errors.Is(err, catalogue.ErrGap))
}

func numberedRecord(offset uint64, r catalogue.Record) catalogue.NumberedRecord {
	return catalogue.NumberedRecord{Offset: offset, Record: r}
}

// poolHistory returns n records, of which the first adds a class and the others
// one pool each, and the catalogues by the offset of their last record.
func poolHistory(t *testing.T, n int) ([]catalogue.NumberedRecord, []catalogue.Catalogue) {
	t.Helper()
	c := catalogue.Catalogue{}
	states := []catalogue.Catalogue{c}
	var records []catalogue.NumberedRecord
	for offset := uint64(1); offset <= uint64(n); offset++ {
		r := editRecord(fmt.Sprint("e", offset), pool(fmt.Sprint("p", offset)))
		if offset == 1 {
			r = editRecord("e1", entry(catalogue.ClassKind, "recall"))
		}
		records = append(records, numberedRecord(offset, r))
		c, _ = c.Apply(offset, r)
		states = append(states, c)
	}
	return records, states
}

// drawRecord draws a snapshot of the current state or an edit of up to 3 entries,
// often with a stale revision, a repeated identifier or an invalid entry.
func drawRecord(t *rapid.T, c catalogue.Catalogue) catalogue.Record {
	if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 && c.Offset > 0 {
		s := c.Snapshot()
		return catalogue.Record{Snapshot: &s}
	}
	e := catalogue.Edit{ID: rapid.StringMatching("[a-f]{1,2}").Draw(t, "id")}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		x := rapid.SampledFrom([]catalogue.Entry{
			entry(catalogue.ClassKind, "recall"), entry(catalogue.DataCentreKind, "espoo"),
			entry(catalogue.DataCentreKind, "espoo").WithState(catalogue.TakenOut), pool("a"), pool("b"), service("s", "a"), service("s", "b"),
		}).Draw(t, "entry")
		current, _ := c.Entry(x.Kind, x.Name)
		ch := catalogue.Change{ID: x.ID(), BaseRevision: current.Revision, Entry: &x}
		if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
			ch.BaseRevision = rapid.Uint64Range(0, c.Offset).Draw(t, "based on")
		}
		if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
			ch.Entry = nil
		}
		e.Changes = append(e.Changes, ch)
	}
	return catalogue.Record{Edit: &e}
}

// Guards against instances that reach different catalogues from the same records:
// by replay, through a table with repeated records, from a snapshot after records
// have expired, or from the snapshot of a peer.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []catalogue.NumberedRecord
		states := []catalogue.Catalogue{{}}
		var verdicts []catalogue.Verdict
		for offset := uint64(1); offset <= uint64(rapid.IntRange(1, 30).Draw(t, "records")); offset++ {
			r := drawRecord(t, states[offset-1])
			next, v := states[offset-1].Apply(offset, r)
			log, states, verdicts = append(log, numberedRecord(offset, r)), append(states, next), append(verdicts, v)
		}
		last := states[len(states)-1]
		requireLast := func(how string, got catalogue.Catalogue) {
			if fmt.Sprint(got.Snapshot()) != fmt.Sprint(last.Snapshot()) {
				t.Fatalf("%s: %v, want %v", how, got.Snapshot(), last.Snapshot())
			}
		}
		replayed, replayedVerdicts, err := catalogue.Replay(log)
		if err != nil || fmt.Sprint(replayedVerdicts) != fmt.Sprint(verdicts) {
			t.Fatal(err, replayedVerdicts, verdicts)
		}
		requireLast("replay", replayed)

		earliest := rapid.IntRange(1, len(log)).Draw(t, "earliest")
		if c, _, err := catalogue.Replay(log[earliest-1:]); err == nil {
			requireLast("replay after expiry", c)
		} else if !errors.Is(err, catalogue.ErrGap) {
			t.Fatal(err)
		}

		table := catalogue.NewTable()
		begin := rapid.IntRange(0, len(log)).Draw(t, "snapshot of a peer")
		s := states[begin].Snapshot()
		if begin > 0 {
			peer := catalogue.RawRecord{Offset: uint64(begin)}
			if _, ok, err := table.Commands().Apply(peer, catalogue.Record{Snapshot: &s}); !ok || err != nil {
				t.Fatal(ok, err)
			}
		}
		for n := 0; n < len(log); {
			r := log[n]
			v, applied, err := table.Commands().Apply(catalogue.RawRecord{Offset: r.Offset}, r.Record)
			if err != nil && r.Offset != table.Queries().Current().Offset+1 && !errors.Is(err, catalogue.ErrGap) {
				t.Fatal(err)
			}
			if applied && r.Record.Snapshot == nil && fmt.Sprint(v) != fmt.Sprint(verdicts[n]) {
				t.Fatal(v, verdicts[n])
			}
			n++
			// After a reconnect some records are received again.
			if rapid.IntRange(0, 4).Draw(t, "reconnect") == 0 {
				n -= rapid.IntRange(0, min(n, 2)).Draw(t, "step back")
			}
		}
		requireLast("table", table.Queries().Current())
	})
}

// Guards against three faults: a release has no effect because the clock of another
// instance is ahead, an older copy undoes a release, and a hold stays active after
// the data centre was taken out in the catalogue.
func TestHolds(t *testing.T) {
	is := is.New(t)
	hold := catalogue.Hold{DataCentre: "espoo", Operator: "aino", EndsAt: start.Add(catalogue.MaxHoldDuration), Sequence: 900}
	here, there := catalogue.NewTable(), catalogue.NewTable()
	is.True(there.Commands().ApplyHold(hold))
	is.True(here.Commands().ApplyHold(hold))
	is.True(!here.Queries().IsOpen("espoo", start))
	is.True(here.Queries().IsOpen("espoo", start.Add(catalogue.MaxHoldDuration)))
	released := here.Commands().PlaceHold(catalogue.Hold{DataCentre: "espoo", EndsAt: start.Add(catalogue.MaxHoldDuration), Sequence: 5}.WithReleased())
	is.Equal(released.Sequence, uint64(901))
	is.True(here.Queries().IsOpen("espoo", start))
	is.True(!here.Commands().ApplyHold(hold)) // an older copy
	is.True(there.Commands().ApplyHold(released))
	is.True(there.Queries().IsOpen("espoo", start))

	second := here.Commands().PlaceHold(hold)
	is.True(!here.Queries().IsOpen("espoo", start))
	base := apply(t, catalogue.Catalogue{}, entry(catalogue.ClassKind, "recall"), entry(catalogue.DataCentreKind, "espoo"))
	espoo, _ := base.Entry(catalogue.DataCentreKind, "espoo")
	out := apply(t, base, espoo.WithState(catalogue.TakenOut))
	is.True(here.Commands().Replace(out, 0))
	is.True(!here.Queries().IsOpen("espoo", start)) // taken out in the catalogue
	espoo, _ = out.Entry(catalogue.DataCentreKind, "espoo")
	is.True(here.Commands().Replace(apply(t, out, espoo.WithState(catalogue.InService)), 0))
	is.True(here.Queries().IsOpen("espoo", start))
	is.True(!here.Commands().ApplyHold(second)) // the copy of a peer whose catalogue is behind
	is.True(here.Queries().IsOpen("espoo", start.Add(time.Second)))
}
