package backend

import (
	"math"
	"time"
)

const (
	// coldShare is the part that all instances together use of the requests per second
	// that a server sustains in cold start. Turns of two groups of instances that have
	// forgotten each other add up to twice 0.7 and, with turnLifetime, to 1.47 of the
	// limit and two requests in a second. The bound is 1.5 of it and five requests.
	coldShare = 0.7
	// turnLifetime is how long an instance can use a turn. It bounds the requests that
	// all instances send at once after they have waited, or had nothing to send. A
	// request that waits tries every 10 ms.
	turnLifetime = 50 * time.Millisecond
	// minTurnSpacing is the least part of the interval between two turns that an instance
	// uses. It is below 1 because the wall clock is slewed, and limits what an instance
	// sends while the number of instances changes.
	minTurnSpacing = 0.75
	// maxTurnInterval is the longest interval between two turns of an instance.
	maxTurnInterval = time.Hour
)

// ColdLimit limits the requests of all instances to a server in cold start, whether or
// not they reach each other. The instances take turns at equal intervals of the wall
// clock, in an order that all of them know, and a turn that isn't used soon is lost. So
// there is no burst when they discover the server together, after they have waited, or if
// many of them have been idle. It is an immutable value.
type ColdLimit struct {
	// RequestsPerSecond is the rate that the server sustains in cold start, 0 for no limit.
	RequestsPerSecond float64
	// Instances is the number of known instances, including this one. 0 stands for an
	// unknown number, for which the instance has no turns.
	Instances int
	// Position is the position of this instance in the order, from 0 on.
	Position int
}

// interval returns the time between two turns of this instance.
func (l ColdLimit) interval() time.Duration {
	seconds := float64(l.Instances) / (l.RequestsPerSecond * coldShare)
	return max(time.Duration(l.Instances), time.Duration(math.Min(seconds, maxTurnInterval.Seconds())*float64(time.Second)))
}

// Turn returns the start of the turn that this instance may use now, which is later than
// the last one that it has used. It reports false if there is none.
func (l ColdLimit) Turn(last, now time.Time) (time.Time, bool) {
	if l.Instances <= 0 {
		return time.Time{}, false
	}
	interval := l.interval()
	offset := interval / time.Duration(l.Instances) * time.Duration(l.Position)
	sinceTurn := (time.Duration(now.UnixNano()) - offset) % interval
	if sinceTurn >= turnLifetime {
		return time.Time{}, false
	}
	// The oldest turn is used first that has neither expired nor been used.
	age := sinceTurn + (turnLifetime-1-sinceTurn)/interval*interval
	maxAge := now.Sub(last) - max(1, time.Duration(minTurnSpacing*float64(interval)))
	if excess := age - maxAge; !last.IsZero() && excess > 0 {
		age -= (excess + interval - 1) / interval * interval
	}
	return now.Add(-age), age >= 0
}

// isInColdStart reports whether a server is in cold start according to its entry, or may
// be because it could not be reached and has not reported since.
func isInColdStart(s *Server, now time.Time) bool {
	return now.Before(s.ColdUntil) || now.Before(s.maybeColdUntil)
}

// hasColdTurn reports whether the limit for cold start allows one more step on a server.
func hasColdTurn(s *Server, now time.Time) bool {
	if s.ColdLimit.RequestsPerSecond <= 0 || !isInColdStart(s, now) {
		return true
	}
	_, ok := s.ColdLimit.Turn(s.lastTurn, now)
	return ok
}

// withColdTurn returns the server after a step has used a turn, if the server is in cold
// start.
func (s Server) withColdTurn(now time.Time) Server {
	if s.ColdLimit.RequestsPerSecond <= 0 || !isInColdStart(&s, now) {
		return s
	}
	if turn, ok := s.ColdLimit.Turn(s.lastTurn, now); ok {
		s.lastTurn = turn
	}
	return s
}
