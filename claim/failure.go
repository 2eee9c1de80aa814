package claim

import (
	"errors"
	"time"

	"lycheecrank.example/request"
)

// Sentinel errors.
var (
	// ErrNotAppended is returned by Claimer.Append if the records are certainly
	// not in the log and never will be. After any other error they may be.
	ErrNotAppended = errors.New("records not appended")
	// ErrGap is returned for records that don't follow the last one applied.
	ErrGap = errors.New("gap in claim stream")
	// ErrUnknownStream is returned for a name that is no claim stream.
	ErrUnknownStream = errors.New("unknown claim stream")
	// ErrOutcomePending is returned by Ticket.Finish if the context ended before
	// the outcome was in the log; appending goes on in the background.
	ErrOutcomePending = errors.New("claim outcome not in the log yet")
	// ErrOutcomeDropped is returned by Ticket.Finish if too many outcomes wait
	// for the log already. Other claimers go on to see the key as running.
	ErrOutcomeDropped = errors.New("claim outcome dropped")
	// ErrFinished is returned by Ticket.Finish from the second call on.
	ErrFinished = errors.New("claim finished already")
)

const (
	retryAfterRunning     = 250 * time.Millisecond
	retryAfterUnavailable = time.Second
)

// AlreadyRan is the error of a claim for a key that ran, with its result.
type AlreadyRan struct {
	Result Result
}

// Error returns a fixed text.
func (AlreadyRan) Error() string { return "a call with the key has run" }

func refuseUnavailable(detail string) error {
	return request.Refuse(request.ReasonClaimLogUnavailable, detail).WithRetryAfter(retryAfterUnavailable)
}

func refuseOutsideWindow() error {
	return request.Refuse(request.ReasonKeyOutsideWindow, "the time of the key is too old or too far ahead")
}
