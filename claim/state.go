package claim

import (
	"slices"
	"unique"

	"lycheecrank.example/request"
)

// maxReleasedIDs limits the identifiers of released claims that a state keeps to
// recognise duplicate claim records. A duplicate of an older claim is taken for a
// new claim. It then blocks its key but can't cause a dispatch, because its claimer
// no longer waits for it.
const maxReleasedIDs = 32

// Claim is a claim that has not been released.
type Claim struct {
	ID          ID
	Offset      uint64
	Instance    string
	Incarnation string
}

// State is the state of one key after a sequence of records. It is an immutable
// value, and applying the same records in offset order gives the same state on
// every instance. The zero State is the state of a key without records.
type State struct {
	lastOffset uint64
	// isBound is set once the first claim of the key has fixed its workspace and
	// request digest.
	isBound       bool
	workspace     string
	requestDigest Digest
	// claims holds the claims that have not been released, in offset order. The
	// first one is active.
	claims      []Claim
	releasedIDs []ID
	outcome     request.Outcome
	result      *Result
}

// WithRecord returns the state after the record at an offset. The following
// records change nothing: records at offsets that have already been applied,
// duplicate records, claims that don't match the first claim of the key, and
// outcomes of claims that are not active.
func (s State) WithRecord(offset uint64, r Record) State {
	if offset <= s.lastOffset {
		return s
	}
	s.lastOffset = offset
	switch r.Kind {
	case KindClaim:
		return s.withClaim(offset, r)
	case KindOutcome:
		return s.withOutcome(r)
	}
	return s
}

func (s State) withClaim(offset uint64, r Record) State {
	if s.isBound && !s.MatchesRequest(r.Workspace, r.RequestDigest) {
		return s
	}
	if slices.Contains(s.releasedIDs, r.ClaimID) || slices.ContainsFunc(s.claims, func(c Claim) bool { return c.ID == r.ClaimID }) {
		return s
	}
	if !s.isBound {
		s.isBound, s.workspace, s.requestDigest = true, unique.Make(r.Workspace).Value(), r.RequestDigest
	}
	s.claims = append(slices.Clip(s.claims), Claim{
		ID:          r.ClaimID,
		Offset:      offset,
		Instance:    unique.Make(r.Instance).Value(),
		Incarnation: unique.Make(r.Incarnation).Value(),
	})
	return s
}

func (s State) withOutcome(r Record) State {
	c, ok := s.ActiveClaim()
	if !ok || c.ID != r.ClaimID || s.outcome != 0 {
		return s
	}
	switch r.Outcome {
	case request.NotRun:
		s.claims = s.claims[1:]
		s.releasedIDs = append(slices.Clip(s.releasedIDs), c.ID)
		if excess := len(s.releasedIDs) - maxReleasedIDs; excess > 0 {
			s.releasedIDs = slices.Clone(s.releasedIDs[excess:])
		}
	case request.Ran:
		result := r.Result
		s.outcome, s.result = request.Ran, &result
	case request.MayHaveRun:
		s.outcome = request.MayHaveRun
	}
	return s
}

// WithoutOutput returns the state with only the digest and length of its result.
func (s State) WithoutOutput() State {
	if s.result != nil {
		r := s.result.WithoutOutput()
		s.result = &r
	}
	return s
}

// ActiveClaim returns the active claim, if there is one.
func (s State) ActiveClaim() (Claim, bool) {
	if len(s.claims) == 0 {
		return Claim{}, false
	}
	return s.claims[0], true
}

// WaitingCount returns the number of claims queued behind the active one.
func (s State) WaitingCount() int { return max(len(s.claims)-1, 0) }

// Outcome returns Ran or MayHaveRun if the active claim has that outcome, and 0
// otherwise.
func (s State) Outcome() request.Outcome { return s.outcome }

// Result returns the result if the outcome is Ran, and a zero Result otherwise.
func (s State) Result() Result {
	if s.result == nil {
		return Result{}
	}
	return *s.result
}

// MatchesRequest reports whether a workspace and a request digest are those of
// the first claim of the key, or the key has no claim yet. They stay bound to the
// key after that claim is released.
func (s State) MatchesRequest(workspace string, digest Digest) bool {
	return !s.isBound || s.workspace == workspace && s.requestDigest == digest
}

// BelongsTo reports whether the key belongs to the workspace or has no claim yet.
func (s State) BelongsTo(workspace string) bool { return !s.isBound || s.workspace == workspace }

// isHeldBy reports whether the claim is active and has no outcome yet.
func (s State) isHeldBy(id ID) bool {
	c, ok := s.ActiveClaim()
	return ok && c.ID == id && s.outcome == 0
}

// conflict returns the error for a new call with the key, or nil if the key has
// no active claim and the request matches.
func (s State) conflict(workspace string, digest Digest) error {
	if !s.MatchesRequest(workspace, digest) {
		return request.Refuse(request.ReasonKeyMismatch, "the key was already used for a different request")
	}
	c, ok := s.ActiveClaim()
	switch {
	case s.outcome == request.Ran:
		return AlreadyRanError{Result: s.Result()}
	case s.outcome == request.MayHaveRun:
		return request.Refuse(request.ReasonOutcomeUnknown, "an earlier call with this key may have run").WithSent(true)
	case ok:
		detail := "instance " + c.Instance + " holds the claim"
		return request.Refuse(request.ReasonKeyInProgress, detail).WithSent(true).WithRetryAfter(retryAfterRunning)
	}
	return nil
}
