package delivery

import (
	"time"

	"lycheecrank.example/route"
)

// The client of a stream disconnects if it receives no event for the longest of
// these times: a fixed one, a multiple of its route's objective and a multiple of
// its route's longest pause. The platform's protocol defines them.
const (
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// patience returns how long the client of a stream waits for its next event. It
// reports false if the route has no objective to derive the time from.
func patience(r route.Route) (time.Duration, bool) {
	if r.Objective <= 0 {
		return 0, false
	}
	return max(leastPatience, objectivePatience*r.Objective, gapPatience*r.Gap), true
}

// leavesAt returns when the client disconnects if no further event arrives.
func (s *streaming) leavesAt() time.Time {
	d, ok := patience(s.routed.route)
	if !ok || s.routed.deadline.Before(s.heardAt.Add(d)) {
		return s.routed.deadline
	}
	return s.heardAt.Add(d)
}
