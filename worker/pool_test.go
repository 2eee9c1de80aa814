package worker_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

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
