package precedence

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"lycheecrank.example/request"
)

// ErrNotFound is returned by Explain if no record has the given request identifier or
// request key.
var ErrNotFound = errors.New("no decision record for the request")

// Explain compares two requests, each given by its identifier or its request key, from
// batches in the order of the log. The error matches ErrNotFound if one of them has no
// records. If catalogueAt returns an error, Explain doesn't fail, and the entitlement is
// undecided.
func Explain(batches []Batch, catalogueAt func(revision uint64) (ClassView, error), requestA, requestB string) (Explanation, error) {
	return Verifier{}.Explain(batches, catalogueAt, requestA, requestB)
}

// Explain compares two requests as the function Explain does, with the keys and options
// of the verifier.
func (v Verifier) Explain(batches []Batch, catalogueAt func(revision uint64) (ClassView, error), requestA, requestB string) (Explanation, error) {
	report, chains := v.check(batches)
	historyA, err := historyOf(chains, requestA)
	if err != nil {
		return Explanation{}, err
	}
	historyB, err := historyOf(chains, requestB)
	if err != nil {
		return Explanation{}, err
	}
	explanation := Explanation{
		A:            historyA.summary(),
		B:            historyB.summary(),
		Comparisons:  compareQueues(historyA, historyB),
		Entitlements: []Entitlement{historyA.entitlement(catalogueAt), historyB.entitlement(catalogueAt)},
	}
	if len(explanation.Comparisons) == 0 {
		explanation.Comparisons = []Comparison{compareOverall(historyA, historyB)}
	}
	for _, c := range explanation.Comparisons {
		if c.Basis == WallClocks {
			explanation.Caveats = append(explanation.Caveats, "The order is derived from the wall clocks of different instances or incarnations, which may disagree.")
		}
		if c.Cause == ByWorkspaceShare {
			explanation.Caveats = append(explanation.Caveats, "The records contain no totals of weighted service; it is inferred from rank and workspace alone that the workspace share decided.")
		}
	}
	origins := map[Origin]bool{}
	for _, r := range append(slices.Clone(historyA), historyB...) {
		origins[Origin{r.Instance, r.Incarnation}] = true
	}
	for _, c := range report.Chains {
		if origins[c.Origin] && len(c.Gaps) > 0 {
			explanation.Caveats = append(explanation.Caveats, fmt.Sprintf("Instance %s, incarnation %s, lost records; some decisions may be missing.", c.Instance, c.Incarnation))
		}
	}
	slices.Sort(explanation.Caveats)
	explanation.Caveats = slices.Compact(explanation.Caveats)
	explanation.Findings = report.findingsOf(origins)
	return explanation, nil
}

// history holds all records of one request, chain by chain, each chain in its order.
type history []Record

// names reports whether a record is about a request with an identifier, of the system or of
// its client, or with a request key.
func names(r Record, identifierOrKey string) bool {
	return r.RequestID == identifierOrKey || request.ClientID(r.RequestID) == identifierOrKey || r.RequestKey == identifierOrKey
}

// historyOf collects the records of the request with an identifier or request key.
// Several requests can have the same key, but at most one of them is dispatched: the
// key resolves to the dispatched request, or to the first one in the records if none
// was dispatched. The same holds for an identifier that a client gave to several requests.
func historyOf(chains [][]indexedBatch, identifierOrKey string) (history, error) {
	var id string
	dispatched := false
	for _, chain := range chains {
		for _, b := range chain {
			for _, r := range b.Records {
				if r.RequestID == "" || !names(r, identifierOrKey) {
					continue
				}
				if id == "" || (!dispatched && r.Kind == Dispatch) {
					id, dispatched = r.RequestID, dispatched || r.Kind == Dispatch
				}
			}
		}
	}
	if id == "" {
		return nil, eris.Wrapf(ErrNotFound, "%q", identifierOrKey)
	}
	var found history
	for _, chain := range chains {
		for _, b := range chain {
			for _, r := range b.Records {
				if r.RequestID == id {
					found = append(found, r)
				}
			}
		}
	}
	return found, nil
}

// classRecord returns the record from which the class and the catalogue revision of
// the request are read: its admission if there is one, else a dispatch, else the first
// record.
func (h history) classRecord() Record {
	for _, k := range []Kind{Admission, Dispatch} {
		if i := slices.IndexFunc(h, func(r Record) bool { return r.Kind == k }); i >= 0 {
			return h[i]
		}
	}
	return h[0]
}

// dispatches returns the dispatch records ordered by time.
func (h history) dispatches() []Record { return h.ofKinds(Dispatch) }

// ofKinds returns the records of the given kinds ordered by time.
func (h history) ofKinds(kinds ...Kind) []Record {
	var found []Record
	for _, r := range h {
		if slices.Contains(kinds, r.Kind) {
			found = append(found, r)
		}
	}
	slices.SortStableFunc(found, func(a, b Record) int {
		return cmp.Or(a.DecidedAt.Compare(b.DecidedAt), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Sequence, b.Sequence))
	})
	return found
}

func (h history) summary() RequestSummary {
	record := h.classRecord()
	summary := RequestSummary{
		RequestID: record.RequestID, RequestKey: record.RequestKey, Workspace: record.Workspace, Target: record.Target, Class: record.Class, Rank: record.Rank,
		Revision: record.Revision, Arrival: record.Arrival, Deadline: record.Deadline,
	}
	for _, f := range h.ofKinds(Finish) {
		summary.Outcome = f.Outcome
	}
	for _, x := range h.ofKinds(Dispatch, Retry, Refusal) {
		summary.Steps = append(summary.Steps, Step{
			Origin: Origin{x.Instance, x.Incarnation}, Sequence: x.Sequence, Kind: x.Kind, Stage: x.Stage, Pool: x.Pool,
			Server: x.Server, Attempt: x.Attempt, DecidedAt: x.DecidedAt, Reason: x.Reason, Waiting: x.Waiting,
		})
	}
	return summary
}

// entitlement compares the recorded class with the catalogue. The effective class of a
// request is the lowest (the one with the largest rank) of the requested class and the
// classes of its workspace and target, so a rank below that of the workspace's class is
// not valid and a larger one is. The class of the target is not checked.
func (h history) entitlement(catalogueAt func(revision uint64) (ClassView, error)) Entitlement {
	recorded := h.classRecord()
	entitlement := Entitlement{RequestID: recorded.RequestID, Revision: recorded.Revision, Verdict: VerdictUndecided}
	view, err := catalogueAt(recorded.Revision)
	if err != nil {
		entitlement.Detail = fmt.Sprintf("catalogue revision %d is unavailable: %v", recorded.Revision, err)
		return entitlement
	}
	for _, x := range h {
		if x.Kind == Dispatch && (x.Class != recorded.Class || x.Rank != recorded.Rank) {
			entitlement.Verdict = VerdictNotEntitled
			entitlement.Detail = fmt.Sprintf("admitted with class %s, rank %d, but dispatched with class %s, rank %d", recorded.Class, recorded.Rank, x.Class, x.Rank)
			return entitlement
		}
	}
	rank, ok := view.ClassRank(recorded.Class)
	if !ok {
		entitlement.Detail = fmt.Sprintf("catalogue revision %d has no class %q", recorded.Revision, recorded.Class)
		return entitlement
	}
	if rank != recorded.Rank {
		entitlement.Verdict = VerdictNotEntitled
		entitlement.Detail = fmt.Sprintf("recorded with rank %d, but class %s has rank %d in catalogue revision %d", recorded.Rank, recorded.Class, rank, recorded.Revision)
		return entitlement
	}
	class, ok := view.WorkspaceClass(recorded.Workspace)
	if !ok {
		entitlement.Detail = fmt.Sprintf("catalogue revision %d has no workspace %q", recorded.Revision, recorded.Workspace)
		return entitlement
	}
	entitledRank, ok := view.ClassRank(class)
	if !ok {
		entitlement.Detail = fmt.Sprintf("catalogue revision %d has no class %q, the class of workspace %s", recorded.Revision, class, recorded.Workspace)
		return entitlement
	}
	if recorded.Rank < entitledRank {
		entitlement.Verdict = VerdictNotEntitled
		entitlement.Detail = fmt.Sprintf("recorded with class %s, rank %d, but workspace %s is entitled to class %s, rank %d", recorded.Class, recorded.Rank, recorded.Workspace, class, entitledRank)
		return entitlement
	}
	entitlement.Verdict = VerdictEntitled
	entitlement.Detail = fmt.Sprintf("class %s has rank %d, and workspace %s is entitled to class %s, rank %d", recorded.Class, rank, recorded.Workspace, class, entitledRank)
	return entitlement
}
