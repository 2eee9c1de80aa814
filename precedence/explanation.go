package precedence

import "time"

// Cause is the rule by which one request was served before another.
type Cause string

// The causes.
const (
	// ByClassRank: its class has the better rank.
	ByClassRank Cause = "classRank"
	// ByWorkspaceShare: same rank, and its workspace had the smaller share of the
	// weighted service.
	ByWorkspaceShare Cause = "workspaceShare"
	// ByDeadline: same rank and workspace, and its deadline was earlier.
	ByDeadline Cause = "deadline"
	// ByArrival: the other had not arrived when it was dispatched, or all else was
	// equal and it arrived earlier.
	ByArrival Cause = "arrival"
	// ByNoServerFree: the other came first in the order, but no backend server was
	// free for it.
	ByNoServerFree Cause = "noServerFree"
	// ByRefusal: the other was refused or never dispatched.
	ByRefusal Cause = "refusal"
	// SeparateQueues: the two never waited in the same queue.
	SeparateQueues Cause = "separateQueues"
	// Unexplained: no rule of the order leads to what the records say.
	Unexplained Cause = "unexplained"
)

// Basis is how the order of two requests was found.
type Basis string

// The bases.
const (
	// OwnerSequence: both were dispatched for one pool by one instance incarnation,
	// whose chain gives the order.
	OwnerSequence Basis = "ownerSequence"
	// SameChain: one instance incarnation dispatched both, for different pools, and
	// its chain gives the order.
	SameChain Basis = "sameChain"
	// WallClocks: the order rests on the wall clocks of the instances.
	WallClocks Basis = "wallClocks"
	// OnlyOneDispatched: the other was never dispatched.
	OnlyOneDispatched Basis = "onlyOneDispatched"
	// NoneDispatched: neither was dispatched.
	NoneDispatched Basis = "noneDispatched"
)

// Verdict says whether the catalogue entitled a request to what it got.
type Verdict string

// The verdicts.
const (
	Entitled    Verdict = "entitled"
	NotEntitled Verdict = "notEntitled"
	// Undecided: the records or the catalogue do not suffice.
	Undecided Verdict = "undecided"
)

// ClassView is what an explanation needs of a catalogue revision. Both functions
// report false for unknown names.
type ClassView struct {
	ClassRank      func(class string) (int, bool)
	WorkspaceClass func(workspace string) (string, bool)
}

// Step is a dispatch or refusal in an explanation.
type Step struct {
	Origin
	Sequence uint64    `json:"sequence"`
	Kind     Kind      `json:"kind"`
	Stage    string    `json:"stage,omitempty"`
	Pool     string    `json:"pool,omitempty"`
	Server   string    `json:"backendServer,omitempty"`
	Attempt  uint32    `json:"attempt,omitempty"`
	At       time.Time `json:"at"`
	Reason   string    `json:"reason,omitempty"`
	Waiting  int       `json:"waiting"`
}

// Subject is one of the two requests.
type Subject struct {
	RequestID string    `json:"request"`
	Key       string    `json:"key,omitempty"`
	Workspace string    `json:"workspace"`
	Target    string    `json:"target"`
	Class     string    `json:"class"`
	Rank      int       `json:"rank"`
	Revision  uint64    `json:"revision"`
	Arrival   time.Time `json:"arrival"`
	Deadline  time.Time `json:"deadline"`
	Outcome   string    `json:"outcome,omitempty"`
	// Steps are the dispatches, retries and refusals by time.
	Steps []Step `json:"steps,omitempty"`
}

// Entitlement is the verdict on the class of one request.
type Entitlement struct {
	RequestID string  `json:"request"`
	Revision  uint64  `json:"revision"`
	Verdict   Verdict `json:"verdict"`
	Detail    string  `json:"detail"`
}

// Comparison is the order of the two in one queue, or overall if they shared
// none.
type Comparison struct {
	// First is the request identifier of the one that was served first; empty if
	// neither was.
	First string `json:"first"`
	Basis Basis  `json:"basis"`
	Pool  string `json:"pool,omitempty"`
	Cause Cause  `json:"cause"`
	// Verdict says whether the order keeps the rules, given the recorded ranks.
	Verdict Verdict `json:"verdict"`
	Detail  string  `json:"detail"`
}

// Explanation says which of two requests was served first and why.
type Explanation struct {
	A Subject `json:"a"`
	B Subject `json:"b"`
	// Comparisons has one entry for each queue that both waited in, or one overall.
	Comparisons  []Comparison  `json:"comparisons"`
	Entitlements []Entitlement `json:"entitlements"`
	// Caveats limit what the explanation proves.
	Caveats []string `json:"caveats,omitempty"`
	// Findings are the faults of the chains that the explanation rests on.
	Findings []Finding `json:"findings,omitempty"`
}
