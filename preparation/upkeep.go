package preparation

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/batch"
)

const (
	// freeInterval is how often makers are told which results are given up.
	freeInterval = 100 * time.Millisecond
	// minTaken is the part of a maker's room from which on it is told.
	minTaken = 0.3
	// tellLimit bounds short questions to servers of stages.
	tellLimit = 500 * time.Millisecond
	// anyTry stands for all preparations of a request.
	anyTry = 1 << 30
	// sweepInterval is how often jobs of instances that are gone are given up.
	sweepInterval = time.Second
	// lateSlack is by how much a request may be expected to miss its objective and
	// is still taken. Beyond it the work before it is more than a short burst.
	lateSlack = 1800 * time.Millisecond
	// shedInterval is how often requests are looked for that can't be done in time.
	shedInterval = 100 * time.Millisecond
	// shedRetry is the least time after which the client of such a request may come
	// back, retryShare the largest part of its time.
	shedRetry  = 400 * time.Millisecond
	retryShare = 4
)

// every calls a function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	timer := time.NewTicker(interval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// retryAfter returns when a client should come back if the work before its request
// takes a time: earlier it would only wait again.
func (o Order) retryAfter(wait time.Duration) time.Duration {
	return max(shedRetry, min(wait, max(o.Limit, o.Deadline)/retryShare))
}

// runShedding gives up requests that wait behind more than their time allows, so
// that their clients know at once.
func (d *Coordinator) runShedding(ctx context.Context) error {
	every(ctx, shedInterval, func() {
		for _, u := range d.Batches.Queries().Unattainable(engineTime, time.Now()) {
			d.Counters.Add("shed")
			d.giveUp(u.Request, tooLate(u.Wait))
		}
	})
	return nil
}

// runFrees tells makers which results are given up, where their room gets short:
// elsewhere the results go at the end of their life, and telling all makers ten
// times a second cost most of the processor time of a large site's coordinator.
func (d *Coordinator) runFrees(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	var pending []string
	every(ctx, freeInterval, func() {
		due, rest := d.Batches.Queries().Due(append(pending, d.takeFreed()...), minTaken)
		pending = rest
		for address, handles := range due {
			group.Go(func() error {
				d.tell(ctx, address, handles)
				return nil
			})
		}
	})
	return nil
}

// tell tells a maker that results are given up, and counts their room as free
// then.
func (d *Coordinator) tell(ctx context.Context, address string, handles []string) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	if err := d.Free(ctx, address, handles); err != nil {
		d.Counters.Add("freeFailed")
	}
	d.Batches.Commands().Release(handles)
}

// TakeOver asks all servers of stages for their room, since an earlier
// coordinator may have left results there.
func (d *Coordinator) TakeOver(ctx context.Context) error {
	var group errgroup.Group
	for pool, places := range d.Batches.Queries().Servers() {
		for _, p := range places {
			group.Go(func() error {
				d.correct(ctx, pool, p)
				return nil
			})
		}
	}
	return group.Wait()
}

// correct asks a server for its room.
func (d *Coordinator) correct(ctx context.Context, pool string, p batch.Place) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	free, err := d.Room(ctx, p.Address)
	if err != nil {
		d.Counters.Add("roomUnknown")
		return
	}
	d.Batches.Commands().Correct(pool, p.ID, free, time.Now())
}

// takeFreed returns the results that were given up since the last time.
func (d *Coordinator) takeFreed() []string {
	var handles []string
	for {
		select {
		case h := <-d.freed:
			handles = append(handles, h...)
		default:
			return handles
		}
	}
}

// runSweeps gives up jobs that nobody has ended.
func (d *Coordinator) runSweeps(ctx context.Context) error {
	every(ctx, sweepInterval, func() {
		for _, id := range d.table.Commands().lapsed(time.Now()) {
			d.Counters.Add("jobLapsed")
			d.Abandon(id, anyTry)
		}
	})
	return nil
}
