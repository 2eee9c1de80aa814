// Package admission decides whether a new request is served on time, served late or
// refused, from estimates of how long its preparation will take. It answers loads that
// exceed the capacity of the stage servers: a flood of one class, the return of all
// clients after an outage, the loss of half of the servers.
//
// Without it, the requests of a lasting overload all wait until the latest moment at which
// they could still be on time, miss their objectives by a little and use the capacity with
// which a part of them could have met theirs.
package admission

import "time"

// Outcome is what happens to a new request.
type Outcome int

// The outcomes.
const (
	// OnTime: the request is expected to meet its objective and is queued by it.
	OnTime Outcome = iota
	// Late: the request is expected to miss its objective. It is queued behind all
	// requests that can still meet theirs.
	Late
	// Decline: another cell is asked, because this one expects to miss the objective.
	Decline
	// Refuse: the request can't be served within its deadline, or only so late that its
	// client is better served by an answer now.
	Refuse
)

// lateLimit is how far past its objective a request is still accepted. Short bursts of
// requests cause shorter delays. For stages that take longer than the objective without any
// delay, the limit counts from their end: a refusal would leave the servers idle.
const lateLimit = 1800 * time.Millisecond

// Estimate holds what is expected of a request.
type Estimate struct {
	// OnTime is the expected time of its stages if it is queued by its objective, Late if
	// it is queued behind the requests that can meet theirs. A time of 0 means that
	// nothing is expected to delay the request.
	OnTime time.Duration
	Late   time.Duration
	// Alone is the time of its stages if no other request waits.
	Alone time.Duration
	// Engine is the expected time from the end of the stages to the first event.
	Engine time.Duration
}

// Terms are the times of a request, counted from now.
type Terms struct {
	// Objective is the time until the objective, Deadline that until the client leaves.
	Objective time.Duration
	Deadline  time.Duration
	// OnTimeOnly is set if another cell can be asked.
	OnTimeOnly bool
	// ExceedsShare is set if the workspace of the request has had more than its fair share
	// lately, in a shortage.
	ExceedsShare bool
}

// overShare is the part of the objective that the requests of a workspace above its fair
// share may take up. The rest is room for the others, and the queue never runs empty for
// want of them.
const overShare = 0.7

// limit is the time within which a request counts as on time.
func (t Terms) limit() time.Duration {
	if t.ExceedsShare {
		return time.Duration(overShare * float64(t.Objective))
	}
	return t.Objective
}

// Decide returns the outcome for a request, and the time that its stages are expected to
// take.
func Decide(e Estimate, t Terms) (Outcome, time.Duration) {
	switch {
	case e.OnTime == 0 || e.OnTime+e.Engine <= t.limit():
		return OnTime, e.OnTime
	case t.OnTimeOnly:
		return Decline, e.OnTime
	case e.Late > min(max(t.Objective, e.Alone)+lateLimit, t.Deadline):
		return Refuse, e.Late
	}
	return Late, e.Late
}
