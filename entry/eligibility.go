package entry

import (
	"time"

	"lycheecrank.example/delivery"
	"lycheecrank.example/event"
	"lycheecrank.example/lock"
)

// maxBreak is the longest break of this instance after which it may remain the
// coordinator. A suspension of the machine shows as time that the boot clock counts and
// the monotonic clock doesn't. Any other stop of the process shows as heartbeats that
// are sent late; the limit for these is 2*maxBreak.
const maxBreak = 600 * time.Millisecond

// heartbeatClock holds when the last heartbeats were sent.
type heartbeatClock struct {
	sentAt time.Time
	// interval is the time between the last heartbeats and the next ones.
	interval time.Duration
	lag      lagMonitor
}

// breakMonitor detects breaks by the time that the boot clock counts and the monotonic
// clock doesn't.
type breakMonitor struct {
	mu *lock.Ranked
	// uncounted is the time that the monotonic clock hasn't counted so far, from any
	// starting point.
	uncounted time.Duration
	isStarted bool
	last      delivery.Break
}

func newBreakMonitor() *breakMonitor {
	return &breakMonitor{mu: lock.New(lock.RankRequest, "breaks")}
}

// update takes the time that the monotonic clock hasn't counted, and returns the breaks
// so far and the length of one that has just ended, or 0.
func (b *breakMonitor) update(uncounted time.Duration, now time.Time) (delivery.Break, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	length := uncounted - b.uncounted
	if !b.isStarted {
		b.uncounted, b.isStarted = uncounted, true
		return b.last, 0
	}
	if length <= maxBreak {
		return b.last, 0
	}
	b.uncounted = uncounted
	b.last = delivery.Break{Count: b.last.Count + 1, EndedAt: now}
	return b.last, length
}

// lastBreak returns the breaks of this instance so far. After a break that no other call
// has seen, it first resets the eligibility and invalidates the copies.
func (i *Instance) lastBreak() delivery.Break {
	now := time.Now()
	last, length := i.breaks.update(i.SinceBoot()-now.Sub(i.startedAt), now)
	if length > 0 {
		i.resetAfterBreak(length, now)
	}
	return last
}

// checkEligibility resets the eligibility of this instance as coordinator after a
// break, and makes it step down as coordinator if it runs too slowly.
func (i *Instance) checkEligibility(clock *heartbeatClock, now time.Time, isCoordinator bool) {
	i.lastBreak()
	elapsed := now.Sub(clock.sentAt)
	if elapsed > clock.interval+2*maxBreak {
		i.resetAfterBreak(elapsed, now)
	}
	if clock.lag.addSample(elapsed-clock.interval, now) && isCoordinator && len(i.view().Reachable(now)) > 0 {
		i.Logger.Write(event.SteppedDown, clock.lag.smoothed.Milliseconds())
		i.members.Commands().ResetEligibility(now)
	}
	clock.sentAt, clock.interval = now, i.nextHeartbeatInterval()
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
// stale. The log line gives the length of the break, or the time since the last heartbeats.
func (i *Instance) resetAfterBreak(length time.Duration, now time.Time) {
	i.Logger.Write(event.ResumedAfterBreak, length.Milliseconds())
	i.members.Commands().ResetEligibility(now)
	i.routes.Commands().Invalidate()
	i.feeds.Commands().Invalidate()
}
