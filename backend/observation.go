package backend

import (
	"time"

	"lycheecrank.example/request"
)

const (
	// slowFactor and slowMargin: a success that takes this much longer than the
	// smoothed time shows a server that has turned cold. The margin keeps noise
	// of a few milliseconds on fast servers from counting.
	slowFactor = 3
	slowMargin = 50 * time.Millisecond
	// smoothing is the weight of a new sample of the service time.
	smoothing = 0.1
	// maxReportAge is the age at which a load report counts as unknown. The same
	// holds for one that is that far ahead, since its clock is wrong.
	maxReportAge = 5 * time.Second
	// A server that failed is left alone for a time that doubles with each
	// failure in a row.
	minBlock = 100 * time.Millisecond
	maxBlock = 5 * time.Second
	// failuresUntilCold: that many failures in a row count as a cold server.
	failuresUntilCold = 3
)

// Observation is what an instance saw of one step at a server.
type Observation struct {
	// Reason is empty for a success.
	Reason request.Reason
	// Sent is when the step was sent. A success counts for the ramp only if it
	// was sent after the server was found cold.
	Sent time.Time
	// Responded is the time from sending to the whole answer, or to the first
	// piece of a stream.
	Responded   time.Duration
	Incarnation string
}

// WithObservation returns the server after one of its steps has ended.
func (s Server) WithObservation(o Observation, now time.Time) Server {
	s.InFlight--
	if o.Incarnation != "" {
		s = s.withIncarnation(o.Incarnation, o.Sent, now)
	}
	switch o.Reason {
	case "":
		return s.withSuccess(o, now)
	case request.ReasonServerCold, request.ReasonServerUnreachable:
		return s.withFailure(now).WithCold(now)
	case request.ReasonDeadlinePassed:
		// A server that is frozen gives no other sign.
		if s.isLate(o.Responded) {
			return s.withFailure(now).WithCold(now)
		}
	case request.ReasonServerFailed, request.ReasonResultInvalid:
		s = s.withFailure(now)
		if s.failures >= failuresUntilCold {
			return s.WithCold(now)
		}
	}
	return s
}

// withIncarnation returns the server after it gave its incarnation to a step
// that was sent, or in a report that was measured, at some time.
func (s Server) withIncarnation(incarnation string, at, now time.Time) Server {
	if s.Incarnation == incarnation {
		if at.After(s.doubtedSince) {
			s.doubtedSince = time.Time{}
		}
		return s
	}
	restarted := s.Incarnation != ""
	s.Incarnation = incarnation
	if restarted {
		return s.WithCold(now)
	}
	return s
}

func (s Server) withFailure(now time.Time) Server {
	block := min(minBlock<<min(s.failures, 10), maxBlock)
	s.failures++
	s.blockedUntil = now.Add(block)
	return s
}

func (s Server) withSuccess(o Observation, now time.Time) Server {
	s.failures = 0
	if s.isSlow(o.Responded) {
		return s.WithCold(now)
	}
	if s.ServiceTime > 0 {
		s.Deviation = smooth(s.Deviation, (o.Responded - s.ServiceTime).Abs())
	}
	s.ServiceTime = smooth(s.ServiceTime, o.Responded)
	s.measuredAt = now
	if s.Warmth == Warm || o.Sent.Before(s.ColdSince) {
		return s
	}
	s.successes++
	return s.raised()
}

// isSlow reports whether a warm server took as long as one that has turned cold.
func (s Server) isSlow(responded time.Duration) bool {
	return s.Warmth == Warm && s.ServiceTime > 0 && s.isLate(responded)
}

func (s Server) isLate(responded time.Duration) bool {
	return responded > slowFactor*s.ServiceTime && responded > s.ServiceTime+slowMargin
}

// raised returns the server with a doubled limit if a full round of successes
// at the current one and a report from after the cold start allow it.
func (s Server) raised() Server {
	if s.successes < s.Allowed || !s.reportedWarm {
		return s
	}
	s.Warmth = Warming
	s.successes = 0
	s.Allowed = min(2*s.Allowed, s.MaxInFlight)
	if s.Allowed == s.MaxInFlight {
		s.Warmth = Warm
	}
	return s
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

// Report is a load report of a server, which may be old or wrong.
type Report struct {
	Incarnation string
	Cold        bool
	Leaving     bool
	MeasuredAt  time.Time
}

// WithReport returns the server after a load report. A report that says cold
// counts at any age below the bound; one that says warm only if it was measured
// after the server was last found cold. One that was measured before the latest
// one was overtaken on its way and tells nothing.
func (s Server) WithReport(r Report, now time.Time) Server {
	if now.Sub(r.MeasuredAt).Abs() > maxReportAge || r.MeasuredAt.Before(s.reportedAt) {
		return s
	}
	s.reportedAt = r.MeasuredAt
	if r.Incarnation != "" {
		s = s.withIncarnation(r.Incarnation, r.MeasuredAt, now)
	}
	s.ReportedLeaving = r.Leaving
	if r.Cold {
		if s.Warmth != Cold {
			return s.WithCold(now)
		}
		s.reportedWarm = false
		return s
	}
	if r.MeasuredAt.After(s.ColdSince) {
		s.reportedWarm = true
	}
	return s.raised()
}
