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

func takeOf(instance string, through, previous, renewal uint64) Record {
	return Record{Kind: Take, Instance: instance, Incarnation: instance + "1", DataCentre: labCentre, Through: through, Terms: []RecordTerm{{Pool: labPool, Term: previous, PreviousRenewal: renewal}}}
}

func renewOf(instance string, term uint64) Record {
	return Record{Kind: Renew, Instance: instance, Incarnation: instance + "1", DataCentre: labCentre, Terms: []RecordTerm{{Pool: labPool, Term: term}}}
}

func releaseOf(instance string, term uint64, settled bool) Record {
	return Record{Kind: Release, Instance: instance, Incarnation: instance + "1", DataCentre: labCentre, Terms: []RecordTerm{{Pool: labPool, Term: term, Settled: settled}}}
}

// streams are the fault cases of the stream.
var streams = []struct {
	name    string
	records []Record
}{
	{"two takes from one view: the first wins", []Record{takeOf("a", 0, 0, 0), takeOf("b", 0, 0, 0), renewOf("a", 1)}},
	{"a renewal of a term that was never won", []Record{takeOf("a", 0, 0, 0), takeOf("b", 0, 0, 0), renewOf("b", 2), renewOf("a", 1)}},
	{"takes of two readers that have not seen each other's", []Record{takeOf("a", 0, 0, 0), takeOf("b", 0, 0, 0), takeOf("c", 1, 1, 1), takeOf("b", 1, 1, 1)}},
	{"a renewal overtakes a take", []Record{takeOf("a", 0, 0, 0), renewOf("a", 1), takeOf("b", 1, 1, 1), renewOf("a", 1)}},
	{"a takeover, then a late renewal of the former owner", []Record{takeOf("a", 0, 0, 0), renewOf("a", 1), takeOf("b", 2, 1, 2), renewOf("a", 1), renewOf("b", 3)}},
	{"a takeover, then a late release of the former owner", []Record{takeOf("a", 0, 0, 0), takeOf("b", 1, 1, 1), releaseOf("a", 1, true)}},
	{"a release, then a late renewal, then a take", []Record{takeOf("a", 0, 0, 0), releaseOf("a", 1, true), renewOf("a", 1), takeOf("b", 3, 1, 2)}},
	{"a late take after a release and another take", []Record{takeOf("a", 0, 0, 0), releaseOf("a", 1, true), takeOf("b", 2, 1, 2), takeOf("c", 2, 1, 2), renewOf("b", 3)}},
	{"another incarnation renews and releases in vain", []Record{takeOf("a", 0, 0, 0), {Kind: Renew, Instance: "a", Incarnation: "a2", DataCentre: labCentre, Terms: []RecordTerm{{Pool: labPool, Term: 1}}}, {Kind: Release, Instance: "a", Incarnation: "a2", DataCentre: labCentre, Terms: []RecordTerm{{Pool: labPool, Term: 1}}}}},
	{"an unreadable and an unknown record", []Record{takeOf("a", 0, 0, 0), {}, {Kind: "later", Terms: []RecordTerm{{Pool: labPool}}}, takeOf("b", 1, 1, 1)}},
}

func describe(t Term) string {
	switch {
	case t.ID == 0:
		return "nobody known"
	case t.Released:
		return fmt.Sprintf("term %d released by %s, settled=%t", t.ID, t.Instance, t.Settled)
	}
	return fmt.Sprintf("term %d of %s/%s, renewed at %d", t.ID, t.Instance, t.Incarnation, t.Renewal)
}

// Guards against readers that disagree: one that reads the whole stream, one
// that gets every record twice and out of order, and ones that start late.
func TestStreams(t *testing.T) {
	is := is.New(t)
	k := Key{labPool, labCentre}
	var out strings.Builder
	for _, c := range streams {
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
			is.True(errors.Is(err, ErrGap)) // a record may not be passed over
			for again := uint64(1); again <= offset; again++ {
				doubled, err = doubled.Apply(again, c.records[again-1])
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
	goldie.New(t).Assert(t, "streams", []byte(out.String()))
}

// Guards against a change that alters a state which a reader already holds.
func TestStateIsImmutable(t *testing.T) {
	is := is.New(t)
	first, err := NewState(0).Apply(1, takeOf("a", 0, 0, 0))
	is.NoErr(err)
	before := slices.Clone(first.Terms())
	other := takeOf("b", 1, 0, 0)
	other.Terms[0].Pool = "encoders"
	second, err := first.Apply(2, other)
	is.NoErr(err)
	third, err := second.Apply(3, renewOf("a", 1))
	is.NoErr(err)
	is.Equal(first.Terms(), before)
	is.Equal(first.Term(Key{"encoders", labCentre}), Term{Key: Key{"encoders", labCentre}})
	is.Equal(third.Term(Key{"encoders", labCentre}).Instance, "b")
	is.Equal(third.Applied(), uint64(3))
}

// Guards against names on the wire that change, and against fields that the
// decoder doesn't know.
func TestRecordsOnTheWire(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	take := takeOf("a", 7, 3, 5)
	take.Sequence = 9
	for _, r := range []Record{take, renewOf("a", 8), releaseOf("a", 8, true), {}} {
		data, err := codec.Marshal(r)
		is.NoErr(err)
		var back Record
		is.NoErr(codec.Unmarshal(data, &back))
		is.Equal(back, r)
		fmt.Fprintf(&out, "%d bytes: %q\n", len(data), data)
	}
	s, err := NewState(0).Apply(1, takeOf("a", 0, 0, 0))
	is.NoErr(err)
	data, err := codec.Marshal(s.Snapshot())
	is.NoErr(err)
	var back Snapshot
	is.NoErr(codec.Unmarshal(data, &back))
	is.Equal(back, s.Snapshot())
	fmt.Fprintf(&out, "%d bytes: %q\n", len(data), data)
	goldie.New(t).Assert(t, "wire", []byte(out.String()))
}
