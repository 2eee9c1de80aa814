package batch

import (
	"math"
	"time"
)

// Spec is what a pool declares of its servers.
type Spec struct {
	Pool string
	// Slots is the number of calls that a server works on at once.
	Slots int
	// Size is the largest number of pieces in a call.
	Size int
	// CallTime and ItemTime are the time of a call and of each piece in it.
	CallTime time.Duration
	ItemTime time.Duration
	// Room is how many bytes of results a server keeps, Life how long it keeps one.
	Room int64
	Life time.Duration
}

// roomShare is the part of a server's room that is used. Results differ in size from
// what their pool declares: of calls that filled the room up, one in three came back
// with a piece that had found none.
const roomShare = 0.94

// usable returns how many bytes of results are given to a server.
func (s Spec) usable() int64 { return int64(roomShare * float64(s.Room)) }

// duration returns the usual time of a call with some pieces.
func (s Spec) duration(pieces int) time.Duration {
	return s.CallTime + time.Duration(pieces)*s.ItemTime
}

// Place is where a server of a pool is.
type Place struct {
	ID         string
	Address    string
	DataCentre string
}

const (
	// slownessWeight is the weight of a new sample of a server's speed.
	slownessWeight = 0.4
	minSlowness    = 0.5
	maxSlowness    = 20
	// slownessLife is the time in which half of what is known of a server's speed
	// gets old: one that was slow once and got no call since may be fast again.
	slownessLife = 2 * time.Second
	// A server that failed is left alone for a time that doubles with each failure
	// in a row.
	minBlock = 150 * time.Millisecond
	maxBlock = 3 * time.Second
	// fullBlock is how long a server that was full is left alone.
	fullBlock = 60 * time.Millisecond
	// unknownLife is how long a server's word on its room holds. Reports are some
	// hundred milliseconds old, and the unknown results go away by themselves.
	unknownLife = 600 * time.Millisecond
)

// Server is what is known of a server of a pool. It is an immutable value.
type Server struct {
	Place
	// Calls is the number of calls in progress, Free when the last one is expected
	// to end.
	Calls int
	Free  time.Time
	// Held is the room that results take, those of calls in progress included.
	Held int64
	// Slowness is the smoothed time of a call relative to the usual one, as of
	// measuredAt.
	Slowness   float64
	measuredAt time.Time

	// unknown is the room that results take of which this table doesn't know, until
	// unknownUntil.
	unknown      int64
	unknownUntil time.Time
	failures     int
	blockedUntil time.Time
	// isUnlisted servers end their calls and get no new ones.
	isUnlisted bool
}

func newServer(p Place) Server { return Server{Place: p, Slowness: 1} }

// WithCall returns the server with one more call in progress.
func (s Server) WithCall(bytes int64, end time.Time) Server {
	s.Calls++
	s.Held += bytes
	s.Free = end
	return s
}

// WithEnd returns the server after a call that took a time in place of the usual
// one, of whose room some bytes are not used.
func (s Server) WithEnd(took, usual time.Duration, unused int64, now time.Time) Server {
	s.Calls--
	s.Held = max(0, s.Held-unused)
	s.failures = 0
	if usual > 0 {
		known := s.slowness(now)
		s.Slowness, s.measuredAt = known+slownessWeight*(sample(took, usual)-known), now
	}
	return s
}

// WithTimeout returns the server after a call was given up that had not ended after a
// time. The server is at least that slow.
func (s Server) WithTimeout(took, usual time.Duration, now time.Time) Server {
	if usual > 0 {
		s.Slowness, s.measuredAt = max(s.slowness(now), sample(took, usual)), now
	}
	return s
}

func sample(took, usual time.Duration) float64 {
	return min(maxSlowness, max(minSlowness, float64(took)/float64(usual)))
}

// slowness returns the slowness by what is known and how old that is.
func (s Server) slowness(now time.Time) float64 {
	age := max(0, now.Sub(s.measuredAt))
	return 1 + (s.Slowness-1)*math.Exp2(-float64(age)/float64(slownessLife))
}

// WithFailure returns the server after a failed call.
func (s Server) WithFailure(unused int64, now time.Time) Server {
	s.Calls--
	s.Held = max(0, s.Held-unused)
	s.blockedUntil = now.Add(min(maxBlock, minBlock<<min(s.failures, 8)))
	s.failures++
	return s
}

// WithBlock returns the server left alone until a time at least.
func (s Server) WithBlock(until time.Time) Server {
	if s.blockedUntil.Before(until) {
		s.blockedUntil = until
	}
	return s
}

// WithFull returns the server after it had no place for a call or a result.
func (s Server) WithFull(now time.Time) Server {
	s.blockedUntil = now.Add(fullBlock)
	return s
}

// WithAdopted returns the server with a result that an earlier coordinator had
// made. It is no longer unknown.
func (s Server) WithAdopted(bytes int64) Server {
	s.Held += bytes
	s.unknown = max(0, s.unknown-bytes)
	return s
}

// WithUnknown returns the server after it said how much room is taken by results
// that are not counted.
func (s Server) WithUnknown(bytes int64, now time.Time) Server {
	s.unknown, s.unknownUntil = max(0, bytes), now.Add(unknownLife)
	return s
}

// taken returns the room that is taken.
func (s Server) taken(now time.Time) int64 {
	if now.Before(s.unknownUntil) {
		return s.Held + s.unknown
	}
	return s.Held
}

// WithFreed returns the server after results gave their room back.
func (s Server) WithFreed(bytes int64) Server {
	s.Held = max(0, s.Held-bytes)
	return s
}

// hasRoom reports whether a result still has room at the server. An empty one takes it
// whatever its size.
func (s Server) hasRoom(spec Spec, bytes int64, now time.Time) bool {
	taken := s.taken(now)
	return taken == 0 || taken+bytes <= spec.usable()
}

// isBlocked reports whether the server may get no call at the moment.
func (s Server) isBlocked(now time.Time) bool { return s.isUnlisted || now.Before(s.blockedUntil) }

// untilFree returns how long the server is expected to be busy. One that is overdue may
// never end its call: it is expected to need as long again.
func (s Server) untilFree(now time.Time) time.Duration { return s.Free.Sub(now).Abs() }

// expected returns the time that a call of some pieces is expected to take.
func (s Server) expected(spec Spec, pieces int, now time.Time) time.Duration {
	return time.Duration(float64(spec.duration(pieces)) * s.slowness(now))
}
