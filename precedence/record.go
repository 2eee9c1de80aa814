// Package precedence records every decision about a request in a signed chain of
// hashes, verifies such chains, and explains from them which of two requests was
// served first and why.
//
// Each incarnation of an instance has one chain. The chain proves that no record up to
// its newest known batch was changed, removed or reordered. It can't show that later
// batches or whole chains are missing; CheckAnchors detects that for chains with an
// anchor.
package precedence

import (
	"encoding/hex"
	"time"
)

// Kind is the kind of a decision.
type Kind string

// The kinds of records.
const (
	// Admission: a request was accepted for its class.
	Admission Kind = "admission"
	// Dispatch: a step was sent to a backend server.
	Dispatch Kind = "dispatch"
	// Refusal: a request or step was refused, or a request failed.
	Refusal Kind = "refusal"
	// Retry: a step gets another attempt after a failed one.
	Retry Kind = "retry"
	// Finish: a request ended with an outcome. A request that failed may have a refusal
	// with the outcome in place of a finish.
	Finish Kind = "finish"
	// Gap: records were lost because the buffer was full.
	Gap Kind = "gap"
)

// ReasonNoServerFree is the reason of a step that was dispatched before steps ahead of
// it in the order of service, because no backend server that those may use had a free
// slot.
const ReasonNoServerFree = "noServerFree"

// Hash is a SHA-256 digest.
type Hash [32]byte

// String returns the digest in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Record is the record of one decision. It is an immutable value. Commands.Add sets
// Sequence, Instance, Incarnation and PreviousHash, and DecidedAt if it is zero.
type Record struct {
	// Sequence is the number of the decision within the incarnation, counted from 1
	// with lost records included. For a gap it is the number of the last lost record.
	Sequence    uint64
	Instance    string
	Incarnation string
	Kind        Kind
	RequestID   string
	Workspace   string
	Target      string
	// RequestKey is the idempotency key of the request; empty if it has none.
	RequestKey string
	Class      string
	// Rank is the rank of the class; 0 is served first.
	Rank int
	// Stage, Pool, Server and Attempt identify the step. A decision about the whole
	// request leaves those that don't apply empty or 0.
	Stage   string
	Pool    string
	Server  string
	Attempt uint32
	// Arrival is the time at which the request, or for a dispatch the step, arrived at
	// this instance. For a gap it is the time of the first lost record.
	Arrival time.Time
	// Deadline is the deadline of the request, or for a dispatch that of the step.
	Deadline time.Time
	// DecidedAt is the time of the decision on the instance's wall clock. For a gap it
	// is the time of the last lost record.
	DecidedAt time.Time
	// Revision is the catalogue revision on which the decision is based.
	Revision uint64
	// Reason is the reason code of a refusal, a retry or a failed request, or
	// ReasonNoServerFree for a dispatch.
	Reason string
	// Waiting is, for a dispatch, the number of steps of an equal or smaller class rank
	// that were still waiting.
	Waiting int
	// Outcome is the outcome of the request, for a finish or the refusal of a whole
	// request.
	Outcome string
	// LostCount is, for a gap, the number of lost records; they have the sequence
	// numbers Sequence-LostCount+1 to Sequence.
	LostCount uint64
	// PreviousHash is the hash of the preceding record; zero for the first record.
	PreviousHash Hash
}

// WithChain returns the record with its position in the chain of an incarnation.
func (r Record) WithChain(instance, incarnation string, sequence uint64, previous Hash) Record {
	r.Instance, r.Incarnation, r.Sequence, r.PreviousHash = instance, incarnation, sequence, previous
	return r
}

// WithLoss returns the gap record extended by one more lost record.
func (r Record) WithLoss(sequence uint64, at time.Time) Record {
	if r.LostCount == 0 {
		r.Kind, r.Arrival = Gap, at
	}
	r.LostCount++
	r.Sequence, r.DecidedAt = sequence, at
	return r
}

// withLogPrecision returns the record with its times as they are stored in the log: UTC,
// in whole microseconds.
func (r Record) withLogPrecision() Record {
	r.Arrival = toLogPrecision(r.Arrival)
	r.Deadline = toLogPrecision(r.Deadline)
	r.DecidedAt = toLogPrecision(r.DecidedAt)
	return r
}

func toLogPrecision(moment time.Time) time.Time { return moment.UTC().Truncate(time.Microsecond) }

// firstSequence returns the first sequence number that the record covers.
func (r Record) firstSequence() uint64 {
	if r.Kind == Gap && r.LostCount > 0 {
		return r.Sequence - r.LostCount + 1
	}
	return r.Sequence
}
