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
	// maxWeight bounds the weight of a report after a pause, so that no single one decides.
	maxWeight = 0.5
	// noise is the change of the expected time that is ignored. A figure that only
	// fluctuates leaves about as much after smoothing, and a difference of a tenth between
	// servers that are alike moves a quarter of the work of one to the others.
	noise = 0.1
	// lifetime is the age at which reports have no weight left. A server that is avoided
	// for its slowness sends no reports, so it counts as usual again after that time.
	lifetime = time.Second
)

// Estimate is the smoothed slowness of a server. It is an immutable value; the zero value
// is that of a server without reports.
type Estimate struct {
	// excess is the smoothed slowness beyond the usual one, and latest that in the latest
	// report, both as of reportedAt.
	excess     float64
	latest     float64
	reportedAt time.Time
	// measured is the smoothed slowness beyond the usual one during the measurements of a
	// time (see WithMeasurement).
	measured   float64
	isMeasured bool
	isReported bool
}

// WithReport returns the estimate after a report that was sent at a time. A report without
// slowness changes nothing.
func (e Estimate) WithReport(r Report, at time.Time) Estimate {
	if !(r.Slowness > 0) {
		return e
	}
	sample := min(maxSlowness, max(minSlowness, r.Slowness)) - 1
	current, weight := e.excess, maxWeight
	if e.freshness(at) == 0 {
		current = 0
	} else {
		weight = min(maxWeight, max(0, 1-math.Exp2(-float64(at.Sub(e.reportedAt))/float64(halfLife))))
	}
	e.excess = current + weight*(sample-current)
	if !e.isReported || !at.Before(e.reportedAt) {
		e.reportedAt, e.latest = at, sample
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
	if !e.isReported {
		return 1
	}
	return withoutNoise(e.current(now))
}

func (e Estimate) current(now time.Time) float64 { return 1 + e.excess*e.freshness(now) }

// withoutNoise moves a ratio towards 1 by the noise.
func withoutNoise(ratio float64) float64 {
	if ratio > 1 {
		return max(1, ratio-noise)
	}
	return min(1, ratio+noise)
}

// WithMeasurement returns the estimate after a measured time of work was added to a moving
// average with a weight. The work took as long as the latest report says, which came with
// its response: the smoothed slowness follows a lasting change later than the times do.
func (e Estimate) WithMeasurement(weight float64, now time.Time) Estimate {
	if !e.isMeasured {
		weight = 1
	}
	e.measured += weight * (e.latest*e.freshness(now) - e.measured)
	e.isMeasured = true
	return e
}

// Ratio returns the expected time of work relative to the moving average of measured
// times, which contains the slowness of their time. Without recent reports, the expected
// time is the usual one, which may be shorter than the measured ones: a server that is
// avoided for its slowness gives no measurement that shows its end.
func (e Estimate) Ratio(now time.Time) float64 {
	if !e.isReported {
		return 1
	}
	return withoutNoise(e.current(now) / (1 + e.measured))
}
