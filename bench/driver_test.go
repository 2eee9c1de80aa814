package bench

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/lock"
	"lycheecrank.example/request"
)

// Guards against coordinated omission: while answers hang, requests are sent at
// their times all the same, and the wait counts in their latency.
func TestOpenLoop(t *testing.T) {
	l := readLoad(t, "testdata/smoke.yaml")
	l.Mix = l.Mix[:1]
	l.Mix[0].Timeout = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		mu := lock.New(rankTally, "test")
		late := time.Duration(0)
		send := func(_ context.Context, a Arrival, _ time.Time) Reply {
			mu.Lock()
			late = max(late, time.Since(began)-a.At)
			mu.Unlock()
			// The server hangs during the first second.
			time.Sleep(5*time.Second - time.Since(began))
			return Reply{RequestID: a.ID(), Outcome: request.Ran, Output: Expected(a)}
		}
		r := Driver{Load: l, Send: send}.Run(t.Context())
		all := r.Class(allClasses)
		is.True(late < time.Millisecond)
		is.Equal(all.Sent, int64(len(Schedule(l))))
		is.Equal(all.Verdicts[Late], all.Sent) // all were meant more than 3 s before the answers
		is.True(all.LatencyMs.Max > 4900)
		is.True(all.LatencyMs.P50 > 3000)
	})
}

// Guards against a load that goes on asking an instance that is leaving, or
// never asks one that came back.
func TestBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		ready := map[string]bool{"a": true, "b": true}
		mu := lock.New(rankTally+2, "test")
		b := NewBalancer(nil, []string{"a", "b"})
		b.IsReady = func(_ context.Context, address string) bool {
			mu.Lock()
			defer mu.Unlock()
			return ready[address]
		}
		set := func(address string, ok bool) {
			mu.Lock()
			defer mu.Unlock()
			ready[address] = ok
		}
		is.Equal(b.Choose(), "")
		var group errgroup.Group
		group.Go(func() error {
			b.Run(ctx)
			return nil
		})
		synctest.Wait()
		first, second := b.Choose(), b.Choose()
		is.True(first != second)
		set("a", false)
		time.Sleep(readyEvery + time.Millisecond)
		is.Equal(b.Choose()+b.Choose(), "bb")
		set("a", true)
		time.Sleep(readyEvery + time.Millisecond)
		is.True(b.Choose() != b.Choose())
		stop()
		is.NoErr(group.Wait())
	})
}
