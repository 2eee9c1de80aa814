package entry

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/cell"
	"lycheecrank.example/feed"
	"lycheecrank.example/platform"
)

// Guards against servers that are usable again after they were draining, because a
// synchronization that began before the change ended after the one for the change.
func TestSynchronizationsDontOvertake(t *testing.T) {
	is := is.New(t)
	i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1"}, io.Discard)
	defer func() { is.NoErr(i.Logger.Close()) }()
	add := func(offset uint64, stream, key, value string) {
		i.addRead(stream, feed.Batch{End: offset + 1, Records: []feed.Record{{Key: key, Offset: offset, Value: []byte(value)}}}, time.Now())
	}
	add(1, platform.OperatorStream, platform.ConfigurationKey, `{"version":1,"services":[{"name":"models","engine":{"slots":8,"kvCapacity":100000,"kvTokenBytes":100}}]}`)
	add(1, platform.ServerStream, "s1", serverEntry("ready", `,"sequence":1,"born":5`))
	usable := func() int { return i.division.Load().usable["models"][cell.Whole] }
	is.Equal(usable(), 1)

	var group errgroup.Group
	divide, isFirst := i.Divide, true
	i.Divide = func(current cell.Layout, instances int, pools map[string]map[string]int) cell.Layout {
		if isFirst {
			isFirst = false
			isDone := make(chan struct{})
			group.Go(func() error {
				defer close(isDone)
				add(2, platform.ServerStream, "s1", serverEntry("draining", `,"sequence":2,"born":5`))
				return nil
			})
			select { // long enough for a synchronization that doesn't wait
			case <-isDone:
			case <-time.After(200 * time.Millisecond):
			}
		}
		return divide(current, instances, pools)
	}
	i.syncServers(time.Now())
	is.NoErr(group.Wait())
	is.Equal(usable(), 0)
}
