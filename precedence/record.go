// Package precedence records every decision about a request in a signed,
// hash-chained form, checks such records, and explains from them which of two
// requests was served first and why.
//
// Each instance incarnation has one chain. The chain proves that no record
// before its newest known batch was changed, removed or reordered; it can't
// show that the batches after the newest known one, or whole chains, are
// missing.
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
	// Refusal: a request or step was refused.
	Refusal Kind = "refusal"
	// Retry: a step is tried again after a failed attempt.
	Retry Kind = "retry"
	// Finish: a request has its outcome.
	Finish Kind = "finish"
	// Gap: records were lost because the buffer was full.
	Gap Kind = "gap"
)

// ReasonNoServerFree is the reason of a dispatch that went ahead of better
// placed steps because no backend server that they may use had a free slot.
const ReasonNoServerFree = "noServerFree"

// Hash is a SHA-256 digest.
type Hash [32]byte

// String returns the digest in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Record is one decision. It is an immutable value. Commands.Add sets Sequence,
// Instance, Incarnation and Previous, and At unless it is given.
type Record struct {
	// Sequence counts the decisions of an incarnation from 1, lost ones included.
	// For a gap it is the last lost one.
	Sequence    uint64
	Instance    string
	Incarnation string
	Kind        Kind
	RequestID   string
	Workspace   string
	Target      string
	// Key identifies a request that may not be repeated; else empty.
	Key   string
	Class string
	// Rank is the rank of the class; 0 is served first.
	Rank int
	// Stage, Pool, Server and Attempt name the step; empty or 0 for decisions
	// about the whole request.
	Stage   string
	Pool    string
	Server  string
	Attempt uint32
	// Arrival is when the request, or for a dispatch the step, arrived at this
	// instance. For a gap it is the time of the first lost record.
	Arrival time.Time
	// Deadline is that of the request, or for a dispatch that of the step.
	Deadline time.Time
	// At is the time of the decision by the instance's wall clock. For a gap it is
	// the time of the last lost record.
	At time.Time
	// Revision is the catalogue revision that the decision rests on.
	Revision uint64
	// Reason is the code of a refusal or retry, or ReasonNoServerFree.
	Reason string
	// Waiting is, for a dispatch, the number of steps of a better or equal class
	// rank that went on waiting.
	Waiting int
	// Outcome is, for a finish, the outcome of the request.
	Outcome string
	// Lost is, for a gap, the number of lost records; they have the sequence
	// numbers Sequence-Lost+1 to Sequence.
	Lost uint64
	// Previous is the hash of the record before; zero for the first one.
	Previous Hash
}

// WithChain returns the record at its place in the chain of an incarnation.
func (r Record) WithChain(instance, incarnation string, sequence uint64, previous Hash) Record {
	r.Instance, r.Incarnation, r.Sequence, r.Previous = instance, incarnation, sequence, previous
	return r
}

// WithLoss returns a gap record that covers one more lost record.
func (r Record) WithLoss(sequence uint64, at time.Time) Record {
	if r.Lost == 0 {
		r.Kind, r.Arrival = Gap, at
	}
	r.Lost++
	r.Sequence, r.At = sequence, at
	return r
}

// withLogTimes returns the record with its times as the log holds them: UTC, in
// whole microseconds.
func (r Record) withLogTimes() Record {
	r.Arrival = logTime(r.Arrival)
	r.Deadline = logTime(r.Deadline)
	r.At = logTime(r.At)
	return r
}

func logTime(t time.Time) time.Time { return t.UTC().Truncate(time.Microsecond) }

// first returns the first sequence number that the record stands for.
func (r Record) first() uint64 {
	if r.Kind == Gap && r.Lost > 0 {
		return r.Sequence - r.Lost + 1
	}
	return r.Sequence
}
