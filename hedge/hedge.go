// Package hedge decides whether a request that may be repeated is sent a second time while
// its first send is outstanding: when, at which load of the pool, and how often. It knows
// the recent response times by route, pool and load of the server.
package hedge

import (
	"errors"
	"math"
	"slices"
	"time"
)

// MaxShare is the largest share of the requests of a route that may be sent a second time.
// More than that is a plan for more servers, not for the tail of the response times.
const MaxShare = 0.1

// ErrShare means that a share is not a number from 0 to MaxShare.
var ErrShare = errors.New("share of hedged requests must be a number from 0 to 0.1")

// CheckShare returns ErrShare if a share is out of range.
func CheckShare(share float64) error {
	if !(share >= 0 && share <= MaxShare) {
		return ErrShare
	}
	return nil
}

// Load is the load of a server when a request is sent to it.
type Load int

// The loads. Response times at a busy server are longer for a reason that a second send
// doesn't remove.
const (
	Light Load = iota
	Busy
)

// LoadOf returns the load of a server with a number of requests in flight. Half of the
// limit separates the loads.
func LoadOf(inFlight, limit int) Load {
	if 2*inFlight > limit {
		return Busy
	}
	return Light
}

// Class identifies requests whose response times are comparable.
type Class struct {
	Route string
	Pool  string
	Load  Load
}

// Sample is the response time of a first send. IsCut is set if the send was cancelled after
// that time because the second one was faster.
type Sample struct {
	Took  time.Duration
	At    time.Time
	IsCut bool
}

const (
	// windowSize is the number of samples of a class: 25 of them are late, and 3 are above
	// tailQuantile. With 256 samples, a tail of 15 in 1000 was often not noticed.
	windowSize = 512
	// maxAge is the age above which samples and profiles are ignored.
	maxAge = 30 * time.Second
	// minSamples is the number of samples from which on the quantile is used. Two of them
	// are above it.
	minSamples = 40
	// minLateQuantile is the share of response times that are in time, at the least. With a
	// smaller share of second sends than the rest, the share decides, up to
	// maxLateQuantile: otherwise requests that are just late use up the share.
	minLateQuantile = 0.95
	maxLateQuantile = 0.98
	// tailQuantile is the quantile that shows whether the tail is long enough.
	tailQuantile = 0.993
	// baselineHalfLife is the half-life with which the baseline follows a higher median. A
	// pool counts as usual again after some of them.
	baselineHalfLife = time.Minute
	// slowFactor is the ratio of the median to the baseline above which a pool is slow.
	slowFactor = 2
)

// Profile describes the recent response times of a class. It is an immutable value.
type Profile struct {
	// Delay is the response time from which on a request is late, 0 if it is unknown.
	Delay time.Duration
	// Median is the median, and Baseline its smoothed value over minutes.
	Median   time.Duration
	Baseline time.Duration
	// HasTail is set if at least 7 in 1000 requests take so much longer than Delay
	// that a second send of median length would end first.
	HasTail bool
	At      time.Time
}

// lateQuantile returns the quantile of the response times from which on a request is late.
func lateQuantile(share float64) float64 {
	return max(minLateQuantile, min(maxLateQuantile, 1-share))
}

// With returns the profile after the samples of a class have changed. Requests are late
// from a quantile of the response times on.
func (p Profile) With(samples []Sample, late float64, now time.Time) Profile {
	var times []time.Duration
	cut := 0
	for _, s := range samples {
		if now.Sub(s.At) > maxAge {
			continue
		}
		times = append(times, s.Took)
		if s.IsCut {
			cut++
		}
	}
	if len(times) < minSamples {
		return Profile{Baseline: p.Baseline, At: now}
	}
	slices.Sort(times)
	next := Profile{Delay: quantile(times, late), Median: quantile(times, 0.5), At: now}
	next.Baseline = baseline(p, next.Median, now)
	// A cut sample is one in which the second send was faster.
	isCutTail := float64(cut) >= (1-tailQuantile)*float64(len(times))
	next.HasTail = isCutTail || quantile(times, tailQuantile) >= next.Delay+next.Median
	return next
}

// baseline returns the baseline after a new median. It follows a lower median at once by
// half, and a higher one slowly.
func baseline(old Profile, median time.Duration, now time.Time) time.Duration {
	if old.Baseline == 0 {
		return median
	}
	if median <= old.Baseline {
		return (old.Baseline + median) / 2
	}
	weight := 1 - math.Exp2(-float64(now.Sub(old.At))/float64(baselineHalfLife))
	return old.Baseline + time.Duration(weight*float64(median-old.Baseline))
}

// quantile returns a quantile of sorted times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// isSlow reports whether the class has become slow in the last minutes.
func (p Profile) isSlow() bool { return p.Median > slowFactor*p.Baseline }

// Result tells whether a request to a server was late.
type Result struct {
	Server string
	IsLate bool
	At     time.Time
}

const (
	// maxResults is the number of latest results of a pool that are considered, and
	// maxResultAge their age.
	maxResults   = 64
	maxResultAge = 5 * time.Second
	// minResults is the number of results at other servers without which the state of the
	// pool is unknown.
	minResults = 8
	// maxLateShare is the share of late results at the other servers above which the pool
	// is slow. Normal is 1-minLateQuantile; with one of three data centres slow it is about
	// this share, and a second send to another one still helps.
	maxLateShare = 0.3
	// shortageTime is how long a pool is short of capacity after it refused a request.
	shortageTime = time.Second
)

// Verdict is the decision about a second send.
type Verdict string

// The verdicts. Each one but Send is the reason against a second send, and the name of its
// counter.
const (
	Send           Verdict = "sent"
	NoTail         Verdict = "noTail"
	PoolSlow       Verdict = "poolSlow"
	Shortage       Verdict = "shortage"
	TooLate        Verdict = "tooLate"
	Processing     Verdict = "processing"
	NoServer       Verdict = "noServer"
	ShareSpent     Verdict = "refusedByShare"
	BudgetSpent    Verdict = "refusedByBudget"
	UnknownResults Verdict = "unknownPool"
)

// Decide decides about a second send of a request that is late at a server, by the profile
// of its class, the results and the last refusal of its pool and the time that it has left.
func Decide(p Profile, results []Result, server string, refusedAt time.Time, left time.Duration, now time.Time) Verdict {
	others, late := 0, 0
	for _, r := range results {
		if r.Server == server || now.Sub(r.At) > maxResultAge {
			continue
		}
		others++
		if r.IsLate {
			late++
		}
	}
	switch {
	case p.Delay == 0 || others < minResults:
		return UnknownResults
	case p.isSlow() || float64(late) > maxLateShare*float64(others):
		return PoolSlow
	case !refusedAt.IsZero() && now.Sub(refusedAt) < shortageTime:
		return Shortage
	case left < p.Median:
		return TooLate
	case !p.HasTail:
		return NoTail
	}
	return Send
}
