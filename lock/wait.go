package lock

import (
	"context"
	"sync"
)

// WaitUntil waits on a condition until ready reports true or the context ends,
// and returns the last result of ready. The caller holds the lock of the
// condition, and ready is called with that lock held.
func WaitUntil(ctx context.Context, c *sync.Cond, ready func() bool) bool {
	stop := context.AfterFunc(ctx, func() {
		c.L.Lock()
		defer c.L.Unlock()
		c.Broadcast()
	})
	defer stop()
	done := ready()
	for !done && ctx.Err() == nil {
		c.Wait()
		done = ready()
	}
	return done
}
