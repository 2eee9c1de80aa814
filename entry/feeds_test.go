package entry

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/event"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

// Guards against reads of an empty stream without a pause, and against a log line for each:
// before the first configuration was written, each instance of a large site made 40 calls to
// the store in its first second.
func TestEmptyStreamIsReadAtIntervals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := site.NewStore()
	t.Cleanup(store.Close)
	var log bytes.Buffer
	i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1", StoreAddress: store.Address()}, &log)
	const intervals = 5
	ctx, cancel := context.WithTimeout(t.Context(), intervals*readCheckInterval)
	defer cancel()
	is.NoErr(i.follow(ctx, platform.OperatorStream, readWait, readCheckInterval))
	reads := i.storeCalls.Values()["log-newest.200"]
	is.True(reads >= 1)
	is.True(reads <= intervals+1)
	is.NoErr(i.Logger.Close())
	is.True(!strings.Contains(log.String(), event.SnapshotRead.Name))
}

// Guards against reads of the store by all instances of a site that start at once.
func TestStartingInstancesLeaveReadsToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		newInstance := func(name string, seeds ...string) *Instance {
			i := New(platform.Settings{Name: name, DataCentre: "a", PeerAddress: name + ":1", Seeds: seeds, IsFirstStart: true}, io.Discard)
			t.Cleanup(func() { _ = i.Logger.Close() })
			return i
		}
		i := newInstance("n2", "n1:1", "n2:1")
		is.True(!i.isReader(platform.ServerStream)) // no contact yet
		leader := membership.Instance{Name: "n1", Address: "n1:1", DataCentre: "a", EligibleSince: time.Now().UnixMilli()}
		i.members.Commands().RecordContact(leader, time.Now())
		is.True(!i.isReader(platform.ServerStream)) // the leader reads
		follower := membership.Instance{Name: "n3", Address: "n3:1", DataCentre: "a", EligibleSince: time.Now().UnixMilli()}
		i.members.Commands().RecordContact(leader.WithLeaving(), time.Now())
		i.members.Commands().RecordContact(follower, time.Now())
		is.True(i.isReader(platform.ServerStream)) // this instance leads
		alone := newInstance("n1", "n1:1")
		is.True(alone.isReader(platform.ServerStream))
		restarted := newInstance("n2", "n1:1")
		restarted.Settings.IsFirstStart = false
		is.True(restarted.isReader(platform.ServerStream)) // it serves again at once
		is.True(restarted.awaitsContact(time.Now()))
		restarted.members.Commands().RecordContact(leader, time.Now())
		is.True(!restarted.awaitsContact(time.Now()))
		lonely := newInstance("n2", "n1:1")
		time.Sleep(contactGrace)
		is.True(!lonely.awaitsContact(time.Now()))
		is.True(lonely.isReader(platform.ServerStream)) // the seeds are down
	})
}
