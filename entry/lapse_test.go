package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/feed"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
)

// lapseCase is what happens between the last confirmation of a copy and the update that
// removes a server.
type lapseCase struct {
	name    string
	between func(i *Instance)
	// isLapse is set if the removal counts as a lapse.
	isLapse bool
}

// lapseCases all take longer than unavailableAge.
var lapseCases = []lapseCase{
	{"nothing, as the leader was frozen", func(*Instance) { time.Sleep(2 * time.Second) }, false},
	{"an own read failed", func(i *Instance) {
		time.Sleep(time.Second)
		i.recordReadFailure(time.Now(), i.lastBreak().Count)
		time.Sleep(time.Second)
	}, true},
	{"an own read failed as this instance was frozen", func(i *Instance) {
		sentAt := time.Now()
		time.Sleep(2 * time.Second)
		i.recordReadFailure(sentAt, i.lastBreak().Count)
	}, false},
	{"an own read failed as the machine was suspended", func(i *Instance) {
		sentAt, breaks := time.Now(), i.lastBreak().Count
		sinceBoot := i.SinceBoot
		i.SinceBoot = func() time.Duration { return sinceBoot() + 4*time.Second }
		i.lastBreak()
		confirmServers(i, time.Now())
		time.Sleep(100 * time.Millisecond)
		i.recordReadFailure(sentAt, breaks)
		time.Sleep(2 * time.Second)
	}, false},
	{"a read of another instance failed", func(i *Instance) {
		time.Sleep(2 * time.Second)
		i.applyReply(heartbeat{SinceReadFailureMs: 500}, time.Now())
	}, true},
	{"a read of another instance failed before the confirmation", func(i *Instance) {
		time.Sleep(2 * time.Second)
		i.applyReply(heartbeat{SinceReadFailureMs: 2500}, time.Now())
	}, false},
	{"a delayed heartbeat reports a failed read", func(i *Instance) {
		time.Sleep(2 * time.Second)
		_, _ = i.handleHeartbeat(heartbeat{Self: membership.Instance{Name: "n2"}, SinceReadFailureMs: 500})
	}, false},
}

func confirmServers(i *Instance, at time.Time) {
	i.feeds.Commands().Confirm(platform.ServerStream, feed.Position{}, at)
}

// Guards against requests for removed servers because only the instance that reads the
// store was frozen, and against the loss of servers whose entries expired because the store
// was unavailable.
func TestOnlyUnavailableStoreStartsLapse(t *testing.T) {
	for _, c := range lapseCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var log bytes.Buffer
				i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1"}, &log)
				i.SinceBoot = func() time.Duration { return time.Since(i.startedAt) }
				i.lastBreak()
				time.Sleep(time.Second)
				i.addRead(platform.ServerStream, feed.Batch{End: 2, Records: []feed.Record{{Key: "s1", Offset: 1, Value: []byte(serverEntry("ready", `,"sequence":1,"born":5`))}}}, time.Now())
				c.between(i)
				i.addRead(platform.ServerStream, feed.Batch{End: 3, Records: []feed.Record{{Key: "s1", Offset: 2, IsRemoved: true}}}, time.Now())
				_, isUsable := i.fleet.Queries().Server("s1", time.Now())
				is.NoErr(i.Logger.Close())
				is.Equal(isUsable, c.isLapse)
				is.Equal(strings.Contains(log.String(), `"isStarted":true`), c.isLapse)
			})
		})
	}
}

// Guards against an outage of the store that other instances don't learn of, and against a
// failure that is reported although none happened.
func TestHeartbeatReportsFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1"}, io.Discard)
		defer func() { is.NoErr(i.Logger.Close()) }()
		i.SinceBoot = func() time.Duration { return time.Since(i.startedAt) }
		is.Equal(i.newHeartbeat(false).SinceReadFailureMs, int64(0))
		time.Sleep(time.Second)
		i.recordReadFailure(time.Now(), i.lastBreak().Count)
		is.Equal(i.newHeartbeat(false).SinceReadFailureMs, int64(1))
		time.Sleep(time.Second)
		is.Equal(i.newHeartbeat(false).SinceReadFailureMs, int64(1000))
	})
}

// Guards against an instance that learns of a removed server too late, because it waits for
// records of a frozen instance, and against one that reads the store without need.
func TestStaleCopyIsReadInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdleInstance(5)
	now := time.Now()
	for _, name := range []string{"a0", "a1", "a2", "a3", "a4", "a5"} {
		i.members.Commands().RecordContact(membership.Instance{Name: name, Address: name + ":1", EligibleSince: 1}, now)
	}
	is.Equal(i.candidateIndex(now), notCandidate)
	isReaderAt := func(age time.Duration) bool {
		i.feeds.Commands().Invalidate()
		confirmServers(i, time.Now().Add(-age))
		return i.isReader(platform.ServerStream)
	}
	is.True(!isReaderAt(candidateReadAge + 4*candidateReadStep))
	is.True(isReaderAt(serverStaleAge + time.Millisecond))
	const drainLimit = 2 * time.Second
	is.True(serverStaleAge+readCheckInterval <= drainLimit-500*time.Millisecond)
	is.True(candidateReadAge+4*candidateReadStep < serverStaleAge)

	later := now.Add(3 * time.Second) // a0 is frozen, and has become a candidate again
	for _, name := range []string{"a1", "a2"} {
		i.members.Commands().RecordContact(membership.Instance{Name: name, Address: name + ":1", EligibleSince: 1}, later)
	}
	for round := range 8 {
		for _, to := range i.heartbeatTargets(round, later) {
			if to.wantsRecords {
				is.True(to.address == "a1:1" || to.address == "a2:1")
			}
		}
	}
}

// emptyStore answers each read with no records, and counts the reads.
type emptyStore struct{ reads int }

func (e *emptyStore) RoundTrip(*http.Request) (*http.Response, error) {
	e.reads++
	const headerBytes = 16
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(make([]byte, headerBytes)))}, nil
}

// Guards against an instance that reads the store more than once a second although it isn't
// the leader, and against one that leaves its copy to become too old.
func TestExtraReadsAreLimited(t *testing.T) {
	for _, names := range [][]string{{"a0"}, {"a0", "a1", "a2", "a3", "a4", "a5"}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			i := newIdleInstance(5)
			defer func() { is.NoErr(i.Logger.Close()) }()
			store := &emptyStore{}
			i.store.Client = &http.Client{Transport: store}
			const seconds = 10
			ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
			defer cancel()
			var group errgroup.Group
			group.Go(func() error { return i.runServers(ctx) })
			for ctx.Err() == nil {
				for _, name := range names { // frozen: they send no records, but stay reachable
					i.members.Commands().RecordContact(membership.Instance{Name: name, Address: name + ":1", EligibleSince: 1}, time.Now())
				}
				is.True(time.Since(i.feeds.Queries().State(platform.ServerStream).ConfirmedAt) <= serverStaleAge+readCheckInterval)
				time.Sleep(50 * time.Millisecond)
			}
			is.NoErr(group.Wait())
			is.True(store.reads >= seconds/2)
			is.True(store.reads <= seconds)
		})
	}
}
