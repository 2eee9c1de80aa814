package delivery

import (
	"time"

	"lycheecrank.example/route"
)

// The client of a stream disconnects if it receives no event for the longest of
// these times: a fixed one, a multiple of its route's objective and a multiple of
// its route's longest pause. The platform's protocol defines them.
const (
	minIdleTimeout          = 2 * time.Second
	idleTimeoutPerObjective = 4
	idleTimeoutPerGap       = 8
)

// idleTimeout returns how long the client of a stream waits for its next event. It
// reports false if the route has no objective to derive the time from.
func idleTimeout(r route.Route) (time.Duration, bool) {
	if r.Objective <= 0 {
		return 0, false
	}
	return max(minIdleTimeout, idleTimeoutPerObjective*r.Objective, idleTimeoutPerGap*r.MaxEventGap), true
}

// idleDeadline returns when the client disconnects if no further event arrives.
func (s *preparedAttempt) idleDeadline() time.Time {
	timeout, ok := idleTimeout(s.routed.route)
	if !ok || s.routed.deadline.Before(s.lastEventAt.Add(timeout)) {
		return s.routed.deadline
	}
	return s.lastEventAt.Add(timeout)
}
