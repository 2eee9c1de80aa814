package instance

import (
	"context"
	"sync/atomic"
	"time"

	"lycheecrank.example/event"
)

// logContact records when the log last answered.
type logContact struct {
	started time.Time
	logger  *event.Logger
	last    atomic.Pointer[time.Time]
	isLost  atomic.Bool
	// onAnswer is called with the time of each answer.
	onAnswer func(at time.Time)
}

func newLogContact(logger *event.Logger) *logContact {
	return &logContact{started: time.Now(), logger: logger, onAnswer: func(time.Time) {}}
}

// record records an answer or a failure of the log. Each outage is logged once, not
// for every stream and call.
func (c *logContact) record(stream string, err error) {
	if err != nil {
		if !c.isLost.Swap(true) {
			c.logger.Write(event.LogUnavailable, stream, err)
		}
		return
	}
	now := time.Now()
	c.last.Store(&now)
	c.onAnswer(now)
	if c.isLost.Swap(false) {
		c.logger.Write(event.LogAvailable, stream)
	}
}

// age returns the time since the last answer of the log, or since the start of the
// instance if there was none.
func (c *logContact) age() time.Duration {
	if last := c.last.Load(); last != nil {
		return time.Since(*last)
	}
	return time.Since(c.started)
}

// runEvery calls task immediately and after each interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, task func(ctx context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		task(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
