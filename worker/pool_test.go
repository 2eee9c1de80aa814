package worker_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/worker"
)

// Guards against jobs that are dropped when the intake context ends, and against
// more concurrent jobs than the pool has workers.
func TestPoolFinishesStartedJobs(t *testing.T) {
	is := is.New(t)
	const size, total = 3, 40
	intake, stop := context.WithCancel(t.Context())
	var taken, done, running, peak atomic.Int64
	p := worker.Pool[int64]{
		Size: size,
		Next: func(ctx context.Context) (int64, bool) {
			n := taken.Add(1)
			if n > total {
				stop()
			}
			return n, ctx.Err() == nil
		},
		Execute: func(context.Context, int64) {
			storeMax(&peak, running.Add(1))
			running.Add(-1)
			done.Add(1)
		},
	}
	is.NoErr(p.Run(intake, t.Context()))
	is.True(done.Load() >= total-size) // every job returned by Next before the end is executed
	is.True(peak.Load() <= size)
	is.Equal(running.Load(), int64(0))
}

// storeMax raises peak to n if n is larger.
func storeMax(peak *atomic.Int64, n int64) {
	current := peak.Load()
	for n > current && !peak.CompareAndSwap(current, n) {
		current = peak.Load()
	}
}

// Guards against a pool that starts all its workers although few are busy, which costs
// an instance with large pools memory, and against one that adds none when all are busy.
func TestPoolGrowsWithLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 5
		intake, stop := context.WithCancel(t.Context())
		jobs, finish := make(chan int), make(chan struct{})
		var waiting, running atomic.Int64
		p := worker.Pool[int]{
			Size: size,
			Next: func(ctx context.Context) (int, bool) {
				waiting.Add(1)
				defer waiting.Add(-1)
				select {
				case n := <-jobs:
					return n, true
				case <-ctx.Done():
					return 0, false
				}
			},
			Execute: func(context.Context, int) {
				running.Add(1)
				<-finish
				running.Add(-1)
			},
		}
		var group errgroup.Group
		group.Go(func() error { return p.Run(intake, t.Context()) })
		synctest.Wait()
		is.Equal(waiting.Load(), int64(1))
		for n := range int64(size) {
			jobs <- int(n)
			synctest.Wait()
			is.Equal(running.Load(), n+1)
			is.Equal(waiting.Load(), min(1, size-n-1)) // one more worker waits until the pool has its size
		}
		close(finish)
		synctest.Wait()
		is.Equal(waiting.Load(), int64(size))
		stop()
		is.NoErr(group.Wait())
	})
}
