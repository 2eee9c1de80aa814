// Package expiry bounds calls by the time in which the own process ran. After a pause of the
// process, or on a starved machine, the answer of the other side is often unread in the
// socket; a plain timeout would then report the other side as silent.
package expiry

import (
	"context"
	"time"
)

// intervals is the number of parts of a timeout. One that ends late counts once.
const intervals = 10

// WithTimeout returns a context that ends after the timeout with context.DeadlineExceeded, as
// that of context.WithTimeout does, but of a pause of the process it counts at most a tenth of
// the timeout. The context has no deadline, so that calls pass none on to servers.
// Concurrent calls are safe.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	countDown(ctx, cancel, timeout/intervals, intervals)
	return expiring{ctx}, func() { cancel(context.Canceled) }
}

func countDown(ctx context.Context, cancel context.CancelCauseFunc, interval time.Duration, remaining int) {
	time.AfterFunc(interval, func() {
		switch {
		case ctx.Err() != nil:
		case remaining == 1:
			cancel(context.DeadlineExceeded)
		default:
			countDown(ctx, cancel, interval, remaining-1)
		}
	})
}

// expiring tells an expired context from one that was cancelled.
type expiring struct{ context.Context }

// Err returns context.DeadlineExceeded after the timeout.
func (e expiring) Err() error {
	err := e.Context.Err()
	if err != nil && context.Cause(e.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}
