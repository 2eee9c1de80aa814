// Package drain decides what an instance still serves while it shuts down. A request that
// may still be unanswered when the process ends is refused while nothing of it has run, so
// that its client can send it to another instance. The package also holds the unanswered
// attempts, and what each waits for.
package drain

import "time"

const (
	// BalancerLag is how long an instance that shuts down accepts connections, and requests
	// with any deadline: the balancer checks readiness once a second and stops sending
	// clients after two failed checks.
	BalancerLag = 2800 * time.Millisecond
	// answerReserve is the part at the end of the grace period in which the requests that
	// are still unanswered get a final answer.
	answerReserve = 700 * time.Millisecond
	// closeReserve is the part at the end of the grace period in which connections are
	// closed whose requests are still unanswered, and exitReserve the part in which the
	// process waits for nothing any more.
	closeReserve = 150 * time.Millisecond
	exitReserve  = 50 * time.Millisecond
)

// Schedule holds the times of a shutdown. It is an immutable value. The zero value is the
// schedule of an instance that doesn't shut down.
type Schedule struct {
	// AdmitAllUntil is until when requests with any deadline are admitted.
	AdmitAllUntil time.Time
	// AnswerBy is when the requests that are still unanswered get a final answer.
	AnswerBy time.Time
	// CloseBy is when connections are closed although their requests are unanswered.
	CloseBy time.Time
	// ExitBy is when the process exits, whatever hasn't ended.
	ExitBy time.Time
}

// NewSchedule returns the schedule of a shutdown that begins at a time, after which the
// process is killed at the end of a grace period.
func NewSchedule(at time.Time, grace time.Duration) Schedule {
	return Schedule{
		AdmitAllUntil: at.Add(BalancerLag),
		AnswerBy:      at.Add(max(0, grace-answerReserve)),
		CloseBy:       at.Add(max(0, grace-closeReserve)),
		ExitBy:        at.Add(max(0, grace-exitReserve)),
	}
}

// Admits reports whether a request that arrives now is admitted: once the balancer has had
// time to stop sending clients, only if its deadline passes before the unanswered requests
// get a final answer.
func (s Schedule) Admits(now, deadline time.Time) bool {
	switch {
	case s == Schedule{}:
		return true
	case !now.Before(s.AnswerBy):
		return false
	}
	return now.Before(s.AdmitAllUntil) || !deadline.After(s.AnswerBy)
}

// AllowsSend reports whether a request may be sent to a server that is expected to answer
// after a time. One that would be cut off there is better refused as not run.
func (s Schedule) AllowsSend(now time.Time, expected time.Duration) bool {
	return s == Schedule{} || now.Add(expected).Before(s.AnswerBy)
}
