package entry

import (
	"time"

	"lycheecrank.example/event"
)

// maxBreak is the longest break of this instance after which it may remain the
// coordinator. A suspension of the machine shows as time that the boot clock counts and
// the monotonic clock doesn't. Any other stop of the process shows as heartbeats that
// are sent late; the limit for these is 2*maxBreak.
const maxBreak = 600 * time.Millisecond

// heartbeatClock holds when the last heartbeats were sent.
type heartbeatClock struct {
	sinceBoot time.Duration
	sentAt    time.Time
	// interval is the time between the last heartbeats and the next ones.
	interval time.Duration
	lag      lagMonitor
}

// checkEligibility resets the eligibility of this instance as coordinator after a
// break, and makes it step down as coordinator if it runs too slowly.
func (i *Instance) checkEligibility(clock *heartbeatClock, now time.Time, isCoordinator bool) {
	bootElapsed, elapsed := i.SinceBoot()-clock.sinceBoot, now.Sub(clock.sentAt)
	if bootElapsed > elapsed+maxBreak || elapsed > clock.interval+2*maxBreak {
		i.resetAfterBreak(bootElapsed, now)
	}
	if clock.lag.addSample(elapsed-clock.interval, now) && isCoordinator && len(i.view().Reachable(now)) > 0 {
		i.Logger.Write(event.SteppedDown, clock.lag.smoothed.Milliseconds())
		i.members.Commands().ResetEligibility(now)
	}
	clock.sinceBoot, clock.sentAt, clock.interval = clock.sinceBoot+bootElapsed, now, i.nextHeartbeatInterval()
}

// lagMonitor measures by how much this instance runs its tasks late.
type lagMonitor struct {
	// smoothed is the moving average of the delays of the heartbeats.
	smoothed      time.Duration
	steppedDownAt time.Time
}

const (
	// slowLag is the smoothed lag from which an instance is too slow to coordinate. An
	// idle instance lags by a few milliseconds.
	slowLag = 60 * time.Millisecond
	// lagWeight is the weight of a new sample in the smoothed lag.
	lagWeight = 0.3
	// minStepDownInterval keeps the coordinator from changing again and again while all
	// instances are slow.
	minStepDownInterval = 8 * time.Second
)

// addSample adds a sample to the smoothed lag and reports whether the instance should
// step down as coordinator.
func (m *lagMonitor) addSample(delay time.Duration, now time.Time) bool {
	m.smoothed += time.Duration(lagWeight * float64(max(0, delay)-m.smoothed))
	if m.smoothed < slowLag || now.Sub(m.steppedDownAt) < minStepDownInterval {
		return false
	}
	m.steppedDownAt = now
	return true
}

// resetAfterBreak resets the eligibility as coordinator after a break and invalidates
// the copies: another instance may have become the coordinator, and the copies may be
// stale. The log line gives the time since the last heartbeats, which contains the break.
func (i *Instance) resetAfterBreak(sinceHeartbeats time.Duration, now time.Time) {
	i.Logger.Write(event.ResumedAfterBreak, sinceHeartbeats.Milliseconds())
	i.members.Commands().ResetEligibility(now)
	i.routes.Commands().Invalidate()
	i.feeds.Commands().Invalidate()
}
