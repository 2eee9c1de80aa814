package request

import (
	"errors"
	"time"
)

// Failure is the error of a request or step that has no result. It unwraps to
// its Reason.
type Failure struct {
	Reason Reason
	// Detail is a human-readable explanation.
	Detail string
	// Sent is set if a byte may have reached a backend server.
	Sent bool
	// Server is the backend server that failed; empty if none was called.
	Server string
	// DataCentre is the data centre where the step was refused or failed; empty
	// if the step had not been routed.
	DataCentre string
	// RetryAfter is the minimum delay before a retry; 0 if unknown.
	RetryAfter time.Duration
}

// Refuse returns a failure without Sent. If a byte may have reached a backend server,
// the caller must add WithSent(true).
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

// WithSent returns the failure with Sent set if it was already set or sent is
// true. It never clears Sent, because a byte cannot be unsent.
func (f Failure) WithSent(sent bool) Failure {
	f.Sent = f.Sent || sent
	return f
}

// WithRetryAfter returns the failure with a minimum delay before a retry.
func (f Failure) WithRetryAfter(d time.Duration) Failure {
	f.RetryAfter = d
	return f
}

// WithDataCentre returns the failure with the data centre where it occurred,
// unless one is already set.
func (f Failure) WithDataCentre(name string) Failure {
	if f.DataCentre == "" {
		f.DataCentre = name
	}
	return f
}

// Outcome returns NotRun if nothing can have been sent, and MayHaveRun otherwise.
func (f Failure) Outcome() Outcome {
	if f.Sent {
		return MayHaveRun
	}
	return NotRun
}

// AsFailure returns the Failure that err wraps. Any other error is treated as
// sent, because it does not show whether a byte reached a backend server.
func AsFailure(err error) Failure {
	var f Failure
	if errors.As(err, &f) {
		return f
	}
	return Failure{Reason: ReasonOutcomeUnknown, Detail: err.Error(), Sent: true}
}
