package worker_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/worker"
)

// Guards against jobs that are dropped when the intake ends, and against more
// jobs at a time than the pool has workers.
func TestPoolFinishesTakenJobs(t *testing.T) {
	is := is.New(t)
	const size, total = 3, 40
	intake, stop := context.WithCancel(t.Context())
	var taken, done, running, most atomic.Int64
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
			raise(&most, running.Add(1))
			running.Add(-1)
			done.Add(1)
		},
	}
	is.NoErr(p.Run(intake, t.Context()))
	is.True(done.Load() >= total-size) // every job taken before the end is done
	is.True(most.Load() <= size)
	is.Equal(running.Load(), int64(0))
}

// raise sets most to n if that is larger.
func raise(most *atomic.Int64, n int64) {
	m := most.Load()
	for n > m && !most.CompareAndSwap(m, n) {
		m = most.Load()
	}
}
