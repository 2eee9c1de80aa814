// Package worker runs jobs on a bounded number of goroutines.
package worker

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Pool runs jobs on worker goroutines. It starts with one worker and adds another one
// whenever all are busy, up to Size. Set the exported fields before Run.
type Pool[J any] struct {
	// Size is the largest number of workers, at least 1.
	Size int
	// Next blocks until a job is ready. It reports false when there are no more
	// jobs, at the latest when its context has ended.
	Next func(ctx context.Context) (J, bool)
	// Execute runs one job and handles its errors.
	Execute func(ctx context.Context, job J)
}

// Run executes jobs until Next reports the end and all started jobs have
// finished. The parameter intake is the context of Next, and the parameter jobs is
// the context of Execute. When intake ends, no more jobs are started; the context of
// the running ones may end later.
func (p *Pool[J]) Run(intake, jobs context.Context) error {
	w := workers[J]{pool: p, intake: intake, jobs: jobs}
	w.start()
	return w.group.Wait()
}

// workers are the goroutines of one run of a pool.
type workers[J any] struct {
	pool         *Pool[J]
	intake, jobs context.Context
	group        errgroup.Group
	started      atomic.Int64
	// waiting is the number of workers that wait for a job.
	waiting atomic.Int64
}

// start adds a worker unless the pool has its full size.
func (w *workers[J]) start() {
	if w.started.Add(1) > int64(w.pool.Size) {
		w.started.Add(-1)
		return
	}
	w.group.Go(func() error {
		w.work()
		return nil
	})
}

func (w *workers[J]) work() {
	for {
		w.waiting.Add(1)
		job, ok := w.pool.Next(w.intake)
		isLastWaiting := w.waiting.Add(-1) == 0
		if !ok {
			return
		}
		if isLastWaiting {
			w.start()
		}
		w.pool.Execute(w.jobs, job)
	}
}
