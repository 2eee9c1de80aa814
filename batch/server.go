package batch

import "time"

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
	// Slowness is the smoothed time of a call relative to the usual one.
	Slowness float64

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
func (s Server) WithEnd(took, usual time.Duration, unused int64) Server {
	s.Calls--
	s.Held = max(0, s.Held-unused)
	s.failures = 0
	if usual > 0 {
		sample := min(maxSlowness, max(minSlowness, float64(took)/float64(usual)))
		s.Slowness += slownessWeight * (sample - s.Slowness)
	}
	return s
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

// isBlocked reports whether the server may get no call at the moment.
func (s Server) isBlocked(now time.Time) bool { return s.isUnlisted || now.Before(s.blockedUntil) }

// untilFree returns how long the server is expected to be busy. One that is overdue may
// never end its call: it is expected to need as long again.
func (s Server) untilFree(now time.Time) time.Duration { return s.Free.Sub(now).Abs() }

// expected returns the time that a call of some pieces is expected to take.
func (s Server) expected(spec Spec, pieces int) time.Duration {
	return time.Duration(float64(spec.duration(pieces)) * s.Slowness)
}
