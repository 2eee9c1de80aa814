package preparation

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/batch"
)

const (
	// releaseInterval is how often stage servers are notified of released results.
	releaseInterval = 100 * time.Millisecond
	// minHeldShare is the used share of a server's result memory from which on the
	// server is notified.
	minHeldShare = 0.3
	// notifyTimeout limits short calls to stage servers: notices and memory queries.
	notifyTimeout = 500 * time.Millisecond
	// anyTry matches all preparations of a request.
	anyTry = 1 << 30
	// sweepInterval is how often jobs past their deadline are removed.
	sweepInterval = time.Second
	// objectiveSlack is by how much a request may be expected to miss its objective and
	// is still accepted. A longer delay comes from more than a short burst.
	objectiveSlack = 1800 * time.Millisecond
	// shedInterval is how often queued requests that can't meet their deadline are
	// refused.
	shedInterval = 100 * time.Millisecond
	// minRetryAfter is the minimum delay before the client of a refused request may
	// retry. retryAfterDivisor limits the delay to a fraction of the client's time.
	minRetryAfter     = 400 * time.Millisecond
	retryAfterDivisor = 4
)

// runEvery calls a function at an interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, run func()) {
	timer := time.NewTicker(interval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			run()
		case <-ctx.Done():
			return
		}
	}
}

// retryAfter returns when a client should retry if the work queued before its request
// takes a given time. A client that retries earlier would only wait again.
func (t Task) retryAfter(wait time.Duration) time.Duration {
	return max(minRetryAfter, min(wait, max(t.RetryWindow, t.Deadline)/retryAfterDivisor))
}

// runShedding refuses queued requests that can't meet their deadline, so that their
// clients are notified at once.
func (c *Coordinator) runShedding(ctx context.Context) error {
	runEvery(ctx, shedInterval, func() {
		for _, u := range c.Batches.Queries().Unattainable(engineOverhead, time.Now()) {
			c.Counters.Add("shed")
			c.refuse(u.Request, unattainable(u.Wait))
		}
	})
	return nil
}

// runReleases notifies the stage servers that are short of memory which results are
// released. Other servers drop the results when their lifetime ends: notifying all of
// them ten times a second cost most of the processor time of a large site's
// coordinator.
func (c *Coordinator) runReleases(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	var pending []string
	runEvery(ctx, releaseInterval, func() {
		due, rest := c.Batches.Queries().Due(append(pending, c.drainReleased()...), minHeldShare)
		pending = rest
		for address, handles := range due {
			group.Go(func() error {
				c.notifyRelease(ctx, address, handles)
				return nil
			})
		}
	})
	return nil
}

// notifyRelease notifies a stage server of released results and counts their memory as
// free afterwards.
func (c *Coordinator) notifyRelease(ctx context.Context, address string, handles []string) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if err := c.ReleaseResults(ctx, address, handles); err != nil {
		c.Counters.Add("freeFailed")
	}
	c.Batches.Commands().Release(handles)
}

// RefreshFreeMemory queries all stage servers for their free memory, because results of an
// earlier coordinator may still occupy some of it.
func (c *Coordinator) RefreshFreeMemory(ctx context.Context) error {
	var group errgroup.Group
	for pool, places := range c.Batches.Queries().Servers() {
		for _, p := range places {
			group.Go(func() error {
				c.refreshServerMemory(ctx, pool, p)
				return nil
			})
		}
	}
	return group.Wait()
}

// refreshServerMemory queries the free memory of a stage server.
func (c *Coordinator) refreshServerMemory(ctx context.Context, pool string, p batch.Place) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	free, err := c.FreeMemory(ctx, p.Address)
	if err != nil {
		c.Counters.Add("roomUnknown")
		return
	}
	c.Batches.Commands().Correct(pool, p.ID, free, time.Now())
}

// drainReleased returns the results that were released after the previous call.
func (c *Coordinator) drainReleased() []string {
	var handles []string
	for {
		select {
		case h := <-c.released:
			handles = append(handles, h...)
		default:
			return handles
		}
	}
}

// runSweeps removes jobs past their deadline. Their callers are gone, for example with
// their instance.
func (c *Coordinator) runSweeps(ctx context.Context) error {
	runEvery(ctx, sweepInterval, func() {
		for _, id := range c.table.Commands().expired(time.Now()) {
			c.Counters.Add("jobLapsed")
			c.Abandon(id, anyTry)
		}
	})
	return nil
}
