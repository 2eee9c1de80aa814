package entry

import (
	"time"

	"lycheecrank.example/event"
)

// maxBreak is the longest break of this instance, such as a suspended machine, after
// which it may go on as coordinator.
const maxBreak = 600 * time.Millisecond

// heartbeatClock is when the last heartbeats went out.
type heartbeatClock struct {
	boot time.Duration
	at   time.Time
	// interval is that after which the next ones are due.
	interval time.Duration
	lag      lagMonitor
}

// checkFitness finds breaks of this instance, and a coordinator that runs too
// slowly.
func (i *Instance) checkFitness(c *heartbeatClock, now time.Time, isCoordinator bool) {
	boot, ran := i.SinceBoot()-c.boot, now.Sub(c.at)
	if boot > ran+maxBreak || ran > c.interval+2*maxBreak {
		i.resume(boot, now)
	}
	if c.lag.isSlow(ran-c.interval, now) && isCoordinator && len(i.view().Reachable(now)) > 0 {
		i.Logger.Write(event.SteppedDown, c.lag.lag.Milliseconds())
		i.members.Commands().ResetFitness(now)
	}
	c.boot, c.at, c.interval = c.boot+boot, now, i.interval()
}

// lagMonitor is how late this instance runs what is due.
type lagMonitor struct {
	lag      time.Duration
	changeAt time.Time
}

const (
	// slowLag is the smoothed lag from which on an instance is too slow to
	// coordinate; a calm one lags by a few milliseconds.
	slowLag = 60 * time.Millisecond
	// lagWeight is the weight of a new sample of the lag.
	lagWeight = 0.3
	// stayPut keeps the work from being passed around when all are slow.
	stayPut = 8 * time.Second
)

// isSlow takes a sample of the lag and reports whether the instance should leave
// the coordination to another one.
func (p *lagMonitor) isSlow(late time.Duration, now time.Time) bool {
	p.lag += time.Duration(lagWeight * float64(max(0, late)-p.lag))
	if p.lag < slowLag || now.Sub(p.changeAt) < stayPut {
		return false
	}
	p.changeAt = now
	return true
}

// resume takes up work after a break: others may have taken over meanwhile, and
// what is known is old.
func (i *Instance) resume(broke time.Duration, now time.Time) {
	i.Logger.Write(event.ResumedAfterBreak, broke.Milliseconds())
	i.members.Commands().ResetFitness(now)
	i.routes.Commands().Invalidate()
	i.feeds.Commands().Invalidate()
}
