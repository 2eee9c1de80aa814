package entry

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/membership"
	"lycheecrank.example/peer"
	"lycheecrank.example/platform"
)

// newIdleInstance returns an instance that isn't running, whose copies of the streams
// reach an offset.
func newIdleInstance(end uint64) *Instance {
	i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1"}, io.Discard)
	for _, stream := range streams {
		i.feeds.Commands().ApplyRecords(stream, feed.Batch{End: end, Records: []feed.Record{{Key: "k", Offset: end - 1, Value: []byte("{}")}}}, time.Now(), func([]feed.Record) {})
	}
	return i
}

func newTestHeartbeat(name string, operators, servers uint64) heartbeat {
	return heartbeat{
		Self:      membership.Instance{Name: name, Address: name + ":1", DataCentre: "a"},
		Positions: []position{{Stream: platform.OperatorStream, End: operators}, {Stream: platform.ServerStream, End: servers}},
	}
}

// Guards against messages that grow with the square of the number of instances. In a
// site of 61 instances, each server registration triggered heartbeats to all
// candidates, and when the store became available again, thousands of replies filled
// the memory of the coordinator.
func TestUpdatesCauseFewMessages(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdleInstance(5)
	for range 10 {
		_, err := i.handleHeartbeat(newTestHeartbeat("n2", 5, 9))
		is.NoErr(err)
	}
	is.Equal(len(i.heartbeatTrigger), 0) // newer server entries trigger no messages
	is.Equal(len(i.fetchAddress), 0)
	for range 10 {
		_, err := i.handleHeartbeat(newTestHeartbeat("n2", 6, 9))
		is.NoErr(err)
	}
	is.Equal(len(i.heartbeatTrigger), 0)
	is.Equal(len(i.fetchAddress), 1) // one fetch from one instance
	is.Equal(<-i.fetchAddress, "n2:1")
	i.applyReply(heartbeat{
		Positions: []position{{Stream: platform.OperatorStream, End: 6}},
		Missing:   []streamRecords{{Stream: platform.OperatorStream, From: 5, End: 6, Records: []feed.Record{{Key: "k", Offset: 5, Value: []byte("{}")}}}},
	}, time.Now())
	is.Equal(i.feeds.Queries().State(platform.OperatorStream).End, uint64(6))
	is.True(!i.isPushPending.Load()) // the instance that read the change from the store pushes it
	i.pushOperatorRecords(platform.OperatorStream, []feed.Record{{Key: "k"}})
	is.True(i.isPushPending.Load())
}

// Guards against records that all candidates send to an instance at once. They filled
// the link of a small machine, so that none arrived in time and the machine used an old
// configuration for fifteen seconds.
func TestRecordsAreSentOnDemand(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdleInstance(5)
	behind := newTestHeartbeat("n2", 3, 3)
	reply, err := i.handleHeartbeat(behind)
	is.NoErr(err)
	is.Equal(len(reply.Missing), 0)
	behind.WantsRecords = true
	reply, err = i.handleHeartbeat(behind)
	is.NoErr(err)
	is.Equal(len(reply.Missing), 2)

	now := time.Now()
	for _, name := range []string{"n2", "n3", "n4", "n5", "n6"} {
		i.members.Commands().RecordContact(membership.Instance{Name: name, Address: name + ":1", EligibleSince: 1}, now)
	}
	asked := map[string]int{}
	for round := range 10 {
		n := 0
		for _, to := range i.heartbeatTargets(round, now) {
			if to.wantsRecords {
				asked[to.address]++
				n++
			}
		}
		is.Equal(n, 1)
	}
	is.Equal(asked["n2:1"], 10) // the coordinator each time
	for round := range 8 {
		n := 0
		for _, to := range i.heartbeatTargets(round, now.Add(rotationAge+time.Millisecond)) {
			if to.wantsRecords {
				asked[to.address]++
				n++
			}
		}
		is.Equal(n, 1) // with an old copy, the candidates are asked in turn
	}
	is.True(len(asked) >= 4)
	i.isFetchingRecords.Store(true)
	for _, to := range i.heartbeatTargets(0, now) {
		is.True(!to.wantsRecords) // not while a reply with records is in progress
	}
}

// Guards against an instance whose copy stays old although it could read the store, and
// against all instances reading the store although one is enough.
func TestReaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdleInstance(5)
	is.True(i.isReader(platform.OperatorStream)) // the only instance
	now := time.Now()
	i.members.Commands().RecordContact(membership.Instance{Name: "n0", Address: "n0:1", EligibleSince: 1}, now)
	is.Equal(i.candidateIndex(now), 1)
	is.True(!i.isReader(platform.OperatorStream))
	confirm := func(age time.Duration) {
		i.feeds.Commands().Invalidate()
		i.feeds.Commands().Confirm(platform.OperatorStream, feed.Position{Offset: 5}, time.Now().Add(-age))
	}
	confirm(candidateReadAge + 2*candidateReadStep)
	is.True(i.isReader(platform.OperatorStream)) // the first candidate after the coordinator
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5"} {
		i.members.Commands().RecordContact(membership.Instance{Name: name, Address: name + ":1", EligibleSince: 2}, now)
	}
	is.Equal(i.candidateIndex(now), notCandidate)
	confirm(candidateReadAge + 4*candidateReadStep)
	is.True(!i.isReader(platform.OperatorStream))
	confirm(staleAge + 100*time.Millisecond)
	is.True(i.isReader(platform.OperatorStream)) // every instance reads when its copy is stale
	is.True(candidateReadAge+4*candidateReadStep < staleAge)
	is.True(failurePause(0) < failurePause(1))
	is.True(failurePause(1) < failurePause(notCandidate))
}

// Guards against a copy that is confirmed by a heartbeat of another instance. The
// heartbeat may have been delayed, so the age in it is unreliable. An instance that
// relied on it took an old configuration for the current one, and responded with 404 for
// a route that had existed for seconds.
func TestOnlyRepliesConfirm(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdleInstance(5)
	i.feeds.Commands().Invalidate()
	i.routes.Commands().Invalidate()
	_, err := i.handleHeartbeat(newTestHeartbeat("n2", 5, 5))
	is.NoErr(err)
	is.True(i.feeds.Queries().State(platform.OperatorStream).ConfirmedAt.IsZero())
	sentAt := time.Now().Add(-300 * time.Millisecond)
	reply := newTestHeartbeat("n2", 5, 5)
	reply.Positions[0].AgeMs = 200
	i.applyReply(reply, sentAt)
	is.Equal(i.feeds.Queries().State(platform.OperatorStream).ConfirmedAt, sentAt.Add(-200*time.Millisecond))
}

// Guards against a coordinator that counts as unreachable because one reply to a
// heartbeat was late. All instances would change to another coordinator, and during a
// burst of requests the new one would be late as well.
func TestLateHeartbeat(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdleInstance(5)
	l, err := listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	slow := &peer.Server{Self: peer.Hello{Instance: "n0"}, Logger: event.Discard(), Ask: func(ctx context.Context, _ peer.Hello, _ string, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	var group errgroup.Group
	group.Go(func() error { return slow.Serve(ctx, l) })
	t.Cleanup(func() {
		i.client.Close()
		stop()
		_ = group.Wait()
	})
	address := l.Addr().String()
	i.members.Commands().RecordContact(membership.Instance{Name: "n0", Address: address, EligibleSince: 1}, time.Now())
	i.sendHeartbeat(t.Context(), target{address: address}, false)
	is.Equal(i.coordinationCounts.Values()["heartbeatLate"], int64(1))
	is.True(i.view().IsReachable("n0", time.Now()))
	stop()
	is.NoErr(group.Wait())
	i.client.Close()
	i.sendHeartbeat(t.Context(), target{address: address}, false)
	is.True(!i.view().IsReachable("n0", time.Now())) // an instance that refuses connections is unreachable
}

// Guards against a failed instance that is never forgotten because lists of known
// instances travel for a time and are passed on.
func TestSlowLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const transit = 300 * time.Millisecond
		first := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1"}, io.Discard)
		second := New(platform.Settings{Name: "n2", DataCentre: "a", PeerAddress: "n2:1"}, io.Discard)
		defer func() { is.NoErr(first.Logger.Close()) }()
		defer func() { is.NoErr(second.Logger.Close()) }()
		first.members.Commands().RecordContact(membership.Instance{Name: "n3", Address: "n3:1"}, time.Now())
		for range 70 {
			sentAt, message := time.Now(), first.newHeartbeat(true)
			time.Sleep(transit)
			reply, err := second.handleHeartbeat(message)
			is.NoErr(err)
			time.Sleep(transit)
			first.recordContact(reply, sentAt, time.Now())
			for _, i := range []*Instance{first, second} {
				i.members.Commands().RemoveStale(time.Now())
			}
		}
		is.Equal(first.view().Size(), 2)
		is.Equal(second.view().Size(), 2)
	})
}
