package rollout

import "time"

const (
	// maxTrialShare is the largest share before the last check of the evidence.
	maxTrialShare = 0.06
	// A pool is shifted shiftLead before the deadline, or shiftPart of the duration if that
	// is longer: old servers end without draining when the rollout has succeeded, and
	// most of their requests end in this time.
	shiftLead = time.Second
	shiftPart = 0.08
	// succeedLead is how long before the deadline the rollout succeeds. It covers two
	// writes to the store.
	succeedLead = 400 * time.Millisecond
	// plannedExposure is the part of the allowed exposure that the schedule uses, and
	// shiftExposure the part of it that the time between shift and success uses, in which
	// the version can still turn out to be bad. The traffic of a pool isn't constant.
	plannedExposure = 0.9
	shiftExposure   = 0.6
)

// shareSteps are the shares of the new version before the shift. The schedule limits them.
var shareSteps = []float64{0.02, 0.03, 0.045, maxTrialShare}

// Schedule holds the times of a rollout since its order, and the limit of its share.
type Schedule struct {
	ShiftAt   time.Duration
	SucceedAt time.Duration
	Deadline  time.Duration
	// MaxShare is the largest share before the shift. With it, a version that is rolled
	// back just before SucceedAt has got plannedExposure of what the bounds allow, for
	// constant traffic.
	MaxShare float64
}

// Schedule returns the schedule of an order with a duration.
func (b Bounds) Schedule(duration time.Duration) Schedule {
	allowed := b.ExposureShare * float64(duration)
	lead := max(shiftLead, time.Duration(shiftPart*float64(duration)))
	lead = min(lead, succeedLead+time.Duration(shiftExposure*allowed), duration)
	succeed := min(succeedLead, lead)
	s := Schedule{ShiftAt: duration - lead, SucceedAt: duration - succeed, Deadline: duration}
	if s.ShiftAt > 0 {
		s.MaxShare = max(0, min(maxTrialShare, (plannedExposure*allowed-float64(lead-succeed))/float64(s.ShiftAt)))
	}
	return s
}

// Share returns the part of the new requests that go to the new version, a given time
// after the order.
func (b Bounds) Share(state State, elapsed time.Duration) float64 {
	schedule := b.Schedule(state.Duration())
	switch {
	case state.Phase == Succeeded || state.Phase == Shifted:
		return 1
	case state.Phase != Running || elapsed >= schedule.Deadline:
		return 0
	}
	return min(shareSteps[min(max(0, state.Step), len(shareSteps)-1)], schedule.MaxShare)
}

// tokenCount enforces a share: each request adds the share, and one that goes to the new
// version takes one. It starts at zero or at a part of the slack (see startTokens).
type tokenCount float64

// maxTokens bounds the requests in a row that go to the new version after a time without
// a server of it.
const maxTokens = 2

// withRequest returns the count after a request, and whether it may go to the new version.
func (t tokenCount) withRequest(share float64) (tokenCount, bool) {
	t = min(maxTokens, t+tokenCount(share))
	if t < 1 {
		return t, false
	}
	return t - 1, true
}

// slackPlaces is the part of the slack that is the largest number of places that start
// with tokens.
const slackPlaces = 0.5

// startTokens returns the count with which one of several places starts. If all started
// at zero, the many instances that serve a plain pool would send nothing to the new version
// for seconds, and then all at the same time. The counts of the first places are spread
// over 0 to 1 instead; their sum is at most a quarter of the slack.
func (b Bounds) startTokens(index, places int) tokenCount {
	count := min(places, int(slackPlaces*b.ExposureSlack))
	if index < 0 || index >= count {
		return 0
	}
	return tokenCount((float64(index) + 0.5) / float64(count))
}
