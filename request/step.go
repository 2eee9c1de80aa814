package request

import (
	"slices"
	"time"
)

// Kind is the kind of work of a stage.
type Kind string

// The kinds of stages.
const (
	Encode   Kind = "encode"
	Retrieve Kind = "retrieve"
	Rerank   Kind = "rerank"
	Generate Kind = "generate"
	Call     Kind = "call"
)

// Kinds returns all kinds of stages.
func Kinds() []Kind { return []Kind{Encode, Retrieve, Rerank, Generate, Call} }

// Step is one attempt at one stage of a request, as a pool of backend servers
// gets it.
type Step struct {
	RequestID string
	Workspace string
	Class     string
	// Rank is the rank of the class; 0 is served first.
	Rank int
	// Weight is the share of the workspace inside its class, at least 1.
	Weight int
	Stage  string
	Kind   Kind
	Pool   string
	// Attempt counts from 1.
	Attempt  uint32
	Deadline time.Time
	Input    []byte
	// Key is set for a step that may not be repeated.
	Key string
	// Operation is the name of the called operation of a plain service.
	Operation string
	// Model is the model that a generate stage wants.
	Model string
	// Repeatable tells that the step is idempotent.
	Repeatable bool
	// Avoid names the servers that failed earlier attempts.
	Avoid []string
	// AvoidDataCentres names the data centres that could not serve earlier
	// attempts.
	AvoidDataCentres []string
	// Revision is the catalogue revision at admission.
	Revision uint64
	// Hops counts the instances that passed the step on.
	Hops int
}

// WithHop returns the step after one more instance passed it on.
func (s Step) WithHop() Step {
	s.Hops++
	return s
}

// WithRetry returns the step for the attempt that follows a failed one. It
// avoids the server that failed, or the data centre that could not serve it.
func (s Step) WithRetry(f Failure) Step {
	s.Attempt++
	switch {
	case f.Server != "":
		s.Avoid = append(slices.Clone(s.Avoid), f.Server)
	case f.DataCentre != "" && f.Reason.AvoidsDataCentre():
		s.AvoidDataCentres = append(slices.Clone(s.AvoidDataCentres), f.DataCentre)
	}
	return s
}

// WithDeadline returns the step with another deadline.
func (s Step) WithDeadline(deadline time.Time) Step {
	s.Deadline = deadline
	return s
}

// Identity names the attempt that a result must belong to.
func (s Step) Identity() Identity {
	return Identity{RequestID: s.RequestID, Stage: s.Stage, Attempt: s.Attempt}
}

// Identity is the key of a result.
type Identity struct {
	RequestID string
	Stage     string
	Attempt   uint32
}

// Result is the whole output of a step.
type Result struct {
	Identity Identity
	Output   []byte
	// Server is the backend server that executed the step.
	Server string
	// Instance dispatched the step, in DataCentre.
	Instance   string
	DataCentre string
	// Waited is the time in the queue, Executed the time at the server.
	Waited   time.Duration
	Executed time.Duration
}

// WithPlace returns the result with where it was dispatched.
func (r Result) WithPlace(instance, dataCentre string) Result {
	r.Instance, r.DataCentre = instance, dataCentre
	return r
}

// Piece is a part of the output of a step that streams.
type Piece struct {
	Attempt uint32
	// Number counts the pieces of an attempt from 0.
	Number uint32
	Data   []byte
}

// Sink takes the pieces of an attempt in order. An error ends the attempt.
type Sink func(Piece) error

// StageReport tells where and how long a stage ran.
type StageReport struct {
	Stage    string
	Attempts uint32
	Result   Result
}

// Answer is what a caller gets.
type Answer struct {
	Request Request
	Outcome Outcome
	Output  []byte
	// Failure is set unless the outcome is Ran, and for an answer from the record
	// of an earlier run whose output is not kept.
	Failure Failure
	Stages  []StageReport
}
