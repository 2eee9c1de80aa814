// Package speed estimates how long work takes on a backend server at the moment, from the
// load that the server reports with its responses.
package speed

import (
	"math"
	"time"
)

// Report is the load of a backend server as reported with a response.
type Report struct {
	// Running and Waiting are the numbers of requests in progress and in the server's
	// queue, Slots that of requests that it runs concurrently.
	Running int `msgpack:"running,omitempty"`
	Waiting int `msgpack:"waiting,omitempty"`
	Slots   int `msgpack:"slots,omitempty"`
	// Slowness is how long work takes on the machine relative to the usual time, 1.0 as
	// usual; 0 if it is unknown.
	Slowness float64 `msgpack:"slowness,omitempty"`
}

const (
	// minSlowness and maxSlowness bound the slowness that is taken from a report, so that
	// a wrong figure doesn't move all work to one server or away from it.
	minSlowness = 0.5
	maxSlowness = 8.0
	// halfLife is the time in which earlier reports lose half of their weight. It is
	// longer than the intervals at which the figure changes, and as long as the work that
	// is decided about: what counts is the mean over that time.
	halfLife = 250 * time.Millisecond
	// minWeight and maxWeight bound the weight of a report: of those that arrive together,
	// none is ignored, and no single one decides.
	minWeight = 0.05
	maxWeight = 0.5
	// lifetime is the age at which reports have no weight left. A server that is avoided
	// for its slowness sends no reports, so it counts as usual again after that time.
	lifetime = time.Second
)

// Estimate is the smoothed slowness of a server. It is an immutable value; the zero value
// is that of a server without reports.
type Estimate struct {
	// logSlowness is the logarithm of the smoothed slowness as of reportedAt.
	logSlowness float64
	reportedAt  time.Time
	// logMeasured is the smoothed logarithm of the slowness during the measurements of a
	// time (see WithMeasurement).
	logMeasured float64
	isMeasured  bool
	isReported  bool
}

// WithReport returns the estimate after a report that was sent at a time. A report without
// slowness changes nothing.
func (e Estimate) WithReport(r Report, at time.Time) Estimate {
	if !(r.Slowness > 0) {
		return e
	}
	sample := math.Log(min(maxSlowness, max(minSlowness, r.Slowness)))
	current, weight := e.logSlowness, maxWeight
	if e.freshness(at) == 0 {
		current = 0
	} else {
		weight = min(maxWeight, max(minWeight, 1-math.Exp2(-float64(at.Sub(e.reportedAt))/float64(halfLife))))
	}
	e.logSlowness = current + weight*(sample-current)
	if !e.isReported || at.After(e.reportedAt) {
		e.reportedAt = at
	}
	e.isReported = true
	return e
}

// freshness returns the weight of the reports by their age, from 1 to 0.
func (e Estimate) freshness(now time.Time) float64 {
	age := max(0, now.Sub(e.reportedAt))
	if !e.isReported || age >= lifetime {
		return 0
	}
	return 1 - float64(age)/float64(lifetime)
}

// Factor returns the expected time of work relative to the usual time. It is 1 without
// recent reports.
func (e Estimate) Factor(now time.Time) float64 {
	weight := e.freshness(now)
	if weight == 0 {
		return 1
	}
	return math.Exp(e.logSlowness * weight)
}

// WithMeasurement returns the estimate after a measured time of work was added to a moving
// average with a weight.
func (e Estimate) WithMeasurement(weight float64, now time.Time) Estimate {
	current := math.Log(e.Factor(now))
	if !e.isMeasured {
		weight = 1
	}
	e.logMeasured += weight * (current - e.logMeasured)
	e.isMeasured = true
	return e
}

// Ratio returns the expected time of work relative to the moving average of measured
// times, which contain the slowness of their time. It is 1 without recent reports: the
// average is the best estimate then.
func (e Estimate) Ratio(now time.Time) float64 {
	weight := e.freshness(now)
	if weight == 0 || !e.isMeasured {
		return 1
	}
	return math.Exp((e.logSlowness - e.logMeasured) * weight)
}
