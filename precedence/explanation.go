package precedence

import "time"

// Cause is the rule by which one request was served before another.
type Cause string

// The causes.
const (
	// ByClassRank: the request served first has a class of smaller rank.
	ByClassRank Cause = "classRank"
	// ByWorkspaceShare: both have the same rank, and the workspace of the request
	// served first had the smaller share of the weighted service.
	ByWorkspaceShare Cause = "workspaceShare"
	// ByDeadline: both have the same rank and workspace, and the request served first
	// had the earlier deadline.
	ByDeadline Cause = "deadline"
	// ByArrival: the request served first was dispatched before the other arrived, or
	// rank, workspace and deadline were equal and it arrived no later than the other.
	ByArrival Cause = "arrival"
	// ByNoServerFree: the other request was ahead in the order of service, but no
	// backend server was free for it.
	ByNoServerFree Cause = "noServerFree"
	// ByRefusal: the other request, or both, were never dispatched, with or without a
	// recorded refusal.
	ByRefusal Cause = "refusal"
	// SeparateQueues: the two requests were never dispatched from the same queue.
	SeparateQueues Cause = "separateQueues"
	// Unexplained: the recorded order follows from no rule of the order of service.
	Unexplained Cause = "unexplained"
)

// Basis is the evidence from which the order of two requests was determined.
type Basis string

// The kinds of evidence.
const (
	// OwnerSequence: one instance incarnation dispatched both requests for the same
	// pool, and its chain shows their order.
	OwnerSequence Basis = "ownerSequence"
	// SameChain: one instance incarnation dispatched both requests for different pools,
	// and its chain shows their order.
	SameChain Basis = "sameChain"
	// WallClocks: different instance incarnations dispatched the requests, and the order
	// is derived from their wall clocks.
	WallClocks Basis = "wallClocks"
	// OnlyOneDispatched: one of the requests was never dispatched.
	OnlyOneDispatched Basis = "onlyOneDispatched"
	// NoneDispatched: neither request was dispatched.
	NoneDispatched Basis = "noneDispatched"
)

// Verdict is the result of a check: in an Entitlement, whether a request was entitled to
// its class; in a Comparison, whether the order of service follows the rules.
type Verdict string

// The verdicts.
const (
	VerdictEntitled    Verdict = "entitled"
	VerdictNotEntitled Verdict = "notEntitled"
	// VerdictUndecided: the records or the catalogue are not sufficient to decide.
	VerdictUndecided Verdict = "undecided"
)

// ClassView provides the classes of one catalogue revision: the rank of a class, and the
// class of a workspace. Both functions report false for unknown names.
type ClassView struct {
	ClassRank      func(class string) (int, bool)
	WorkspaceClass func(workspace string) (string, bool)
}

// Step is a dispatch, retry or refusal of a request.
type Step struct {
	Origin
	Sequence  uint64    `json:"sequence"`
	Kind      Kind      `json:"kind"`
	Stage     string    `json:"stage,omitempty"`
	Pool      string    `json:"pool,omitempty"`
	Server    string    `json:"backendServer,omitempty"`
	Attempt   uint32    `json:"attempt,omitempty"`
	DecidedAt time.Time `json:"at"`
	Reason    string    `json:"reason,omitempty"`
	Waiting   int       `json:"waiting"`
}

// RequestSummary describes one of the two compared requests.
type RequestSummary struct {
	RequestID  string    `json:"request"`
	RequestKey string    `json:"key,omitempty"`
	Workspace  string    `json:"workspace"`
	Target     string    `json:"target"`
	Class      string    `json:"class"`
	Rank       int       `json:"rank"`
	Revision   uint64    `json:"revision"`
	Arrival    time.Time `json:"arrival"`
	Deadline   time.Time `json:"deadline"`
	Outcome    string    `json:"outcome,omitempty"`
	// Steps are the dispatches, retries and refusals ordered by time.
	Steps []Step `json:"steps,omitempty"`
}

// Entitlement is the verdict on whether a request was entitled to its class.
type Entitlement struct {
	RequestID string  `json:"request"`
	Revision  uint64  `json:"revision"`
	Verdict   Verdict `json:"verdict"`
	Detail    string  `json:"detail"`
}

// Comparison is the order of two requests in one queue, or overall if they have no
// queue in common.
type Comparison struct {
	// FirstRequestID is the identifier of the request that was served first; empty if
	// neither was served.
	FirstRequestID string `json:"first"`
	Basis          Basis  `json:"basis"`
	Pool           string `json:"pool,omitempty"`
	Cause          Cause  `json:"cause"`
	// Verdict states whether the order follows the rules, given the recorded ranks.
	Verdict Verdict `json:"verdict"`
	Detail  string  `json:"detail"`
}

// Explanation states which of two requests was served first and why.
type Explanation struct {
	A RequestSummary `json:"a"`
	B RequestSummary `json:"b"`
	// Comparisons has one entry for each queue from which both requests were dispatched,
	// or a single overall entry if there is none.
	Comparisons  []Comparison  `json:"comparisons"`
	Entitlements []Entitlement `json:"entitlements"`
	// Caveats state what limits the evidence, such as lost records or wall clocks that
	// may disagree.
	Caveats []string `json:"caveats,omitempty"`
	// Findings are the faults in the chains that contain records of the two requests.
	Findings []Finding `json:"findings,omitempty"`
}
