package engine

import (
	"math"
	"slices"
	"time"
)

const (
	// defaultPrefillSpeed is the prefill speed, in tokens per millisecond, of a pool
	// without measurements.
	defaultPrefillSpeed = 40.0
	// minPrefillSpeed and maxPrefillSpeed bound the measured prefill speed, in tokens per
	// millisecond. Engines of current deployments have 38 to 70.
	minPrefillSpeed = 10.0
	maxPrefillSpeed = 200.0
	// minSampleTokens is the smallest number of own prompt tokens that gives a sample.
	// With fewer, the time to the first event is mostly minFirstEventTime.
	minSampleTokens = 2000
	// minOwnShare is the smallest share of a request's own tokens in all tokens that the
	// engine may have prefilled before the request's first event. It is unknown how many
	// of the other tokens came before that event; half of them are counted, which is at
	// most a third too few or too many.
	minOwnShare = 0.5
	// maxBaseShare bounds the part of a measured time that isn't counted as prefill. The
	// expected delay by running requests may exceed the real one.
	maxBaseShare = 0.6
	// speedWindow is the number of samples of an engine of which the median is taken, and
	// sampleLifetime the age from which a sample doesn't count. The median ignores single
	// requests that waited for other reasons, and follows a change after four samples.
	speedWindow    = 7
	sampleLifetime = 10 * time.Second
	// speedHalfLife is the time in which the measured speed of an engine loses half of
	// its weight against that of the pool. A slow engine gets few requests, and would
	// otherwise never show that it has recovered.
	speedHalfLife = 10 * time.Second
	// poolCount is how many samples of an engine the speed of its pool counts for.
	poolCount = 2
	// priorWeight is the weight of a new sample in the speed of a pool, and priorHalfLife
	// the time in which the latter returns halfway to defaultPrefillSpeed without samples.
	priorWeight   = 0.02
	priorHalfLife = 30 * time.Second
	// priorCount is how many samples defaultPrefillSpeed counts for.
	priorCount = 4
)

// prefillTime returns the time to prefill a number of prompt tokens at a speed.
func prefillTime(tokens int64, speed float64) time.Duration {
	return time.Duration(float64(max(0, tokens)) / speed * float64(time.Millisecond))
}

// poolSpeed is the smoothed prefill speed of the engines of a pool. It is an immutable
// value; the zero value has no samples.
type poolSpeed struct {
	// logRatio is the logarithm of the ratio to defaultPrefillSpeed, as of measuredAt.
	logRatio   float64
	samples    int
	measuredAt time.Time
}

// value returns the speed in tokens per millisecond.
func (p poolSpeed) value(now time.Time) float64 {
	if p.samples == 0 {
		return defaultPrefillSpeed
	}
	return defaultPrefillSpeed * math.Exp(p.currentLogRatio(now))
}

func (p poolSpeed) currentLogRatio(now time.Time) float64 {
	return p.logRatio * halved(now.Sub(p.measuredAt), priorHalfLife)
}

// withSample returns the speed after a sample of one of the engines.
func (p poolSpeed) withSample(speed float64, now time.Time) poolSpeed {
	current := p.currentLogRatio(now)
	weight := max(priorWeight, 1/float64(priorCount+1+p.samples))
	return poolSpeed{logRatio: current + weight*(math.Log(speed/defaultPrefillSpeed)-current), samples: p.samples + 1, measuredAt: now}
}

// speedSample is a measured prefill speed.
type speedSample struct {
	speed float64
	at    time.Time
}

// measuredSpeed is the prefill speed of an engine according to its latest samples. It is
// an immutable value; the zero value has no samples.
type measuredSpeed struct {
	samples []speedSample
	median  float64
}

// withSample returns the speed after a sample.
func (m measuredSpeed) withSample(speed float64, now time.Time) measuredSpeed {
	next := make([]speedSample, 0, speedWindow)
	for _, s := range m.samples[max(0, len(m.samples)-speedWindow+1):] {
		if now.Sub(s.at) < sampleLifetime {
			next = append(next, s)
		}
	}
	next = append(next, speedSample{speed: speed, at: now})
	speeds := make([]float64, 0, speedWindow)
	for _, s := range next {
		speeds = append(speeds, s.speed)
	}
	slices.Sort(speeds)
	// Of two middle samples the faster one counts: what isn't modelled only adds time.
	return measuredSpeed{samples: next, median: speeds[len(speeds)/2]}
}

// value returns the speed in tokens per millisecond, between that of the pool and the
// measured one, by the number of samples and their age.
func (m measuredSpeed) value(ofPool float64, now time.Time) float64 {
	n := len(m.samples)
	if n == 0 {
		return ofPool
	}
	weight := float64(n) / float64(n+poolCount) * halved(now.Sub(m.samples[n-1].at), speedHalfLife)
	return ofPool + weight*(m.median-ofPool)
}

// halved returns the weight of a measurement that halves with each half-life of its age.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// awaitedRequest is a request whose time to the first event is measured.
type awaitedRequest struct {
	id string
	// own is the number of prompt tokens that have to be prefilled, ahead that of other
	// requests when this one was sent, and sentBefore the value of Server.sentPrefill then.
	own        int64
	ahead      int64
	sentBefore int64
	// baseDelay is the expected part of the time to the first event without prefill.
	baseDelay time.Duration
	// isTransferred is set if the engine fetches a part of the own tokens.
	isTransferred bool
}

// estimate returns the time to the first event that was to be expected at a speed.
func (a awaitedRequest) estimate(speed float64) time.Duration {
	return a.baseDelay + prefillTime(a.own+a.ahead, speed)
}

func (s Server) awaitedRequest(request string) (awaitedRequest, bool) {
	i := slices.IndexFunc(s.awaited, func(a awaitedRequest) bool { return a.id == request })
	if i < 0 {
		return awaitedRequest{}, false
	}
	return s.awaited[i], true
}

func (s Server) withoutAwaited(request string) Server {
	i := slices.IndexFunc(s.awaited, func(a awaitedRequest) bool { return a.id == request })
	if i >= 0 {
		s.awaited = slices.Delete(slices.Clone(s.awaited), i, i+1)
	}
	return s
}

// currentExcess returns the excess delay, which falls with the age of the measurement.
func (s Server) currentExcess(now time.Time) time.Duration {
	if s.excessDelay == 0 {
		return 0
	}
	return time.Duration(float64(s.excessDelay) * halved(now.Sub(s.delayedAt), delayHalfLife))
}

// prefillSpeed returns the prefill speed that is expected at the reported slowness.
func (s Server) prefillSpeed(ofPool float64, now time.Time) float64 {
	return s.speed.value(ofPool, now) / s.reported.Factor(now)
}

// speedSample returns the prefill speed at the usual slowness that the time to the first
// event of a request shows, or false if the time shows too little about it.
func (s Server) speedSample(request string, took time.Duration, now time.Time) (float64, bool) {
	a, ok := s.awaitedRequest(request)
	if !ok || a.isTransferred || a.own < minSampleTokens || took <= 0 {
		return 0, false
	}
	others := a.ahead + max(0, s.sentPrefill-a.sentBefore-a.own)
	if float64(a.own) < minOwnShare*float64(a.own+others) {
		return 0, false
	}
	prefill := took - min(a.baseDelay, time.Duration(maxBaseShare*float64(took)))
	tokensPerMs := float64(a.own+others/2) / prefill.Seconds() / 1000 * s.reported.Factor(now)
	return min(maxPrefillSpeed, max(minPrefillSpeed, tokensPerMs)), true
}
