package ownership

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/codec"
)

func acquireBy(instance string, through, previous, renewal uint64) Record {
	return Record{Kind: Acquire, Instance: instance, Incarnation: instance + "1", DataCentre: testDataCentre, AppliedOffset: through, Terms: []RecordTerm{{Pool: testPool, Term: previous, PreviousRenewal: renewal}}}
}

func renewBy(instance string, term uint64) Record {
	return Record{Kind: Renew, Instance: instance, Incarnation: instance + "1", DataCentre: testDataCentre, Terms: []RecordTerm{{Pool: testPool, Term: term}}}
}

func releaseBy(instance string, term uint64, drained bool) Record {
	return Record{Kind: Release, Instance: instance, Incarnation: instance + "1", DataCentre: testDataCentre, Terms: []RecordTerm{{Pool: testPool, Term: term, Drained: drained}}}
}

// recordSequences are sequences of concurrent, late and invalid records.
var recordSequences = []struct {
	name    string
	records []Record
}{
	{"two acquisitions decided at the same offset: the first is valid", []Record{acquireBy("a", 0, 0, 0), acquireBy("b", 0, 0, 0), renewBy("a", 1)}},
	{"a renewal of a term that was never valid", []Record{acquireBy("a", 0, 0, 0), acquireBy("b", 0, 0, 0), renewBy("b", 2), renewBy("a", 1)}},
	{"acquisitions of two readers that have not read each other's", []Record{acquireBy("a", 0, 0, 0), acquireBy("b", 0, 0, 0), acquireBy("c", 1, 1, 1), acquireBy("b", 1, 1, 1)}},
	{"a renewal is appended before an acquisition decided without it", []Record{acquireBy("a", 0, 0, 0), renewBy("a", 1), acquireBy("b", 1, 1, 1), renewBy("a", 1)}},
	{"a takeover, then a late renewal of the former owner", []Record{acquireBy("a", 0, 0, 0), renewBy("a", 1), acquireBy("b", 2, 1, 2), renewBy("a", 1), renewBy("b", 3)}},
	{"a takeover, then a late release of the former owner", []Record{acquireBy("a", 0, 0, 0), acquireBy("b", 1, 1, 1), releaseBy("a", 1, true)}},
	{"a release, then a late renewal, then an acquisition", []Record{acquireBy("a", 0, 0, 0), releaseBy("a", 1, true), renewBy("a", 1), acquireBy("b", 3, 1, 2)}},
	{"a late acquisition after a release and another acquisition", []Record{acquireBy("a", 0, 0, 0), releaseBy("a", 1, true), acquireBy("b", 2, 1, 2), acquireBy("c", 2, 1, 2), renewBy("b", 3)}},
	{"renewal and release by another incarnation are ignored", []Record{acquireBy("a", 0, 0, 0), {Kind: Renew, Instance: "a", Incarnation: "a2", DataCentre: testDataCentre, Terms: []RecordTerm{{Pool: testPool, Term: 1}}}, {Kind: Release, Instance: "a", Incarnation: "a2", DataCentre: testDataCentre, Terms: []RecordTerm{{Pool: testPool, Term: 1}}}}},
	{"a record that can't be decoded and one of an unknown kind", []Record{acquireBy("a", 0, 0, 0), {}, {Kind: "later", Terms: []RecordTerm{{Pool: testPool}}}, acquireBy("b", 1, 1, 1)}},
}

func describe(t Term) string {
	switch {
	case t.ID == 0:
		return "no owner known"
	case t.Released:
		return fmt.Sprintf("term %d released by %s, drained=%t", t.ID, t.Instance, t.Drained)
	}
	return fmt.Sprintf("term %d of %s/%s, renewed at %d", t.ID, t.Instance, t.Incarnation, t.LastRenewal)
}

// Guards against readers that disagree: one that reads the whole stream, one that
// gets every record several times, and ones that start late.
func TestRecordSequences(t *testing.T) {
	is := is.New(t)
	k := Key{testPool, testDataCentre}
	var out strings.Builder
	for _, c := range recordSequences {
		fmt.Fprintf(&out, "%s\n", c.name)
		whole, doubled := NewState(0), NewState(0)
		var late []State
		for n, r := range c.records {
			offset := uint64(n + 1)
			late = append(late, NewState(offset-1))
			var err error
			whole, err = whole.Apply(offset, r)
			is.NoErr(err)
			_, err = doubled.Apply(offset+1, r)
			is.True(errors.Is(err, ErrGap)) // no record may be skipped
			for o := uint64(1); o <= offset; o++ {
				doubled, err = doubled.Apply(o, c.records[o-1])
				is.NoErr(err)
			}
			is.Equal(doubled.Terms(), whole.Terms())
			is.Equal(whole.Snapshot().State().Term(k), whole.Term(k))
			fmt.Fprintf(&out, "  %d %-8s %s: %s\n", offset, r.Kind, r.Instance, describe(whole.Term(k)))
			for i := range late {
				late[i], err = late[i].Apply(offset, r)
				is.NoErr(err)
			}
		}
		for i, s := range late[1:] {
			fmt.Fprintf(&out, "  read from %d on: %s\n", i+2, describe(s.Term(k)))
		}
	}
	goldie.New(t).Assert(t, "recordSequences", []byte(out.String()))
}

// Guards against a change of a state that a reader already holds.
func TestStateIsImmutable(t *testing.T) {
	is := is.New(t)
	first, err := NewState(0).Apply(1, acquireBy("a", 0, 0, 0))
	is.NoErr(err)
	before := slices.Clone(first.Terms())
	other := acquireBy("b", 1, 0, 0)
	other.Terms[0].Pool = "encoders"
	second, err := first.Apply(2, other)
	is.NoErr(err)
	third, err := second.Apply(3, renewBy("a", 1))
	is.NoErr(err)
	is.Equal(first.Terms(), before)
	is.Equal(first.Term(Key{"encoders", testDataCentre}), Term{Key: Key{"encoders", testDataCentre}})
	is.Equal(third.Term(Key{"encoders", testDataCentre}).Instance, "b")
	is.Equal(third.Applied(), uint64(3))
}

// Guards against changed names in the encoding, and against fields that the
// decoder doesn't know.
func TestWireFormat(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	acquisition := acquireBy("a", 7, 3, 5)
	acquisition.Sequence = 9
	for _, r := range []Record{acquisition, renewBy("a", 8), releaseBy("a", 8, true), {}} {
		data, err := codec.Marshal(r)
		is.NoErr(err)
		var back Record
		is.NoErr(codec.Unmarshal(data, &back))
		is.Equal(back, r)
		fmt.Fprintf(&out, "%d bytes: %q\n", len(data), data)
	}
	s, err := NewState(0).Apply(1, acquireBy("a", 0, 0, 0))
	is.NoErr(err)
	data, err := codec.Marshal(s.Snapshot())
	is.NoErr(err)
	var back Snapshot
	is.NoErr(codec.Unmarshal(data, &back))
	is.Equal(back, s.Snapshot())
	fmt.Fprintf(&out, "%d bytes: %q\n", len(data), data)
	goldie.New(t).Assert(t, "wire", []byte(out.String()))
}
