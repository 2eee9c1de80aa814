package precedence

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrNotFound is returned by Explain if no record has the request identifier or
// key.
var ErrNotFound = errors.New("no decision record of the request")

// Explain compares two requests, each given by its identifier or its key, from
// batches in the order of the log. The error matches ErrNotFound if one of them
// has no records; a catalogue that can't be had is no error but leaves its
// verdict undecided.
func Explain(batches []Batch, catalogueAt func(revision uint64) (ClassView, error), a, b string) (Explanation, error) {
	return Verifier{}.Explain(batches, catalogueAt, a, b)
}

// Explain is the function Explain with the verifier's known keys.
func (v Verifier) Explain(batches []Batch, catalogueAt func(revision uint64) (ClassView, error), a, b string) (Explanation, error) {
	report, chains := v.check(batches)
	x, err := historyOf(chains, a)
	if err != nil {
		return Explanation{}, err
	}
	y, err := historyOf(chains, b)
	if err != nil {
		return Explanation{}, err
	}
	e := Explanation{
		A:            x.subject(),
		B:            y.subject(),
		Comparisons:  compareQueues(x, y),
		Entitlements: []Entitlement{x.entitlement(catalogueAt), y.entitlement(catalogueAt)},
	}
	if len(e.Comparisons) == 0 {
		e.Comparisons = []Comparison{compareOverall(x, y)}
	}
	for _, c := range e.Comparisons {
		if c.Basis == WallClocks {
			e.Caveats = append(e.Caveats, "The order rests on the wall clocks of different instances or starts, which may disagree.")
		}
		if c.Cause == ByWorkspaceShare {
			e.Caveats = append(e.Caveats, "The records hold no totals of weighted service; that the share decided follows from rank and workspace alone.")
		}
	}
	origins := map[Origin]bool{}
	for _, r := range append(slices.Clone(x), y...) {
		origins[Origin{r.Instance, r.Incarnation}] = true
	}
	for _, c := range report.Chains {
		if origins[c.Origin] && len(c.Gaps) > 0 {
			e.Caveats = append(e.Caveats, fmt.Sprintf("Instance %s, incarnation %s, lost records of its own; some decisions may be absent.", c.Instance, c.Incarnation))
		}
	}
	slices.Sort(e.Caveats)
	e.Caveats = slices.Compact(e.Caveats)
	e.Findings = report.findingsOf(origins)
	return e, nil
}

// history is all records of one request: chain by chain, each in its order.
type history []Record

// historyOf collects the records of a request. A key can belong to several
// requests, of which at most one was dispatched: that one is meant, else the
// first.
func historyOf(chains [][]placed, name string) (history, error) {
	var id string
	dispatched := false
	for _, chain := range chains {
		for _, b := range chain {
			for _, r := range b.Records {
				if r.RequestID == "" || (r.RequestID != name && r.Key != name) {
					continue
				}
				if id == "" || (!dispatched && r.Kind == Dispatch) {
					id, dispatched = r.RequestID, dispatched || r.Kind == Dispatch
				}
			}
		}
	}
	if id == "" {
		return nil, eris.Wrapf(ErrNotFound, "%q", name)
	}
	var h history
	for _, chain := range chains {
		for _, b := range chain {
			for _, r := range b.Records {
				if r.RequestID == id {
					h = append(h, r)
				}
			}
		}
	}
	return h, nil
}

// admission returns the record that tells class and revision best.
func (h history) admission() Record {
	for _, k := range []Kind{Admission, Dispatch} {
		if i := slices.IndexFunc(h, func(r Record) bool { return r.Kind == k }); i >= 0 {
			return h[i]
		}
	}
	return h[0]
}

// dispatches returns the dispatch records by time.
func (h history) dispatches() []Record { return h.ofKinds(Dispatch) }

func (h history) ofKinds(kinds ...Kind) []Record {
	var found []Record
	for _, r := range h {
		if slices.Contains(kinds, r.Kind) {
			found = append(found, r)
		}
	}
	slices.SortStableFunc(found, func(a, b Record) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Sequence, b.Sequence))
	})
	return found
}

func (h history) subject() Subject {
	r := h.admission()
	s := Subject{
		RequestID: r.RequestID, Key: r.Key, Workspace: r.Workspace, Target: r.Target, Class: r.Class, Rank: r.Rank,
		Revision: r.Revision, Arrival: r.Arrival, Deadline: r.Deadline,
	}
	for _, f := range h.ofKinds(Finish) {
		s.Outcome = f.Outcome
	}
	for _, x := range h.ofKinds(Dispatch, Retry, Refusal) {
		s.Steps = append(s.Steps, Step{
			Origin: Origin{x.Instance, x.Incarnation}, Sequence: x.Sequence, Kind: x.Kind, Stage: x.Stage, Pool: x.Pool,
			Server: x.Server, Attempt: x.Attempt, At: x.At, Reason: x.Reason, Waiting: x.Waiting,
		})
	}
	return s
}

// entitlement compares the recorded class with the catalogue. The effective
// class is the least privileged of those asked for and given, so a rank worse
// than that of the workspace's class is in order; a better one is not.
func (h history) entitlement(catalogueAt func(revision uint64) (ClassView, error)) Entitlement {
	r := h.admission()
	e := Entitlement{RequestID: r.RequestID, Revision: r.Revision, Verdict: Undecided}
	view, err := catalogueAt(r.Revision)
	if err != nil {
		e.Detail = fmt.Sprintf("the catalogue of revision %d can't be had: %v", r.Revision, err)
		return e
	}
	for _, x := range h {
		if x.Kind == Dispatch && (x.Class != r.Class || x.Rank != r.Rank) {
			e.Verdict = NotEntitled
			e.Detail = fmt.Sprintf("admitted with class %s, rank %d, but dispatched with class %s, rank %d", r.Class, r.Rank, x.Class, x.Rank)
			return e
		}
	}
	rank, ok := view.ClassRank(r.Class)
	if !ok {
		e.Detail = fmt.Sprintf("revision %d has no class %q", r.Revision, r.Class)
		return e
	}
	if rank != r.Rank {
		e.Verdict = NotEntitled
		e.Detail = fmt.Sprintf("recorded with rank %d, but class %s has rank %d in revision %d", r.Rank, r.Class, rank, r.Revision)
		return e
	}
	class, ok := view.WorkspaceClass(r.Workspace)
	if !ok {
		e.Detail = fmt.Sprintf("revision %d has no workspace %q", r.Revision, r.Workspace)
		return e
	}
	best, ok := view.ClassRank(class)
	if !ok {
		e.Detail = fmt.Sprintf("revision %d has no class %q of workspace %s", r.Revision, class, r.Workspace)
		return e
	}
	if r.Rank < best {
		e.Verdict = NotEntitled
		e.Detail = fmt.Sprintf("served with class %s, rank %d, but workspace %s has class %s, rank %d", r.Class, r.Rank, r.Workspace, class, best)
		return e
	}
	e.Verdict = Entitled
	e.Detail = fmt.Sprintf("class %s has rank %d, and workspace %s is entitled to class %s, rank %d", r.Class, rank, r.Workspace, class, best)
	return e
}
