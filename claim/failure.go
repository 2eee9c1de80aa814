package claim

import (
	"errors"
	"time"

	"lycheecrank.example/request"
)

// The errors of claiming a key, of applying records and of finishing a claim.
var (
	// ErrNotAppended is returned by Claimer.Append if the records are definitely
	// not in the log and never will be. After any other error they may be in the
	// log, or appear in it later.
	ErrNotAppended = errors.New("records not appended")
	// ErrRecordsMissing is returned by Commands.ApplyRecords if records are missing
	// between the last applied record and the given ones.
	ErrRecordsMissing = errors.New("claim records missing")
	// ErrUnknownStream is returned for a name that is not that of a claim stream.
	ErrUnknownStream = errors.New("unknown claim stream")
	// ErrOutcomePending is returned by Ticket.Finish and Claimer.Flush if the
	// context ended before the outcome was in the log. The append continues in
	// the background.
	ErrOutcomePending = errors.New("claim outcome not yet in the log")
	// ErrOutcomeDropped is returned by Ticket.Finish if the queue of outcomes is
	// full. Other claimers continue to see the key as running.
	ErrOutcomeDropped = errors.New("claim outcome dropped: queue full")
	// ErrAlreadyFinished is returned by every call of Ticket.Finish after the first.
	ErrAlreadyFinished = errors.New("claim already finished")
)

const (
	retryAfterRunning     = 250 * time.Millisecond
	retryAfterUnavailable = time.Second
)

// AlreadyRanError is returned by Claimer.Claim if an earlier call with the key
// ran. It carries the result of that call.
type AlreadyRanError struct {
	Result Result
}

// Error implements error. The text does not depend on the result.
func (AlreadyRanError) Error() string { return "a call with this key has already run" }

func refuseUnavailable(detail string) error {
	return request.Refuse(request.ReasonClaimLogUnavailable, detail).WithRetryAfter(retryAfterUnavailable)
}

func refuseOutsideWindow() error {
	return request.Refuse(request.ReasonKeyOutsideWindow, "the timestamp of the key is too old or too far in the future")
}
