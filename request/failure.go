package request

import (
	"errors"
	"time"
)

// Failure says why a request or step was not answered. It unwraps to its
// Reason.
type Failure struct {
	Reason Reason
	// Detail is a sentence for people.
	Detail string
	// Sent tells that a byte may have reached a backend server.
	Sent bool
	// Server is the backend server that failed; empty if there was none.
	Server string
	// DataCentre is where the step was refused or failed; empty if that was
	// before it was routed.
	DataCentre string
	// RetryAfter is the shortest useful wait before a repeat; 0 if unknown.
	RetryAfter time.Duration
}

// Refuse returns a failure from before anything was sent.
func Refuse(r Reason, detail string) Failure {
	return Failure{Reason: r, Detail: detail}
}

// Error returns the code and the detail.
func (f Failure) Error() string {
	if f.Detail == "" {
		return string(f.Reason)
	}
	return string(f.Reason) + ": " + f.Detail
}

// Unwrap returns the reason.
func (f Failure) Unwrap() error { return f.Reason }

// WithSent returns the failure with Sent set if it was set before or sent is
// true: a byte that was sent can't be taken back.
func (f Failure) WithSent(sent bool) Failure {
	f.Sent = f.Sent || sent
	return f
}

// WithRetryAfter returns the failure with a shortest useful wait.
func (f Failure) WithRetryAfter(d time.Duration) Failure {
	f.RetryAfter = d
	return f
}

// WithDataCentre returns the failure with the data centre where it arose, unless
// that is known already.
func (f Failure) WithDataCentre(name string) Failure {
	if f.DataCentre == "" {
		f.DataCentre = name
	}
	return f
}

// Outcome is NotRun only if nothing can have been sent.
func (f Failure) Outcome() Outcome {
	if f.Sent {
		return MayHaveRun
	}
	return NotRun
}

// AsFailure returns the failure in err. An error of another kind counts as sent,
// since nothing is known about it.
func AsFailure(err error) Failure {
	var f Failure
	if errors.As(err, &f) {
		return f
	}
	return Failure{Reason: ReasonOutcomeUnknown, Detail: err.Error(), Sent: true}
}
