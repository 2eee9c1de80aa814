package standin

import (
	"context"
	"time"
)

// pause waits for a time. It returns the cause if the context ends before.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// waitFor waits until a stream has more to send, the fault changes, or a time
// has passed if it is above 0. It reports false if the stream has to end.
func (o *obedience) waitFor(ctx context.Context, more, changed <-chan struct{}, d time.Duration) bool {
	var due <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-more:
	case <-changed:
	case <-due:
	case <-o.queries.Stopping():
		return false
	case <-ctx.Done():
		return false
	}
	return true
}
