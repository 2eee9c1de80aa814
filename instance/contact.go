package instance

import (
	"context"
	"sync/atomic"
	"time"

	"lycheecrank.example/event"
)

// contact remembers when the log last answered.
type contact struct {
	started time.Time
	logger  *event.Logger
	last    atomic.Pointer[time.Time]
	lost    atomic.Bool
	// heard is told of each answer.
	heard func(at time.Time)
}

func newContact(logger *event.Logger) *contact {
	return &contact{started: time.Now(), logger: logger, heard: func(time.Time) {}}
}

// note takes an answer or a failure of the log. Each outage is logged once, not
// for every stream and attempt.
func (c *contact) note(stream string, err error) {
	if err != nil {
		if !c.lost.Swap(true) {
			c.logger.Write(event.LogUnavailable, stream, err)
		}
		return
	}
	now := time.Now()
	c.last.Store(&now)
	c.heard(now)
	if c.lost.Swap(false) {
		c.logger.Write(event.LogAvailable, stream)
	}
}

// age returns the time since the log last answered, or since the start.
func (c *contact) age() time.Duration {
	if last := c.last.Load(); last != nil {
		return time.Since(*last)
	}
	return time.Since(c.started)
}

// every calls do at once and then in an interval until the context ends.
func every(ctx context.Context, interval time.Duration, do func(ctx context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
