// Package backend holds an instance's view of the backend servers that it
// dispatches to: their limits, warmth, speed and load. It decides how many steps
// a server may get and which server is the best one for a step.
package backend

import (
	"time"

	"lycheecrank.example/speed"
)

// Warmth is the warm-up state of a server, which determines its limit.
type Warmth int

// The warm-up states. A server of unknown state is cold.
const (
	// Cold servers are limited to Spec.ColdInFlight.
	Cold Warmth = iota
	// Warming servers have a limit that is doubled after as many successes as the
	// limit.
	Warming
	// Warm servers are limited to Spec.MaxInFlight.
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

// Spec is the configuration of a server in the catalogue.
type Spec struct {
	Name       string
	Pool       string
	DataCentre string
	// Address has the form IP:port.
	Address string
	// LowestRank is the largest rank that the server serves. Rank 0 is the best class,
	// so the server serves all classes from rank 0 through LowestRank.
	LowestRank int
	// MaxInFlight is the maximum number of steps in flight. It is at least 1.
	MaxInFlight int
	// ColdInFlight is the maximum number of steps in flight while the server is cold.
	// It is at least 1.
	ColdInFlight int
	// ColdLimit limits the steps per second until ColdUntil, the end of the cold start that
	// the server reports. ColdTime is how long a cold start takes; 0 if the servers of the
	// pool have none.
	ColdLimit ColdLimit
	ColdUntil time.Time
	ColdTime  time.Duration
	// TakenOut is set if operators have taken the server out, so that it gets no
	// new steps.
	TakenOut bool
	// PausedUntil is the end of the time in which the server wants no steps of this
	// instance.
	PausedUntil time.Time
}

// Server is an instance's view of a backend server. It is an immutable value.
type Server struct {
	Spec
	// Incarnation is the last known identifier of the server's process. A new one
	// means that the server has restarted.
	Incarnation string
	Warmth      Warmth
	// ColdSince is when the server was last found cold.
	ColdSince time.Time
	// CurrentLimit is the current limit of steps in flight.
	CurrentLimit int
	InFlight     int
	// ServiceTime is the smoothed duration of successful steps, or 0 if unknown.
	ServiceTime time.Duration
	// Deviation is the smoothed absolute difference between the duration of
	// successful steps and ServiceTime.
	Deviation time.Duration
	// measuredAt is when ServiceTime was last measured.
	measuredAt time.Time
	// speed is the slowness that the server reports with its responses.
	speed speed.Estimate
	// ListedLeaving is set if the server is leaving according to the platform's list
	// of instances, which contains the backend servers too. The list and the load
	// reports may both lag behind, so either one suffices.
	ListedLeaving bool
	// ReportedLeaving is set if the server is leaving according to its own load report.
	ReportedLeaving bool

	// successes counts the successful steps after the last change of the limit.
	successes int
	// reportedWarm is set by a warm report that was measured after ColdSince.
	reportedWarm bool
	// reportedAt is when the latest report was measured.
	reportedAt time.Time
	// reportsOnly is set while this instance has neither reserved a slot on the
	// server nor found it cold, so that its state is known from reports only.
	reportsOnly bool
	// reportedWarmSince is when the first of the consecutive warm reports was
	// measured.
	reportedWarmSince time.Time
	// failures counts the consecutive failed steps.
	failures int
	// backoffUntil is the time until which the server gets no steps after a failure.
	backoffUntil time.Time
	// unconfirmedSince is when the server last closed a connection, which may be
	// caused by a restart. It is reset by a response or report of the same
	// incarnation from after that time.
	unconfirmedSince time.Time
	// maybeColdUntil is the end of the time in which the server may be in cold start because
	// it has restarted while it could not be reached. A report ends it.
	maybeColdUntil time.Time
	// lastTurn is the start of the last turn that a step has used (see ColdLimit).
	lastTurn time.Time
	// suspectedSince is when a warm server gave a slow response; zero if none, or if a
	// step sent later took a normal time.
	suspectedSince time.Time
	// coldBySpeed is set while slow responses are the only evidence that the server is
	// cold.
	coldBySpeed bool
}

// NewServer returns the view of a server for which only the catalogue entry is
// known.
func NewServer(spec Spec, now time.Time) Server {
	return Server{Spec: spec, CurrentLimit: spec.ColdInFlight, ColdSince: now, reportsOnly: true}
}

// WithSpec returns the server with a new catalogue entry. A new address means a
// different server, which starts cold. So does a server with a new cold limit.
func (s Server) WithSpec(spec Spec, now time.Time) Server {
	mustRestartWarmUp := s.Address != spec.Address || s.ColdInFlight != spec.ColdInFlight
	s.Spec = spec
	if mustRestartWarmUp {
		s.reportedAt = time.Time{}
		return s.WithCold(now)
	}
	s.CurrentLimit = min(s.CurrentLimit, spec.MaxInFlight)
	if s.Warmth == Warm && s.CurrentLimit < spec.MaxInFlight {
		s.Warmth, s.successes = Warming, 0
	}
	return s
}

// WithCold returns the server as cold from now on.
func (s Server) WithCold(now time.Time) Server {
	s.Warmth = Cold
	s.ColdSince = now
	s.CurrentLimit = s.ColdInFlight
	s.successes = 0
	s.reportedWarm = false
	s.reportsOnly = false
	s.reportedWarmSince = time.Time{}
	s.unconfirmedSince = time.Time{}
	s.suspectedSince = time.Time{}
	s.coldBySpeed = false
	return s
}

// WithConnectionLost returns the server after it closed a connection, which may be
// caused by a restart. A warm server is limited like a cold one until it confirms
// its incarnation.
func (s Server) WithConnectionLost(now time.Time) Server {
	if s.Warmth != Cold {
		s.unconfirmedSince = now
	}
	return s
}

// WithReserved returns the server with one more step in flight.
func (s Server) WithReserved() Server {
	s.InFlight++
	s.reportsOnly = false
	return s
}

// IsLeaving reports whether the server is leaving or taken out, so that it gets
// no new steps.
func (s Server) IsLeaving() bool { return s.TakenOut || s.ListedLeaving || s.ReportedLeaving }

// WithPause returns the server after it said that it wants no steps until a time.
func (s Server) WithPause(until time.Time) Server {
	if s.PausedUntil.Before(until) {
		s.PausedUntil = until
	}
	return s
}

// WithLoad returns the server after a response with its load was received at a time.
func (s Server) WithLoad(load speed.Report, at time.Time) Server {
	s.speed = s.speed.WithReport(load, at)
	return s
}

// WithTakenOut returns the server as taken out.
func (s Server) WithTakenOut() Server {
	s.TakenOut = true
	return s
}

// WithListedLeaving returns the server as leaving or not, according to the
// platform's list of instances.
func (s Server) WithListedLeaving(leaving bool) Server {
	s.ListedLeaving = leaving
	return s
}
