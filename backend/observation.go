package backend

import (
	"time"

	"lycheecrank.example/request"
)

const (
	// A response is slow if it takes more than slowFactor times the smoothed service
	// time, and slowMargin longer than it. The margin ignores noise of a few
	// milliseconds on fast servers.
	slowFactor = 3
	slowMargin = 50 * time.Millisecond
	// sampleWeight is the weight of a new sample of the service time.
	sampleWeight = 0.1
	// maxReportAge is the age above which load reports are ignored. Reports that far
	// in the future are ignored too, since the clock of their server is wrong.
	maxReportAge = 5 * time.Second
	// A server that failed gets no steps for a backoff that doubles with each
	// consecutive failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// minWarmReportPeriod is how long a server that this instance knows only from
	// reports, or that is cold by its speed only, must report that it is warm until it
	// counts as warm. It is longer than the typical delay of reports.
	minWarmReportPeriod = 2 * time.Second
	// failuresUntilCold is the number of consecutive failures that mark a server as
	// cold.
	failuresUntilCold = 3
)

// Observation is the result of one step on a server as seen by an instance.
type Observation struct {
	// Reason is empty for a success.
	Reason request.Reason
	// SentAt is when the step was sent. A success counts towards a higher limit only
	// if the step was sent after the server was last found cold.
	SentAt time.Time
	// ResponseTime is the time from sending until the whole response arrived, or the
	// first piece of a stream.
	ResponseTime time.Duration
	Incarnation  string
}

// WithObservation returns the server after one of its steps has ended.
func (s Server) WithObservation(o Observation, now time.Time) Server {
	s.InFlight--
	if o.Incarnation != "" {
		s = s.withIncarnation(o.Incarnation, o.SentAt, now)
	}
	switch o.Reason {
	case "":
		return s.withSuccess(o, now)
	case request.ReasonServerCold, request.ReasonServerUnreachable:
		s.maybeColdUntil = now.Add(s.ColdTime)
		return s.withFailure(now).WithCold(now)
	case request.ReasonDeadlinePassed:
		// The only symptom of a frozen server is that deadlines pass, so a response time
		// far above normal marks it as cold.
		if s.exceedsServiceTime(o.ResponseTime) {
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

// withIncarnation returns the server after it named its incarnation, in the
// response to a step that was sent at a time or in a report measured at that time.
func (s Server) withIncarnation(incarnation string, at, now time.Time) Server {
	if s.Incarnation == incarnation {
		if at.After(s.unconfirmedSince) {
			s.unconfirmedSince = time.Time{}
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

// withFailure returns the server after a failed step, with its backoff.
func (s Server) withFailure(now time.Time) Server {
	backoff := min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	s.backoffUntil = now.Add(backoff)
	return s
}

// withSuccess returns the server after a successful step.
func (s Server) withSuccess(o Observation, now time.Time) Server {
	s.failures = 0
	if s.isSlowSuccess(o.ResponseTime) {
		return s.withSlowResponse(o.SentAt, now)
	}
	if o.SentAt.After(s.suspectedSince) {
		s.suspectedSince = time.Time{}
	}
	if s.ServiceTime > 0 {
		s.Deviation = updateAverage(s.Deviation, (o.ResponseTime - s.ServiceTime).Abs())
	}
	s.ServiceTime = updateAverage(s.ServiceTime, o.ResponseTime)
	s.speed = s.speed.WithMeasurement(sampleWeight, now)
	s.measuredAt = now
	if s.Warmth == Warm || o.SentAt.Before(s.ColdSince) {
		return s
	}
	s.successes++
	return s.withRaisedLimit()
}

// withSlowResponse returns the server after a slow response to a step that was sent at
// a time. One slow response only makes the server suspected of being cold, because a
// short stall of the machine or the network delays all steps in flight. A second one,
// to a step sent after the first arrived, marks it as cold.
func (s Server) withSlowResponse(sentAt, now time.Time) Server {
	switch {
	case s.suspectedSince.IsZero():
		s.suspectedSince = now
	case sentAt.After(s.suspectedSince):
		s = s.WithCold(now)
		s.coldBySpeed = true
	}
	return s
}

// isSlowSuccess reports whether a response of a warm server took so long that the
// server may have turned cold.
func (s Server) isSlowSuccess(responseTime time.Duration) bool {
	return s.Warmth == Warm && s.ServiceTime > 0 && s.exceedsServiceTime(responseTime)
}

// exceedsServiceTime reports whether a response took much longer than the smoothed
// service time.
func (s Server) exceedsServiceTime(responseTime time.Duration) bool {
	return responseTime > slowFactor*s.ServiceTime && responseTime > s.ServiceTime+slowMargin
}

// withRaisedLimit returns the server with a doubled limit if as many steps as the
// current limit have succeeded and a warm report from after ColdSince exists.
func (s Server) withRaisedLimit() Server {
	if s.successes < s.CurrentLimit || !s.reportedWarm {
		return s
	}
	s.Warmth = Warming
	s.successes = 0
	s.CurrentLimit = min(2*s.CurrentLimit, s.MaxInFlight)
	if s.CurrentLimit == s.MaxInFlight {
		s.Warmth = Warm
	}
	return s
}

// updateAverage returns the exponential moving average after a new sample.
func updateAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(sampleWeight*float64(sample-old))
}

// Report is a load report of a server. It may be outdated or wrong.
type Report struct {
	Incarnation string
	Cold        bool
	Leaving     bool
	MeasuredAt  time.Time
}

// WithReport returns the server after a load report. A cold report is applied at
// any age below maxReportAge, a warm one only if it was measured after the server
// was last found cold. Reports that arrive out of order are ignored.
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
		s.reportedWarmSince = time.Time{}
		return s
	}
	s.maybeColdUntil = time.Time{}
	if r.MeasuredAt.After(s.ColdSince) {
		s.reportedWarm = true
	}
	return s.withWarmReport(r.MeasuredAt).withRaisedLimit()
}

// withWarmReport returns the server after a warm report. An instance that takes
// over a pool knows its servers from reports only. Servers that have reported warm
// for minWarmReportPeriod without a restart count as warm; otherwise the pool would
// lack capacity until they were warmed up a second time. The same holds for a server
// that is cold by its speed only: an instance without a lease sends no steps to it, so
// that no successes would ever show that it is warm.
func (s Server) withWarmReport(measuredAt time.Time) Server {
	if !s.reportsOnly && !(s.coldBySpeed && measuredAt.After(s.ColdSince)) {
		return s
	}
	if s.reportedWarmSince.IsZero() {
		s.reportedWarmSince = measuredAt
	}
	if measuredAt.Sub(s.reportedWarmSince) >= minWarmReportPeriod {
		s.Warmth, s.CurrentLimit, s.coldBySpeed = Warm, s.MaxInFlight, false
	}
	return s
}
