// Package worker runs jobs on a bounded number of goroutines.
package worker

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Pool runs jobs on a fixed number of workers. Set the exported fields before
// Run.
type Pool[J any] struct {
	// Size is the number of workers, at least 1.
	Size int
	// Next blocks until a job is ready and reports false once there will be no
	// more, which is at the latest when its context has ended.
	Next func(ctx context.Context) (J, bool)
	// Execute does one job. It owns the errors of the job.
	Execute func(ctx context.Context, job J)
}

// Run works until Next reports the end and all jobs taken are done. Jobs get
// the context jobs, so that they can outlive the context that ends the intake.
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
