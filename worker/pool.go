// Package worker runs jobs on a bounded number of goroutines.
package worker

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Pool runs jobs on a fixed number of worker goroutines. Set the exported fields
// before Run.
type Pool[J any] struct {
	// Size is the number of workers, at least 1.
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
	var group errgroup.Group
	for range p.Size {
		group.Go(func() error {
			p.work(intake, jobs)
			return nil
		})
	}
	return group.Wait()
}

func (p *Pool[J]) work(intake, jobs context.Context) {
	for {
		job, ok := p.Next(intake)
		if !ok {
			return
		}
		p.Execute(jobs, job)
	}
}
