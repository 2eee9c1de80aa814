package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/membership"
)

// Guards against notices that wait for the next notice to be sent, because the delivery
// of earlier ones to the same instance was in progress: the coordinator would count the
// last requests of a quiet period as running.
func TestNoticesFollowSlowDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := newIdleInstance(5)
		defer func() { is.NoErr(i.Logger.Close()) }()
		delivered := make(chan string, 4)
		i.notices.deliver = func(_ context.Context, _ string, notices []notice) error {
			time.Sleep(300 * time.Millisecond)
			for _, n := range notices {
				delivered <- n.RequestID
			}
			return nil
		}
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return i.notices.run(ctx) })
		coordinator := membership.Instance{Name: "n2", Address: "n2:1"}
		i.notices.add(coordinator, notice{Kind: endedNotice, RequestID: "r1"})
		time.Sleep(100 * time.Millisecond) // the delivery of the first notice is in progress
		i.notices.add(coordinator, notice{Kind: endedNotice, RequestID: "r2"})
		time.Sleep(2 * time.Second)
		is.Equal(len(delivered), 2)
		is.Equal(<-delivered, "r1")
		is.Equal(<-delivered, "r2")
		stop()
		is.NoErr(group.Wait())
	})
}
