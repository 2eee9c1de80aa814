package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/rollout"
	"lycheecrank.example/standin/site"
)

// fakeLeaders are instances that don't run: the test calls what their tasks call, with the
// time of the test.
type fakeLeaders struct {
	t       *testing.T
	store   *site.Store
	leaders []*rolloutLeader
	now     time.Time
}

func newFakeLeaders(t *testing.T) *fakeLeaders {
	f := &fakeLeaders{t: t, store: site.NewStore(), now: time.Now()}
	t.Cleanup(f.store.Close)
	for n := range 2 {
		i := New(platform.Settings{
			Name: fmt.Sprintf("n%d", n+1), DataCentre: "a", StoreAddress: f.store.Address(), PeerAddress: "127.0.0.1:1",
			ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second,
		}, io.Discard)
		for k, version := range []string{"v1", "v2"} {
			server := fleet.Server{ID: string(rune('a' + k)), Pool: "p", Address: fmt.Sprintf("127.0.0.1:%d", k+1), Version: version, EntryPosition: feed.Position{Offset: uint64(k)}}
			i.fleet.Commands().Apply([]fleet.Change{{Server: server}})
			i.syncServers(f.now)
		}
		i.rollouts.Commands().ApplyOrder(rollout.Order{Pool: "p", To: "v2", Duration: 10 * time.Second, Offset: 3}, 0, 1, f.now)
		f.leaders = append(f.leaders, &rolloutLeader{instance: i})
	}
	return f
}

// respond records responses of the new version.
func (f *fakeLeaders) respond(count int, isBad bool) {
	for _, l := range f.leaders {
		for range count {
			l.instance.rollouts.Commands().Record(rollout.Response{Pool: "p", Route: "stage:p", Server: "b", Version: "v2", IsBad: isBad, Took: 50 * time.Millisecond})
		}
	}
}

func (f *fakeLeaders) phase(n int) rollout.Phase {
	return f.leaders[n].instance.rollouts.Queries().State("p").Phase
}

func (f *fakeLeaders) status() string {
	value, _ := f.store.Newest(platform.StatusStream, "rollout/p")
	return string(value)
}

// at lets a leader act at a time after the order, as often as a change needs.
func (f *fakeLeaders) at(n int, elapsed time.Duration) {
	l := f.leaders[n]
	l.failedAt = time.Time{}
	for range 3 {
		l.lead(f.t.Context(), f.now.Add(elapsed))
	}
}

// reach brings the first leader to a phase, of which the second one learns nothing.
func (f *fakeLeaders) reach(phase rollout.Phase) {
	if phase == rollout.Pending {
		return
	}
	f.at(0, 0)
	f.respond(1, false)
	if phase >= rollout.Shifted {
		f.at(0, 9200*time.Millisecond)
	}
	if phase == rollout.Succeeded {
		f.at(0, 9700*time.Millisecond)
	}
}

var leaderPhases = []rollout.Phase{rollout.Pending, rollout.Running, rollout.Shifted, rollout.Succeeded}

// Guards against a rollout that starts again or is lost when the leader is killed in any
// phase.
func TestRolloutLeaderKilled(t *testing.T) {
	for _, phase := range leaderPhases {
		is := is.New(t)
		f := newFakeLeaders(t)
		f.reach(phase)
		is.Equal(f.phase(0), phase)
		f.at(1, 9300*time.Millisecond)
		f.respond(1, false)
		f.at(1, 9700*time.Millisecond)
		is.Equal(f.phase(1), rollout.Succeeded)
		is.Equal(f.status(), `{"state":"succeeded","to":"v2"}`)
	}
}

// Guards against a leader that was frozen in any phase and changes what the next one has
// decided meanwhile.
func TestRolloutLeaderFrozen(t *testing.T) {
	for _, phase := range leaderPhases {
		is := is.New(t)
		f := newFakeLeaders(t)
		f.reach(phase)
		f.at(1, 2*time.Second)
		f.leaders[1].instance.rollouts.Commands().WithdrawOrder("p", f.now)
		f.at(1, 2500*time.Millisecond)
		want := rollout.RolledBack
		if phase == rollout.Succeeded {
			want = rollout.Succeeded
		}
		is.Equal(f.phase(1), want)
		f.at(0, 9900*time.Millisecond)
		is.Equal(f.phase(0), want)
		if want == rollout.RolledBack {
			is.Equal(f.status(), `{"state":"rolled_back","to":"v2"}`)
		}
	}
}

// Guards against phases that advance while the store can't be reached, and against a bad
// version that stays in use until it can.
func TestRolloutLeaderWithoutStore(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Pending, rollout.Running, rollout.Shifted} {
		is := is.New(t)
		f := newFakeLeaders(t)
		f.reach(phase)
		before := f.status()
		f.store.SetDown(true)
		f.at(0, 9800*time.Millisecond)
		is.Equal(f.phase(0), phase)
		f.respond(10, true)
		f.at(0, 9900*time.Millisecond)
		if phase != rollout.Pending {
			is.Equal(f.phase(0), rollout.RolledBack)
		}
		is.Equal(f.status(), before)
		f.store.SetDown(false)
		f.at(0, 10*time.Second)
		if phase != rollout.Pending {
			is.Equal(f.status(), `{"state":"rolled_back","to":"v2"}`)
		}
	}
}

// Guards against a leader that rolls back on its side of a partition what has succeeded on
// the other one.
func TestRolloutLeadersApart(t *testing.T) {
	is := is.New(t)
	f := newFakeLeaders(t)
	f.at(0, 0)
	f.at(1, 0)
	is.Equal(f.phase(1), rollout.Running)
	address := f.leaders[1].instance.store.Address
	f.leaders[1].instance.store.Address = "127.0.0.1:1"
	f.leaders[1].instance.rollouts.Commands().WithdrawOrder("p", f.now)
	f.at(1, time.Second)
	is.Equal(f.phase(1), rollout.RolledBack)
	f.reach(rollout.Succeeded)
	f.leaders[1].instance.store.Address = address
	f.at(1, 11*time.Second)
	is.Equal(f.phase(1), rollout.Succeeded)
	is.Equal(f.status(), `{"state":"succeeded","to":"v2"}`)
}
