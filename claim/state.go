package claim

import (
	"slices"
	"unique"

	"lycheecrank.example/request"
)

// maxGivenBack bounds the identifiers of returned claims that a state keeps to
// recognise doubled claim records. A doubled record older than that blocks its
// key but can't cause a dispatch, since its claimer has given up the claim.
const maxGivenBack = 32

// Claim is a claim that was not given back.
type Claim struct {
	ID          ID
	Offset      uint64
	Instance    string
	Incarnation string
}

// State is what the records of one key add up to. It is an immutable value;
// applying the same records in offset order gives the same state everywhere.
// The zero State is that of a key without records.
type State struct {
	through   uint64
	bound     bool
	workspace string
	digest    Digest
	// line holds the claims not given back by offset; the first one stands.
	line      []Claim
	givenBack []ID
	outcome   request.Outcome
	result    *Result
}

// WithRecord returns the state after a record at an offset. Offsets at or
// below one that was applied already, doubled records, claims that don't match
// the first claim of the key, and outcomes that don't come from the claim that
// stands change nothing.
func (s State) WithRecord(offset uint64, r Record) State {
	if offset <= s.through {
		return s
	}
	s.through = offset
	switch r.Kind {
	case KindClaim:
		return s.withClaim(offset, r)
	case KindOutcome:
		return s.withOutcome(r)
	}
	return s
}

func (s State) withClaim(offset uint64, r Record) State {
	if s.bound && !s.Matches(r.Workspace, r.Digest) {
		return s
	}
	if slices.Contains(s.givenBack, r.Claim) || slices.ContainsFunc(s.line, func(c Claim) bool { return c.ID == r.Claim }) {
		return s
	}
	if !s.bound {
		s.bound, s.workspace, s.digest = true, unique.Make(r.Workspace).Value(), r.Digest
	}
	s.line = append(slices.Clip(s.line), Claim{
		ID:          r.Claim,
		Offset:      offset,
		Instance:    unique.Make(r.Instance).Value(),
		Incarnation: unique.Make(r.Incarnation).Value(),
	})
	return s
}

func (s State) withOutcome(r Record) State {
	c, ok := s.Standing()
	if !ok || c.ID != r.Claim || s.outcome != 0 {
		return s
	}
	switch r.Outcome {
	case request.NotRun:
		s.line = s.line[1:]
		s.givenBack = append(slices.Clip(s.givenBack), c.ID)
		if extra := len(s.givenBack) - maxGivenBack; extra > 0 {
			s.givenBack = slices.Clone(s.givenBack[extra:])
		}
	case request.Ran:
		result := r.Result
		s.outcome, s.result = request.Ran, &result
	case request.MayHaveRun:
		s.outcome = request.MayHaveRun
	}
	return s
}

// WithoutOutput returns the state with the digest and length of its result
// only.
func (s State) WithoutOutput() State {
	if s.result != nil {
		r := s.result.WithoutOutput()
		s.result = &r
	}
	return s
}

// Standing returns the claim that stands, if there is one.
func (s State) Standing() (Claim, bool) {
	if len(s.line) == 0 {
		return Claim{}, false
	}
	return s.line[0], true
}

// Waiting returns the number of claims behind the one that stands.
func (s State) Waiting() int { return max(len(s.line)-1, 0) }

// Outcome returns Ran or MayHaveRun once the claim that stands has its outcome,
// and 0 before.
func (s State) Outcome() request.Outcome { return s.outcome }

// Result returns the result of a key with the outcome Ran.
func (s State) Result() Result {
	if s.result == nil {
		return Result{}
	}
	return *s.result
}

// Matches reports whether a workspace and the digest of a request are those of
// the first claim of the key. They stay bound to the key when that claim is
// given back.
func (s State) Matches(workspace string, digest Digest) bool {
	return !s.bound || s.workspace == workspace && s.digest == digest
}

// IsOf reports whether the key belongs to a workspace, or to none yet.
func (s State) IsOf(workspace string) bool { return !s.bound || s.workspace == workspace }

// isHeldBy reports whether a claim stands and has no outcome yet.
func (s State) isHeldBy(id ID) bool {
	c, ok := s.Standing()
	return ok && c.ID == id && s.outcome == 0
}

// answer tells a caller what the records say about its key. It returns nil if
// no claim stands.
func (s State) answer(workspace string, digest Digest) error {
	if !s.Matches(workspace, digest) {
		return request.Refuse(request.ReasonKeyMismatch, "the key was used for another request")
	}
	c, ok := s.Standing()
	switch {
	case s.outcome == request.Ran:
		return AlreadyRan{Result: s.Result()}
	case s.outcome == request.MayHaveRun:
		return request.Refuse(request.ReasonOutcomeUnknown, "an earlier call with the key may have run").WithSent(true)
	case ok:
		detail := "instance " + c.Instance + " holds the claim"
		return request.Refuse(request.ReasonKeyRunning, detail).WithSent(true).WithRetryAfter(retryAfterRunning)
	}
	return nil
}
