// Package backend keeps an instance's view of the backend servers that it
// dispatches to: their limits, warmth, speed and load. It decides how much work
// a server gets and which server is best for a step.
package backend

import "time"

// Warmth tells whether a server bears its full load.
type Warmth int

// The states of warmth. An unknown server is cold.
const (
	// Cold servers get their cold limit.
	Cold Warmth = iota
	// Warming servers get a limit that is doubled after each full round of
	// successes.
	Warming
	// Warm servers get their full limit.
	Warm
)

// String returns the name of the state.
func (w Warmth) String() string {
	switch w {
	case Warming:
		return "warming"
	case Warm:
		return "warm"
	}
	return "cold"
}

// Spec is what the catalogue says of a server.
type Spec struct {
	Name       string
	Pool       string
	DataCentre string
	// Address is IP:port.
	Address string
	// LowestRank is the rank of the lowest class that the server serves.
	LowestRank int
	// MaxInFlight is the largest number of steps at a time, ColdInFlight the
	// largest number in cold start; both are at least 1.
	MaxInFlight  int
	ColdInFlight int
	// TakenOut tells that operators want the server to get no new work.
	TakenOut bool
}

// Server is an instance's view of a backend server. It is an immutable value.
type Server struct {
	Spec
	// Incarnation is what the server last called itself; a new one means that
	// it has restarted.
	Incarnation string
	Warmth      Warmth
	// ColdSince is when the server was last found cold.
	ColdSince time.Time
	// Allowed is the current limit of steps at a time.
	Allowed  int
	InFlight int
	// ServiceTime is the smoothed time of a successful step, 0 if unknown.
	ServiceTime time.Duration
	// Deviation is the smoothed distance of a successful step from ServiceTime.
	Deviation time.Duration
	// measuredAt is when ServiceTime was last measured.
	measuredAt time.Time
	// ListedLeaving and ReportedLeaving tell that the server is leaving, as the
	// list of instances and its own load report say. Both lag, so either counts.
	ListedLeaving   bool
	ReportedLeaving bool

	// successes counts successful steps since the limit last changed.
	successes int
	// reportedWarm tells that a fresh report from after ColdSince says warm.
	reportedWarm bool
	// reportedAt is when the latest report was measured.
	reportedAt   time.Time
	failures     int
	blockedUntil time.Time
	// doubtedSince is when a connection of the server was lost, which may mean a
	// restart. It is zero once an answer or report from after that moment came
	// from the same incarnation.
	doubtedSince time.Time
}

// NewServer returns the view of a server of which only the catalogue is known.
func NewServer(spec Spec, now time.Time) Server {
	return Server{Spec: spec, Allowed: spec.ColdInFlight, ColdSince: now}
}

// WithSpec returns the server with a new catalogue entry. Another address is
// another server and starts cold.
func (s Server) WithSpec(spec Spec, now time.Time) Server {
	moved := s.Address != spec.Address || s.ColdInFlight != spec.ColdInFlight
	s.Spec = spec
	if moved {
		s.reportedAt = time.Time{}
		return s.WithCold(now)
	}
	s.Allowed = min(s.Allowed, spec.MaxInFlight)
	if s.Warmth == Warm && s.Allowed < spec.MaxInFlight {
		s.Warmth, s.successes = Warming, 0
	}
	return s
}

// WithCold returns the server after it was found cold.
func (s Server) WithCold(now time.Time) Server {
	s.Warmth = Cold
	s.ColdSince = now
	s.Allowed = s.ColdInFlight
	s.successes = 0
	s.reportedWarm = false
	s.doubtedSince = time.Time{}
	return s
}

// WithConnectionLost returns the server after it has ended a connection. A warm
// one counts as cold until it shows that it is the same incarnation.
func (s Server) WithConnectionLost(now time.Time) Server {
	if s.Warmth != Cold {
		s.doubtedSince = now
	}
	return s
}

// WithReserved returns the server with one more step in flight.
func (s Server) WithReserved() Server {
	s.InFlight++
	return s
}

// IsLeaving reports whether the server is leaving or taken out, so that it gets
// nothing new.
func (s Server) IsLeaving() bool { return s.TakenOut || s.ListedLeaving || s.ReportedLeaving }

// WithTakenOut returns the server after operators have taken it out.
func (s Server) WithTakenOut() Server {
	s.TakenOut = true
	return s
}

// WithListedLeaving returns the server as the list of instances has it.
func (s Server) WithListedLeaving(leaving bool) Server {
	s.ListedLeaving = leaving
	return s
}
