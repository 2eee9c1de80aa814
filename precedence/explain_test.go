package precedence_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/precedence"
)

var (
	owner = precedence.Origin{Instance: "helsinki-a-1", Incarnation: "i1"}
	other = precedence.Origin{Instance: "espoo-2", Incarnation: "i7"}
)

// catalogueAt has three classes; lab-intake is entitled to inspection, the
// others to standard. Revisions above 90 can't be had.
func catalogueAt(revision uint64) (precedence.ClassView, error) {
	if revision > 90 {
		return precedence.ClassView{}, errors.New("the log no longer has it")
	}
	ranks := map[string]int{"urgent": 0, "inspection": 1, "standard": 2}
	classes := map[string]string{"lab-intake": "inspection", "portal": "standard", "importers": "standard"}
	return precedence.ClassView{
		ClassRank:      func(class string) (int, bool) { r, ok := ranks[class]; return r, ok },
		WorkspaceClass: func(workspace string) (string, bool) { c, ok := classes[workspace]; return c, ok },
	}, nil
}

// decided describes a request; its methods return the records of its decisions.
type decided struct {
	id, workspace, class string
	rank                 int
	arrival, deadline    int
	revision             uint64
}

func (d decided) record(kind precedence.Kind, milliseconds int) precedence.Record {
	return precedence.Record{
		Kind: kind, RequestID: d.id, Workspace: d.workspace, Target: "findings", Class: d.class, Rank: d.rank,
		Arrival: at(d.arrival), Deadline: at(d.deadline), At: at(milliseconds), Revision: d.revision,
	}
}

func (d decided) admitted() precedence.Record { return d.record(precedence.Admission, d.arrival) }

func (d decided) dispatched(milliseconds int, pool, reason string) precedence.Record {
	r := d.record(precedence.Dispatch, milliseconds)
	r.Stage, r.Pool, r.Server, r.Attempt, r.Reason, r.Waiting = "rerank", pool, pool+"-gpu-1", 1, reason, 3
	return r
}

func (d decided) refused(milliseconds int, pool, reason string) precedence.Record {
	r := d.record(precedence.Refusal, milliseconds)
	r.Reason = reason
	if pool != "" {
		r.Stage, r.Pool = "rerank", pool
	}
	return r
}

func (d decided) finished(milliseconds int, outcome string) precedence.Record {
	r := d.record(precedence.Finish, milliseconds)
	r.Outcome = outcome
	return r
}

// Guards against an explanation that names the wrong request, the wrong rule or
// a rule that the records don't show, and against one that hides a broken
// promise.
func TestExplain(t *testing.T) {
	lab := decided{"lab", "lab-intake", "inspection", 1, 0, 6000, 41}
	late := decided{"late", "lab-intake", "inspection", 1, 5, 7000, 41}
	portal := decided{"portal", "portal", "standard", 2, 1, 5000, 41}
	importer := decided{"importer", "importers", "standard", 2, 2, 5500, 41}
	upgraded := decided{"upgraded", "portal", "inspection", 1, 2, 5500, 41}
	misranked := decided{"misranked", "portal", "standard", 0, 2, 5500, 41}
	unknown := decided{"unknown", "portal", "standard", 2, 2, 5500, 91}
	const pool = "rerank-small"
	one := func(records ...precedence.Record) []precedence.Batch { return chain(t, owner, 4, records...) }
	two := func(a, b []precedence.Record) []precedence.Batch {
		return append(chain(t, owner, 4, a...), chain(t, other, 4, b...)...)
	}
	tests := []struct {
		name    string
		batches []precedence.Batch
		a, b    string
	}{
		{"classRank", one(portal.admitted(), lab.admitted(), lab.dispatched(10, pool, ""), portal.dispatched(20, pool, ""), lab.finished(30, "ran"), portal.finished(40, "ran")), "portal", "lab"},
		{"classBroken", one(lab.admitted(), portal.admitted(), portal.dispatched(10, pool, ""), lab.dispatched(20, pool, "")), "lab", "portal"},
		{"noServerFree", one(lab.admitted(), portal.admitted(), portal.dispatched(10, pool, precedence.ReasonNoServerFree), lab.dispatched(20, pool, "")), "lab", "portal"},
		{"workspaceShare", one(portal.admitted(), importer.admitted(), importer.dispatched(10, pool, ""), portal.dispatched(20, pool, "")), "portal", "importer"},
		{"deadline", one(lab.admitted(), late.admitted(), lab.dispatched(10, pool, ""), late.dispatched(20, pool, "")), "lab", "late"},
		{"deadlineBroken", one(lab.admitted(), late.admitted(), late.dispatched(10, pool, ""), lab.dispatched(20, pool, "")), "lab", "late"},
		{"arrival", one(portal.admitted(), portal.dispatched(2, pool, ""), late.admitted(), late.dispatched(20, pool, "")), "late", "portal"},
		{"refusedAtAdmission", one(lab.admitted(), lab.dispatched(10, pool, ""), portal.refused(12, "", "workspaceLimit")), "portal", "lab"},
		{"refusedInQueue", one(lab.admitted(), portal.admitted(), lab.dispatched(10, pool, ""), portal.refused(4000, pool, "deadlineUnattainable")), "portal", "lab"},
		{"refusedThoughBetter", one(lab.admitted(), portal.admitted(), portal.dispatched(10, pool, ""), lab.refused(4000, pool, "deadlineUnattainable")), "lab", "portal"},
		{"neither", one(lab.refused(1, "", "noCatalogue"), portal.admitted()), "lab", "portal"},
		{"separatePools", one(lab.admitted(), portal.admitted(), portal.dispatched(10, "rerank-large", ""), lab.dispatched(20, pool, "")), "lab", "portal"},
		{"separateOwners", two([]precedence.Record{lab.admitted(), lab.dispatched(20, pool, "")}, []precedence.Record{portal.admitted(), portal.dispatched(10, pool, "")}), "lab", "portal"},
		{"classNotEntitled", one(upgraded.admitted(), portal.admitted(), upgraded.dispatched(10, pool, ""), portal.dispatched(20, pool, "")), "upgraded", "portal"},
		{"rankNotEntitled", one(misranked.admitted(), portal.admitted(), misranked.dispatched(10, pool, ""), portal.dispatched(20, pool, "")), "misranked", "portal"},
		{"catalogueGone", one(unknown.admitted(), lab.admitted(), lab.dispatched(10, pool, ""), unknown.dispatched(20, pool, "")), "unknown", "lab"},
		{"byKeyWithGap", gapChain(t), "key-r1", "r9"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, err := precedence.Explain(tt.batches, catalogueAt, tt.a, tt.b)
			is.NoErr(err)
			data, err := precedence.JSON(e)
			is.NoErr(err)
			golden(t).Assert(t, "explain_"+tt.name, append([]byte(e.Text()), data...))
			swapped, err := precedence.Explain(tt.batches, catalogueAt, tt.b, tt.a)
			is.NoErr(err)
			is.Equal(swapped.Comparisons[0].First, e.Comparisons[0].First) // the order of the question doesn't matter
			is.Equal(swapped.Comparisons[0].Verdict, e.Comparisons[0].Verdict)
		})
	}
}

// Guards against an explanation that rests on changed or forged records
// without saying so.
func TestExplainOfFaultyRecords(t *testing.T) {
	is := is.New(t)
	batches := gapChain(t)
	batches[1] = resigned(t, batches[1], nil)
	e, err := precedence.Explain(batches, catalogueAt, "r1", "r4")
	is.NoErr(err)
	golden(t).Assert(t, "explain_changed", []byte(e.Text()))

	batches[1] = resigned(t, batches[1], signingKey(2))
	_, err = precedence.Explain(batches, catalogueAt, "r1", "r4")
	is.True(errors.Is(err, precedence.ErrNotFound)) // a forged record is none
	e, err = precedence.Explain(batches, catalogueAt, "r1", "r2")
	is.NoErr(err)
	is.Equal(len(e.Findings), 2) // forged, and missing in its place
}

// Guards against a request of a repeated key for which the one that ran is
// passed over: the key stands for the request that was dispatched.
func TestExplainTakesDispatchedRequestOfKey(t *testing.T) {
	is := is.New(t)
	loser, winner := decision("loser", 1), decision("winner", 2)
	loser.Kind, loser.Reason, loser.Key, winner.Key = precedence.Refusal, "keyRunning", "k", "k"
	e, err := precedence.Explain(chain(t, owner, 4, loser, winner, decision("next", 3)), catalogueAt, "k", "next")
	is.NoErr(err)
	is.Equal(e.A.RequestID, "winner")
	is.Equal(e.Comparisons[0].First, "winner")
}
