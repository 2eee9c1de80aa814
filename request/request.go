// Package request defines requests, their steps, attempts, results and
// outcomes. All of them are immutable values.
package request

import "time"

// Outcome is what became of a request. There are three and no fourth.
type Outcome int

// The outcomes.
const (
	// NotRun means that no byte can have reached a backend server, now or later.
	NotRun Outcome = iota + 1
	// Ran means that the request ran and its result is known.
	Ran
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun
)

// String returns the name of the outcome in files and messages.
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

// Request is what a caller asked for. Class and Rank are those the catalogue
// entitles it to.
type Request struct {
	// ID is the caller's name of the request, unique in its workspace.
	ID string
	// Execution is unique over all requests; results are keyed by it.
	Execution string
	Workspace string
	// Target names a pipeline or a service.
	Target string
	Class  string
	// Rank is the rank of the class; 0 is served first.
	Rank     int
	Weight   int
	Arrival  time.Time
	Deadline time.Time
	// Key identifies a request that may not be repeated; else empty.
	Key   string
	Input []byte
	// Revision is the catalogue revision at admission.
	Revision uint64
	// Streamed tells that the caller takes the answer in pieces.
	Streamed bool
}

// WithClass returns the request with its class, its rank and the weight of its
// workspace.
func (r Request) WithClass(class string, rank, weight int) Request {
	r.Class, r.Rank, r.Weight = class, rank, weight
	return r
}

// WithRevision returns the request with the catalogue revision that admitted it.
func (r Request) WithRevision(revision uint64) Request {
	r.Revision = revision
	return r
}
