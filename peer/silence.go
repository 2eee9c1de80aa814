package peer

import "time"

// silenceIntervals is the number of intervals in which the peer timeout is checked.
const silenceIntervals = 6

// silence tells a peer that doesn't send from a pause of the own process, after which the
// answers of the peer are unread in the socket: an interval that is checked late counts once.
type silence struct {
	intervals int
	checkedAt time.Time
}

// restart begins the silence anew.
func (s *silence) restart(now time.Time) { *s = silence{checkedAt: now} }

// check counts the interval that has ended, if any. It returns the time until the next check,
// and whether the peer has been silent for the peer timeout.
func (s *silence) check(now time.Time, peerTimeout time.Duration) (next time.Duration, isOver bool) {
	interval := peerTimeout / silenceIntervals
	if now.Sub(s.checkedAt) >= interval {
		s.intervals++
		s.checkedAt = now
	}
	return s.checkedAt.Add(interval).Sub(now), s.intervals >= silenceIntervals
}
