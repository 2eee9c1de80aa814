package preparation

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/batch"
)

const (
	// releaseInterval is the interval at which stage servers are notified of released
	// results.
	releaseInterval = 100 * time.Millisecond
	// minHeldShare is a share of a stage server's result memory. Servers that use less
	// are not notified of released results.
	minHeldShare = 0.3
	// notifyTimeout limits the time of short calls to stage servers: notifications of
	// released results and queries of free memory.
	notifyTimeout = 500 * time.Millisecond
	// anyTry is higher than all try numbers, so that Abandon cancels any try.
	anyTry = 1 << 30
	// sweepInterval is the interval at which jobs past their deadline are removed.
	sweepInterval = time.Second
	// shedInterval is the interval at which queued requests that can't meet their
	// deadline are refused.
	shedInterval = 100 * time.Millisecond
	// minRetryAfter is the minimum delay before the client of a refused request may
	// retry. The delay is at most the time within which the client may retry, divided by
	// retryAfterDivisor.
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

// retryAfter returns the delay after which a client should retry if the work queued
// before its request takes the given time. A client that retries earlier finds the same
// queue.
func (t Task) retryAfter(wait time.Duration) time.Duration {
	return max(minRetryAfter, min(wait, max(t.RetryWindow, t.Deadline)/retryAfterDivisor))
}

// runShedding refuses queued requests that can't meet their deadline, so that their
// clients are notified at once.
func (c *Coordinator) runShedding(ctx context.Context) error {
	runEvery(ctx, shedInterval, func() {
		for _, u := range c.Batches.Queries().UnattainableRequests(engineOverhead, time.Now()) {
			c.Counters.Add("shed")
			if u.IsCutShort {
				c.refuse(u.RequestID, refuseExiting())
				continue
			}
			c.refuse(u.RequestID, unattainable(u.ExpectedWait))
		}
	})
	return nil
}

// runReleases notifies the stage servers that are short of memory which results are
// released. Other servers drop the results when their lifetime ends, because notifying
// all servers of a large site takes most of the coordinator's processor time.
func (c *Coordinator) runReleases(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	var pending []string
	runEvery(ctx, releaseInterval, func() {
		due, rest := c.Batches.Queries().SelectForRelease(append(pending, c.drainReleased()...), minHeldShare, time.Now())
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
// free afterwards, also if the notification failed.
func (c *Coordinator) notifyRelease(ctx context.Context, address string, handles []string) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if err := c.ReleaseResults(ctx, address, handles); err != nil {
		c.Counters.Add("freeFailed")
	}
	c.Batches.Commands().ReleaseResults(handles)
}

// RefreshFreeMemory queries all stage servers for their free result memory and corrects
// the values in the batch table, which doesn't know the results of earlier coordinators
// whose requests were not handed over.
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

// refreshServerMemory queries the free result memory of a stage server and corrects the
// value in the batch table.
func (c *Coordinator) refreshServerMemory(ctx context.Context, pool string, server batch.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	free, err := c.FreeMemory(ctx, server.Address)
	if err != nil {
		c.Counters.Add("roomUnknown")
		return
	}
	c.Batches.Commands().SetFreeMemory(pool, server.ID, free, time.Now())
}

// drainReleased returns the results that were released after the previous call of
// drainReleased.
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

// runSweeps removes jobs past their deadline. They are left over if the instance that
// sent their requests has failed.
func (c *Coordinator) runSweeps(ctx context.Context) error {
	runEvery(ctx, sweepInterval, func() {
		for _, id := range c.table.Commands().expired(time.Now()) {
			c.Counters.Add("jobLapsed")
			c.Abandon(id, anyTry)
		}
	})
	return nil
}
