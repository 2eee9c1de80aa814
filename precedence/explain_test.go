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

// catalogueAt returns a catalogue with three classes; the workspace lab-intake is
// entitled to inspection, the others to standard. Revisions above 90 are unavailable.
func catalogueAt(revision uint64) (precedence.ClassView, error) {
	if revision > 90 {
		return precedence.ClassView{}, errors.New("no longer retained in the log")
	}
	ranks := map[string]int{"urgent": 0, "inspection": 1, "standard": 2}
	classes := map[string]string{"lab-intake": "inspection", "portal": "standard", "importers": "standard"}
	return precedence.ClassView{
		ClassRank:      func(class string) (int, bool) { r, ok := ranks[class]; return r, ok },
		WorkspaceClass: func(workspace string) (string, bool) { c, ok := classes[workspace]; return c, ok },
	}, nil
}

// testRequest describes a request; its methods return the records of its decisions.
type testRequest struct {
	id, workspace, class string
	rank                 int
	arrival, deadline    int
	revision             uint64
}

func (r testRequest) record(kind precedence.Kind, milliseconds int) precedence.Record {
	return precedence.Record{
		Kind: kind, RequestID: r.id, Workspace: r.workspace, Target: "findings", Class: r.class, Rank: r.rank,
		Arrival: at(r.arrival), Deadline: at(r.deadline), DecidedAt: at(milliseconds), Revision: r.revision,
	}
}

func (r testRequest) admitted() precedence.Record { return r.record(precedence.Admission, r.arrival) }

func (r testRequest) dispatched(milliseconds int, pool, reason string) precedence.Record {
	record := r.record(precedence.Dispatch, milliseconds)
	record.Stage, record.Pool, record.Server, record.Attempt, record.Reason, record.Waiting = "rerank", pool, pool+"-gpu-1", 1, reason, 3
	return record
}

func (r testRequest) refused(milliseconds int, pool, reason string) precedence.Record {
	record := r.record(precedence.Refusal, milliseconds)
	record.Reason = reason
	if pool != "" {
		record.Stage, record.Pool = "rerank", pool
	}
	return record
}

func (r testRequest) finished(milliseconds int, outcome string) precedence.Record {
	record := r.record(precedence.Finish, milliseconds)
	record.Outcome = outcome
	return record
}

// Guards against an explanation with the wrong request, with a wrong or unproven cause,
// and against one that hides a violation of the order of service.
func TestExplain(t *testing.T) {
	lab := testRequest{"lab", "lab-intake", "inspection", 1, 0, 6000, 41}
	late := testRequest{"late", "lab-intake", "inspection", 1, 5, 7000, 41}
	portal := testRequest{"portal", "portal", "standard", 2, 1, 5000, 41}
	importer := testRequest{"importer", "importers", "standard", 2, 2, 5500, 41}
	upgraded := testRequest{"upgraded", "portal", "inspection", 1, 2, 5500, 41}
	misranked := testRequest{"misranked", "portal", "standard", 0, 2, 5500, 41}
	unknown := testRequest{"unknown", "portal", "standard", 2, 2, 5500, 91}
	const pool = "rerank-small"
	oneChain := func(records ...precedence.Record) []precedence.Batch { return chain(t, owner, 4, records...) }
	twoChains := func(ownerRecords, otherRecords []precedence.Record) []precedence.Batch {
		return append(chain(t, owner, 4, ownerRecords...), chain(t, other, 4, otherRecords...)...)
	}
	tests := []struct {
		name               string
		batches            []precedence.Batch
		requestA, requestB string
	}{
		{"classRank", oneChain(portal.admitted(), lab.admitted(), lab.dispatched(10, pool, ""), portal.dispatched(20, pool, ""), lab.finished(30, "ran"), portal.finished(40, "ran")), "portal", "lab"},
		{"classRankViolated", oneChain(lab.admitted(), portal.admitted(), portal.dispatched(10, pool, ""), lab.dispatched(20, pool, "")), "lab", "portal"},
		{"noServerFree", oneChain(lab.admitted(), portal.admitted(), portal.dispatched(10, pool, precedence.ReasonNoServerFree), lab.dispatched(20, pool, "")), "lab", "portal"},
		{"workspaceShare", oneChain(portal.admitted(), importer.admitted(), importer.dispatched(10, pool, ""), portal.dispatched(20, pool, "")), "portal", "importer"},
		{"deadline", oneChain(lab.admitted(), late.admitted(), lab.dispatched(10, pool, ""), late.dispatched(20, pool, "")), "lab", "late"},
		{"deadlineViolated", oneChain(lab.admitted(), late.admitted(), late.dispatched(10, pool, ""), lab.dispatched(20, pool, "")), "lab", "late"},
		{"arrival", oneChain(portal.admitted(), portal.dispatched(2, pool, ""), late.admitted(), late.dispatched(20, pool, "")), "late", "portal"},
		{"refusedAtAdmission", oneChain(lab.admitted(), lab.dispatched(10, pool, ""), portal.refused(12, "", "workspaceLimit")), "portal", "lab"},
		{"refusedInQueue", oneChain(lab.admitted(), portal.admitted(), lab.dispatched(10, pool, ""), portal.refused(4000, pool, "deadlineUnattainable")), "portal", "lab"},
		{"refusedDespiteBetterRank", oneChain(lab.admitted(), portal.admitted(), portal.dispatched(10, pool, ""), lab.refused(4000, pool, "deadlineUnattainable")), "lab", "portal"},
		{"neither", oneChain(lab.refused(1, "", "noCatalogue"), portal.admitted()), "lab", "portal"},
		{"separatePools", oneChain(lab.admitted(), portal.admitted(), portal.dispatched(10, "rerank-large", ""), lab.dispatched(20, pool, "")), "lab", "portal"},
		{"separateOwners", twoChains([]precedence.Record{lab.admitted(), lab.dispatched(20, pool, "")}, []precedence.Record{portal.admitted(), portal.dispatched(10, pool, "")}), "lab", "portal"},
		{"classNotEntitled", oneChain(upgraded.admitted(), portal.admitted(), upgraded.dispatched(10, pool, ""), portal.dispatched(20, pool, "")), "upgraded", "portal"},
		{"rankNotEntitled", oneChain(misranked.admitted(), portal.admitted(), misranked.dispatched(10, pool, ""), portal.dispatched(20, pool, "")), "misranked", "portal"},
		{"catalogueUnavailable", oneChain(unknown.admitted(), lab.admitted(), lab.dispatched(10, pool, ""), unknown.dispatched(20, pool, "")), "unknown", "lab"},
		{"byKeyWithGap", gapChain(t), "key-r1", "r9"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			explanation, err := precedence.Explain(tt.batches, catalogueAt, tt.requestA, tt.requestB)
			is.NoErr(err)
			data, err := precedence.JSON(explanation)
			is.NoErr(err)
			golden(t).Assert(t, "explain_"+tt.name, append([]byte(explanation.Text()), data...))
			swapped, err := precedence.Explain(tt.batches, catalogueAt, tt.requestB, tt.requestA)
			is.NoErr(err)
			is.Equal(swapped.Comparisons[0].FirstRequestID, explanation.Comparisons[0].FirstRequestID) // the order of the arguments doesn't matter
			is.Equal(swapped.Comparisons[0].Verdict, explanation.Comparisons[0].Verdict)
		})
	}
}

// Guards against an explanation that is based on changed or forged records without a
// finding.
func TestExplainOfFaultyRecords(t *testing.T) {
	is := is.New(t)
	batches := gapChain(t)
	batches[1] = withChangedClass(t, batches[1], nil)
	explanation, err := precedence.Explain(batches, catalogueAt, "r1", "r4")
	is.NoErr(err)
	golden(t).Assert(t, "explain_changed", []byte(explanation.Text()))

	batches[1] = withChangedClass(t, batches[1], signingKey(2))
	_, err = precedence.Explain(batches, catalogueAt, "r1", "r4")
	is.True(errors.Is(err, precedence.ErrNotFound)) // forged records are ignored
	explanation, err = precedence.Explain(batches, catalogueAt, "r1", "r2")
	is.NoErr(err)
	is.Equal(len(explanation.Findings), 2) // a forged batch, and the missing records that it replaced
}

// Guards against resolving a request key to a refused duplicate: if several requests
// have the same key, it stands for the one that was dispatched.
func TestExplainResolvesKeyToDispatchedRequest(t *testing.T) {
	is := is.New(t)
	refused, dispatched := decision("refused", 1), decision("dispatched", 2)
	refused.Kind, refused.Reason, refused.RequestKey, dispatched.RequestKey = precedence.Refusal, "keyRunning", "k", "k"
	explanation, err := precedence.Explain(chain(t, owner, 4, refused, dispatched, decision("next", 3)), catalogueAt, "k", "next")
	is.NoErr(err)
	is.Equal(explanation.A.RequestID, "dispatched")
	is.Equal(explanation.Comparisons[0].FirstRequestID, "dispatched")
}
