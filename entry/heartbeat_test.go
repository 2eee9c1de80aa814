package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/membership"
	"lycheecrank.example/peer"
	"lycheecrank.example/platform"
)

// newQuietInstance returns an instance that does not run, with copies of the streams
// that reach an offset.
func newQuietInstance(end uint64) *Instance {
	i := New(platform.Settings{Name: "n1", DataCentre: "a", Peers: "n1:1"}, io.Discard)
	for _, stream := range streams {
		i.feeds.Commands().ApplyRecords(stream, []feed.Record{{Key: "k", Offset: end - 1, Value: []byte("{}")}}, end, time.Now(), func([]feed.Record) {})
	}
	return i
}

func heartbeatOf(name string, operators, servers uint64) heartbeat {
	return heartbeat{
		Self:      membership.Instance{Name: name, Address: name + ":1", DataCentre: "a"},
		Positions: []position{{Stream: platform.Operators, End: operators}, {Stream: platform.Servers, End: servers}},
	}
}

// Guards against messages that grow with the square of the instances: in a site of
// 61 each piece of news of a server set off heartbeats to all candidates, and when
// the store came back thousands of answers took the memory of the coordinator.
func TestNewsSetOffFewMessages(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newQuietInstance(5)
	for range 10 {
		_, err := i.takeHeartbeat(heartbeatOf("n2", 5, 9))
		is.NoErr(err)
	}
	is.Equal(len(i.wake), 0) // servers change all the time
	is.Equal(len(i.fetches), 0)
	for range 10 {
		_, err := i.takeHeartbeat(heartbeatOf("n2", 6, 9))
		is.NoErr(err)
	}
	is.Equal(len(i.wake), 0)
	is.Equal(len(i.fetches), 1) // one instance is asked, once
	is.Equal(<-i.fetches, "n2:1")
	i.catchUp(heartbeat{
		Positions: []position{{Stream: platform.Operators, End: 6}},
		Missing:   []streamRecords{{Stream: platform.Operators, From: 5, End: 6, Records: []feed.Record{{Key: "k", Offset: 5, Value: []byte("{}")}}}},
	}, time.Now())
	is.Equal(i.feeds.Queries().State(platform.Operators).End, uint64(6))
	is.True(!i.isPushing.Load()) // who read it in the store has told all
	i.push(platform.Operators, []feed.Record{{Key: "k"}})
	is.True(i.isPushing.Load())
}

// Guards against records that all candidates send to an instance at once: they filled
// the link of a small machine, so that none arrived in time and it held an old
// configuration for fifteen seconds.
func TestRecordsAreSentOnDemand(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newQuietInstance(5)
	behind := heartbeatOf("n2", 3, 3)
	answer, err := i.takeHeartbeat(behind)
	is.NoErr(err)
	is.Equal(len(answer.Missing), 0)
	behind.WantsRecords = true
	answer, err = i.takeHeartbeat(behind)
	is.NoErr(err)
	is.Equal(len(answer.Missing), 2)

	now := time.Now()
	for _, name := range []string{"n2", "n3", "n4", "n5", "n6"} {
		i.members.Commands().RecordContact(membership.Instance{Name: name, Address: name + ":1", FitSince: 1}, nil, now)
	}
	asked := map[string]int{}
	for round := range 10 {
		n := 0
		for _, to := range i.targets(round, now) {
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
		for _, to := range i.targets(round, now.Add(oldCopy+time.Millisecond)) {
			if to.wantsRecords {
				asked[to.address]++
				n++
			}
		}
		is.Equal(n, 1) // an old copy asks one after the other
	}
	is.True(len(asked) >= 4)
	i.isFetching.Store(true)
	for _, to := range i.targets(0, now) {
		is.True(!to.wantsRecords) // not while an answer is on its way
	}
}

// Guards against an instance that leaves its copy old though it could read the
// store, and against all of them reading while one is enough.
func TestReaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newQuietInstance(5)
	is.True(i.isReader(platform.Operators)) // alone
	now := time.Now()
	i.members.Commands().RecordContact(membership.Instance{Name: "n0", Address: "n0:1", FitSince: 1}, nil, now)
	is.Equal(i.candidacy(now), 1)
	is.True(!i.isReader(platform.Operators))
	confirm := func(age time.Duration) {
		i.feeds.Commands().Invalidate()
		i.feeds.Commands().Confirm(platform.Operators, 5, time.Now().Add(-age))
	}
	confirm(candidateAge + 2*candidateStep)
	is.True(i.isReader(platform.Operators)) // the first to step in
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5"} {
		i.members.Commands().RecordContact(membership.Instance{Name: name, Address: name + ":1", FitSince: 2}, nil, now)
	}
	is.Equal(i.candidacy(now), noCandidate)
	confirm(candidateAge + 4*candidateStep)
	is.True(!i.isReader(platform.Operators))
	confirm(staleAge + 100*time.Millisecond)
	is.True(i.isReader(platform.Operators)) // all do in the end
	is.True(candidateAge+4*candidateStep < staleAge)
	is.True(failurePause(0) < failurePause(1))
	is.True(failurePause(1) < failurePause(noCandidate))
}

// Guards against a copy that counts as confirmed though it may be old: the question
// of another instance may have waited on its way, so that the age in it is not
// known. An instance answered 404 for a route that had been there for seconds.
func TestOnlyAnswersConfirm(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newQuietInstance(5)
	i.feeds.Commands().Invalidate()
	i.routes.Commands().Invalidate()
	_, err := i.takeHeartbeat(heartbeatOf("n2", 5, 5))
	is.NoErr(err)
	is.True(i.feeds.Queries().State(platform.Operators).ConfirmedAt.IsZero())
	asked := time.Now().Add(-300 * time.Millisecond)
	answer := heartbeatOf("n2", 5, 5)
	answer.Positions[0].AgeMs = 200
	i.catchUp(answer, asked)
	is.Equal(i.feeds.Queries().State(platform.Operators).ConfirmedAt, asked.Add(-200*time.Millisecond))
}

// Guards against a coordinator that is taken as gone since one heartbeat was
// answered late: all instances then turn to another one, and a burst makes each
// coordinator late in turn.
func TestLateHeartbeat(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newQuietInstance(5)
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
	i.members.Commands().RecordContact(membership.Instance{Name: "n0", Address: address, FitSince: 1}, nil, time.Now())
	i.sendHeartbeat(t.Context(), target{address: address}, false)
	is.Equal(i.dropped.Values()["heartbeatLate"], int64(1))
	is.True(i.view().IsReachable("n0", time.Now()))
	stop()
	is.NoErr(group.Wait())
	i.client.Close()
	i.sendHeartbeat(t.Context(), target{address: address}, false)
	is.True(!i.view().IsReachable("n0", time.Now())) // one that refuses is gone
}
