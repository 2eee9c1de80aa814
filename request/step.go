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

// Step is the work of one stage of a request, executed by a backend server of a
// pool. Attempt is the number of the current attempt at it.
type Step struct {
	// RequestID is the ExecutionID of the request, not its ID.
	RequestID string
	Workspace string
	Class     string
	// Rank is the rank of the class; 0 is served first.
	Rank int
	// Weight is the fair-queueing weight of the workspace within its class, at
	// least 1.
	Weight int
	Stage  string
	Kind   Kind
	Pool   string
	// Attempt counts from 1.
	Attempt  uint32
	Deadline time.Time
	Input    []byte
	// Key is the idempotency key of the request; empty if it has none.
	Key string
	// Operation is the operation of a plain service that the step calls, or the name
	// of the stage for a stage of a pipeline.
	Operation string
	// Model is the model that a generate stage requires.
	Model string
	// Repeatable is set if the step is idempotent.
	Repeatable bool
	// AvoidServers lists the servers that failed earlier attempts.
	AvoidServers []string
	// AvoidDataCentres lists the data centres that could not serve earlier
	// attempts.
	AvoidDataCentres []string
	// Revision is the catalogue revision at admission.
	Revision uint64
	// Hops is the number of instances that have forwarded the step.
	Hops int
}

// WithHop returns the step with the hop count incremented.
func (s Step) WithHop() Step {
	s.Hops++
	return s
}

// WithRetry returns the step for the next attempt after a failure. The next
// attempt avoids the server that failed, or the data centre that could not serve
// the step.
func (s Step) WithRetry(f Failure) Step {
	s.Attempt++
	switch {
	case f.Server != "":
		s.AvoidServers = append(slices.Clone(s.AvoidServers), f.Server)
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

// Identity returns the identity that a result of this attempt must have.
func (s Step) Identity() Identity {
	return Identity{RequestID: s.RequestID, Stage: s.Stage, Attempt: s.Attempt}
}

// Identity identifies the attempt that produced a result. RequestID is the
// ExecutionID of the request.
type Identity struct {
	RequestID string
	Stage     string
	Attempt   uint32
}

// Result is the output that a backend server returned for an attempt, with the
// place and duration of the execution.
type Result struct {
	Identity Identity
	Output   []byte
	// Server is the backend server that executed the step.
	Server string
	// Instance is the instance that dispatched the step, located in DataCentre.
	Instance   string
	DataCentre string
	// QueueTime is the time spent in the queue, ExecutionTime the time spent at
	// the server.
	QueueTime     time.Duration
	ExecutionTime time.Duration
}

// WithDispatcher returns the result with the instance that dispatched the step and
// its data centre.
func (r Result) WithDispatcher(instance, dataCentre string) Result {
	r.Instance, r.DataCentre = instance, dataCentre
	return r
}

// Piece is one chunk of the output of a streaming step.
type Piece struct {
	Attempt uint32
	// Number is the position of the piece in the stream of the attempt, from 0.
	Number uint32
	Data   []byte
}

// Sink receives the pieces of an attempt in order. An error ends the attempt.
type Sink func(Piece) error

// StageReport holds the result and the number of attempts of a completed stage.
type StageReport struct {
	Stage    string
	Attempts uint32
	Result   Result
}

// Answer is the response to a caller.
type Answer struct {
	Request Request
	Outcome Outcome
	Output  []byte
	// Failure is set unless the outcome is Ran and Output holds the result. A request
	// that ran earlier and whose output is not stored has both the outcome Ran and a
	// failure.
	Failure Failure
	Stages  []StageReport
}
