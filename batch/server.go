package batch

import (
	"math"
	"time"

	"lycheecrank.example/speed"
)

// Spec describes the servers of a pool.
type Spec struct {
	Pool string
	// Slots is the number of calls that a server runs concurrently.
	Slots int
	// MaxPieces is the largest number of pieces in a call.
	MaxPieces int
	// CallTime is the fixed time of a call, ItemTime the additional time for each
	// piece.
	CallTime time.Duration
	ItemTime time.Duration
	// ResultMemoryBytes is the result memory of a server, ResultLifetime how long it
	// keeps a result.
	ResultMemoryBytes int64
	ResultLifetime    time.Duration
}

// usableMemoryShare is the share of a server's result memory that is allocated. Results
// differ in size from what their pool declares: when calls filled all of the memory,
// one in three returned a piece without a result for lack of memory.
const usableMemoryShare = 0.94

// usableMemory returns how many bytes of results are allocated at a server.
func (s Spec) usableMemory() int64 { return int64(usableMemoryShare * float64(s.ResultMemoryBytes)) }

// typicalTime returns the typical time of a call with some pieces.
func (s Spec) typicalTime(pieces int) time.Duration {
	return s.CallTime + time.Duration(pieces)*s.ItemTime
}

// Endpoint identifies a server of a pool and its location.
type Endpoint struct {
	ID         string
	Address    string
	DataCentre string
	// StartedUnixMilli is the start time that the process of the server reports, 0 if it
	// reports none.
	StartedUnixMilli int64
	// IsTrial is set for a server of a version that is tried out. It gets only the pieces
	// with IsTrial.
	IsTrial bool
}

const (
	// slownessWeight is the weight of a new sample of a server's speed.
	slownessWeight = 0.4
	minSlowness    = 0.5
	maxSlowness    = 20
	// slownessHalfLife is the time in which a measured slowness loses half of its
	// weight: a server that was slow and had no call in the meantime may be fast again.
	slownessHalfLife = 2 * time.Second
	// A failed server gets no calls for a time that doubles with each consecutive
	// failure.
	minBlock = 150 * time.Millisecond
	maxBlock = 3 * time.Second
	// A full server gets no calls for a time that doubles with each consecutive time it
	// is full: it may be busy with the calls of an earlier coordinator.
	minFullBlock = 60 * time.Millisecond
	maxFullBlock = 300 * time.Millisecond
	// unaccountedLifetime is how long the unaccounted memory derived from a server's
	// report counts as used. It is short, because a report is already some hundred
	// milliseconds old and the unaccounted results expire by themselves.
	unaccountedLifetime = 600 * time.Millisecond
)

// Server is the state of a server of a pool. It is an immutable value.
type Server struct {
	Endpoint
	// Calls is the number of calls in progress, FreeAt the time at which the call that
	// was sent last is expected to end.
	Calls  int
	FreeAt time.Time
	// AllocatedMemory is the result memory in use, including that reserved for calls in
	// progress.
	AllocatedMemory int64
	// Slowness is the smoothed ratio of the measured to the typical time of a call, as
	// of measuredAt, without the slowness that the server reports.
	Slowness   float64
	measuredAt time.Time
	// reported is the slowness that the server reports.
	reported speed.Estimate

	// unaccounted is the memory in use, until unaccountedUntil, by results that are not
	// in the table.
	unaccounted      int64
	unaccountedUntil time.Time
	failures         int
	// fulls is the number of consecutive times that the server was full.
	fulls        int
	blockedUntil time.Time
	// pausedUntil is the end of the time in which the server wants no calls.
	pausedUntil time.Time
	// isDraining servers finish their calls and get no new ones.
	isDraining bool
}

func newServer(p Endpoint) Server { return Server{Endpoint: p, Slowness: 1} }

// WithCall returns the server with one more call in progress, which reserves memory and
// is expected to end at a given time.
func (s Server) WithCall(bytes int64, end time.Time) Server {
	s.Calls++
	s.AllocatedMemory += bytes
	s.FreeAt = end
	return s
}

// WithCallEnd returns the server after a call that took a given time instead of the
// typical one and left some of its reserved bytes unused.
func (s Server) WithCallEnd(took, typical time.Duration, unused int64, now time.Time) Server {
	s.Calls--
	s.AllocatedMemory = max(0, s.AllocatedMemory-unused)
	s.failures = 0
	if typical > 0 {
		s.fulls = 0
		current := s.currentSlowness(now)
		s.Slowness, s.measuredAt = current+slownessWeight*(s.slownessSample(took, typical, now)-current), now
	}
	return s
}

// WithTimeout returns the server after a call timed out, which shows that it is at
// least that slow.
func (s Server) WithTimeout(took, typical time.Duration, now time.Time) Server {
	if typical > 0 {
		s.Slowness, s.measuredAt = max(s.currentSlowness(now), s.slownessSample(took, typical, now)), now
	}
	return s
}

// slownessSample returns the slowness that the time of a call shows beyond the reported
// one.
func (s Server) slownessSample(took, typical time.Duration, now time.Time) float64 {
	return min(maxSlowness, max(minSlowness, float64(took)/float64(typical)/s.reported.Factor(now)))
}

// WithLoad returns the server after a response with its load was received at a time.
func (s Server) WithLoad(load speed.Report, at time.Time) Server {
	s.reported = s.reported.WithReport(load, at)
	return s
}

// currentSlowness returns the slowness, which decays to 1 with the age of the
// measurement.
func (s Server) currentSlowness(now time.Time) float64 {
	age := max(0, now.Sub(s.measuredAt))
	return 1 + (s.Slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// WithFailure returns the server after a failed call.
func (s Server) WithFailure(unused int64, now time.Time) Server {
	s.Calls--
	s.AllocatedMemory = max(0, s.AllocatedMemory-unused)
	s.blockedUntil = now.Add(min(maxBlock, minBlock<<min(s.failures, 8)))
	s.failures++
	return s
}

// WithBlock returns the server blocked at least until a time.
func (s Server) WithBlock(until time.Time) Server {
	if s.blockedUntil.Before(until) {
		s.blockedUntil = until
	}
	return s
}

// WithPause returns the server after it said that it wants no calls until a time.
func (s Server) WithPause(until time.Time) Server {
	if s.pausedUntil.Before(until) {
		s.pausedUntil = until
	}
	return s
}

// WithFull returns the server after it had no memory for a call or a result.
func (s Server) WithFull(now time.Time) Server {
	s.blockedUntil = now.Add(min(maxFullBlock, minFullBlock<<min(s.fulls, 8)))
	s.fulls++
	return s
}

// WithRestored returns the server with a restored result of an earlier coordinator,
// which is no longer unaccounted.
func (s Server) WithRestored(bytes int64) Server {
	s.AllocatedMemory += bytes
	s.unaccounted = max(0, s.unaccounted-bytes)
	return s
}

// WithUnaccounted returns the server after it reported how much memory is used by
// results that are not in the table.
func (s Server) WithUnaccounted(bytes int64, now time.Time) Server {
	s.unaccounted, s.unaccountedUntil = max(0, bytes), now.Add(unaccountedLifetime)
	return s
}

// usedMemory returns the result memory in use, with that of unaccounted results.
func (s Server) usedMemory(now time.Time) int64 {
	if now.Before(s.unaccountedUntil) {
		return s.AllocatedMemory + s.unaccounted
	}
	return s.AllocatedMemory
}

// WithFreed returns the server after the memory of results was freed.
func (s Server) WithFreed(bytes int64) Server {
	s.AllocatedMemory = max(0, s.AllocatedMemory-bytes)
	return s
}

// hasMemory reports whether the server has memory for a result. An empty server accepts
// a result of any size.
func (s Server) hasMemory(spec Spec, bytes int64, now time.Time) bool {
	used := s.usedMemory(now)
	return used == 0 || used+bytes <= spec.usableMemory()
}

// isBlocked reports whether the server must not get calls now.
func (s Server) isBlocked(now time.Time) bool {
	return s.isDraining || now.Before(s.blockedUntil) || now.Before(s.pausedUntil)
}

// untilFree returns how long the server is expected to be busy. An overdue call may
// never end: it is expected to take as long again as it is overdue.
func (s Server) untilFree(now time.Time) time.Duration { return s.FreeAt.Sub(now).Abs() }

// expectedTime returns the expected time of a call with some pieces.
func (s Server) expectedTime(spec Spec, pieces int, now time.Time) time.Duration {
	return time.Duration(float64(spec.typicalTime(pieces)) * s.currentSlowness(now) * s.reported.Factor(now))
}

// boundedTime returns the expected time of a call, from which its timeout is derived. It
// isn't shortened by a reported slowness below the usual one, which may end meanwhile.
func (s Server) boundedTime(spec Spec, pieces int, now time.Time) time.Duration {
	return time.Duration(float64(spec.typicalTime(pieces)) * s.currentSlowness(now) * max(1, s.reported.Factor(now)))
}
