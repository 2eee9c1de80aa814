// Package request defines requests, their steps, attempts, results and
// outcomes. All of them are immutable values.
package request

import "time"

// Outcome is the final status of a request: exactly one of the three below.
type Outcome int

// The outcomes.
const (
	// NotRun means that no byte has reached a backend server and none will.
	NotRun Outcome = iota + 1
	// Ran means that the request ran and its result is known.
	Ran
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun
)

// String returns the name of the outcome as used in files and messages.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "mayHaveRun"
	}
	return "unspecified"
}

// Request is a request of a caller. Class and Rank are the effective ones that
// the catalogue assigns at admission.
type Request struct {
	// ID is the caller's ID of the request, unique in its workspace.
	ID string
	// ExecutionID is a globally unique ID, generated for each run; results are keyed
	// by it.
	ExecutionID string
	Workspace   string
	// Target is the name of a pipeline or service.
	Target string
	Class  string
	// Rank is the rank of the class; 0 is served first.
	Rank     int
	Weight   int
	Arrival  time.Time
	Deadline time.Time
	// Key is the idempotency key of a request that must run at most once; empty
	// otherwise.
	Key   string
	Input []byte
	// Revision is the catalogue revision at admission.
	Revision uint64
	// Streamed is set if the caller receives the answer as a stream of pieces.
	Streamed bool
}

// WithClass returns the request with a class, the rank of the class and the
// weight of the workspace.
func (r Request) WithClass(class string, rank, weight int) Request {
	r.Class, r.Rank, r.Weight = class, rank, weight
	return r
}

// WithRevision returns the request with the catalogue revision that admitted it.
func (r Request) WithRevision(revision uint64) Request {
	r.Revision = revision
	return r
}
