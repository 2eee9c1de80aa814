package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fixture is a table with two servers of version v1 and two of v2 of a pool.
type fixture struct {
	*Table
	now time.Time
}

func newFixture(bounds Bounds) *fixture {
	f := &fixture{Table: NewTable(bounds, "n1"), now: time.UnixMilli(1_000_000)}
	f.setServers("v1", "v1")
	return f
}

// setServers lists a server of each version.
func (f *fixture) setServers(versions ...string) {
	var servers []Server
	for n, version := range versions {
		servers = append(servers, Server{ID: string(rune('a' + n)), Version: version, IsInScope: true})
	}
	f.Commands().SetServers(map[string][]Server{"p": servers}, f.now)
}

func (f *fixture) order(to string, offset uint64) {
	f.Commands().ApplyOrder(Order{Pool: "p", To: to, Duration: 10 * time.Second, Offset: offset}, 9, 10, f.now)
}

// start starts the order as its leader, and confirms the phases.
func (f *fixture) start() State {
	state, _ := f.Commands().Start("p", f.now)
	f.apply(state)
	return state
}

func (f *fixture) apply(state State) {
	f.Commands().Merge([]State{state}, f.now)
	f.Commands().Confirm(f.now)
}

// allowed returns the servers that get requests.
func (f *fixture) allowed(isTrial bool) string {
	lane := Usual
	if isTrial {
		lane = Trial
	}
	allows := f.Queries().Selection("p", lane, f.now)
	text := ""
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		if allows == nil || allows(id) {
			text += id
		}
	}
	return text
}

// Guards against restrictions where no rollouts are expected.
func TestDisabled(t *testing.T) {
	is := is.New(t)
	f := newFixture(Bounds{})
	f.setServers("v1", "v1", "v2")
	f.order("v2", 1)
	is.Equal(f.allowed(false), "abcde")
	is.True(!f.Commands().Admit("p", f.now))
	is.True(f.Queries().MaySend("p", "v2", f.now))
	var none *Table
	is.True(none.Queries().MaySend("p", "v2", f.now))
	is.True(none.Queries().Selection("p", Usual, f.now) == nil)
	is.True(!none.Commands().Admit("p", f.now))
}

// Guards against requests to a version before its order is known, before its phase is
// confirmed, after its end, and to the old version after the success.
func TestUses(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	f.setServers("v1", "v1", "v2", "v2")
	is.Equal(f.allowed(false), "ab")
	is.True(!f.Queries().MaySend("p", "v2", f.now))
	f.order("v2", 1)
	f.now = f.now.Add(3 * time.Second) // longer than the hold-back
	is.Equal(f.allowed(false), "ab")
	is.True(!f.Commands().Admit("p", f.now))
	state := f.start()
	is.Equal(f.allowed(false), "ab")
	is.Equal(len(f.allowed(true)), 1) // enough for the share
	f.apply(state.WithSpread(2, ""))
	is.Equal(f.allowed(true), "cd")
	f.now = f.now.Add(confirmationAge)
	is.Equal(f.allowed(true), "ab") // not confirmed any more
	is.True(!f.Queries().MaySend("p", "v2", f.now))
	f.apply(state.WithPhase(Shifted, ""))
	is.Equal(f.allowed(false), "cd")
	is.True(f.Queries().MaySend("p", "v1", f.now)) // placed before the shift
	is.Equal(f.Queries().LaneAfter("p", []string{"a", "c"}, f.now), Repeated)
	is.Equal(f.Queries().LaneAfter("p", []string{"a"}, f.now), Usual)
	allows := f.Queries().Selection("p", Repeated, f.now)
	is.True(allows("a") && !allows("c")) // failed at the new version
	f.now = f.now.Add(confirmationAge)
	is.Equal(f.allowed(false), "ab")
	f.apply(state.WithPhase(Succeeded, ""))
	f.now = f.now.Add(time.Hour)
	is.Equal(f.allowed(false), "cd")
	is.True(!f.Queries().MaySend("p", "v1", f.now))
	is.True(f.Queries().IsReplaced("p", "v1"))
	f.apply(state.WithPhase(RolledBack, ""))
	is.Equal(f.Queries().State("p").Phase, Succeeded) // phases only move forward
}

// Guards against versions without an order that are used at once, or never.
func TestHoldBackEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	is.Equal(f.allowed(false), "abcde") // listed from the beginning, and unrestricted
	f.setServers("v1", "v1", "v2")
	f.now = f.now.Add(holdBack - time.Millisecond)
	is.Equal(f.allowed(false), "ab")
	f.now = f.now.Add(time.Millisecond)
	is.Equal(f.allowed(false), "abcde")
}

// Guards against a version that keeps its requests when a newer order replaces its own, and
// against one that starts with the evidence of an earlier order.
func TestNewerOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	f.setServers("v1", "v2", "v3")
	f.order("v2", 1)
	f.start()
	f.Commands().Record(Response{Pool: "p", Route: "r", Server: "b", Version: "v2", IsBad: true})
	is.Equal(f.Queries().Statuses(f.now)[0].Bad, int64(1))
	f.now = f.now.Add(3 * time.Second)
	f.order("v3", 2)
	is.Equal(f.allowed(false), "a") // before the leader starts it
	state := f.start()
	is.Equal(state.Rejected, []string{"v2"})
	is.Equal(f.allowed(false), "a")
	is.Equal(f.allowed(true), "c")
	is.Equal(f.Queries().Statuses(f.now)[0].Bad, int64(0))
	f.order("v2", 1) // an old copy of the record
	is.Equal(f.allowed(true), "c")
	f.order("v2", 3)
	is.Equal(f.start().Rejected, []string{"v3"})
	is.Equal(f.allowed(true), "b")
}

// Guards against an order that lasts although it was withdrawn, in each phase.
func TestWithdrawnOrder(t *testing.T) {
	for _, phase := range []Phase{Pending, Running, Shifted} {
		is := is.New(t)
		f := newFixture(simulated)
		f.setServers("v1", "v1", "v2")
		f.order("v2", 1)
		if phase != Pending {
			f.apply(f.start().WithPhase(phase, ""))
		}
		f.Commands().WithdrawOrder("p", f.now)
		is.Equal(f.allowed(false), "ab")
		is.True(!f.Queries().MaySend("p", "v2", f.now))
		next, _, ok := f.Commands().Decide("p", nil, f.now)
		if phase == Pending {
			next, ok = f.Commands().Start("p", f.now)
		}
		is.True(ok)
		is.Equal(next.Phase, RolledBack)
	}
}

// Guards against a rollout to the version that the pool already has.
func TestCurrentVersion(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	f.order("v1", 1)
	is.Equal(f.start().Phase, Succeeded)
	is.Equal(f.allowed(false), "ab")
	f.setServers("v1", "v1", "v2")
	f.order("v2", 2)
	f.apply(f.start().WithPhase(Shifted, "").WithPhase(Succeeded, ""))
	f.order("v2", 3)
	is.Equal(f.start().Phase, Succeeded)
}

// Guards against a return to a replaced version that counts as the current one after a
// rollback, and against a current version that gets nothing until its new order starts.
func TestCurrentVersionAfterRollback(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	f.setServers("v1", "v2")
	f.order("v2", 1)
	f.apply(f.start().WithPhase(Succeeded, ""))
	f.setServers("v1", "v2", "v3")
	f.order("v3", 2)
	rolledBack := f.start().WithPhase(RolledBack, "")
	f.apply(rolledBack)
	f.order("v1", 3)
	is.Equal(f.start().Phase, Running) // v2 is the current version, not v1
	f.order("v2", 4)
	is.Equal(f.allowed(false), "b")
	is.Equal(f.start().Phase, Succeeded)

	late := &fixture{Table: NewTable(simulated, "n2"), now: f.now}
	late.setServers("v2", "v3")
	late.apply(rolledBack)
	late.order("v2", 4)
	is.Equal(late.allowed(false), "a")
	is.Equal(late.start().Phase, Succeeded)
}

// Guards against an instance that learns the state of a newer order before its record, and
// then refuses all requests or starts the older order again.
func TestStateBeforeOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	f.setServers("v1", "v2")
	f.order("v2", 1)
	succeeded := f.start().WithPhase(Succeeded, "")
	f.apply(succeeded)
	f.setServers("v2", "v3")
	f.now = f.now.Add(time.Minute)
	newer := start(Order{Pool: "p", To: "v3", Duration: 10 * time.Second, Offset: 2}, succeeded, "v2", f.now)
	f.apply(newer)
	is.Equal(f.allowed(false), "a")
	is.True(f.Queries().MaySend("p", "v2", f.now))
	is.True(!f.Queries().MaySend("p", "v3", f.now)) // its order isn't known
	_, ok := f.Commands().Start("p", f.now)
	is.True(!ok)
	is.Equal(len(f.Queries().InProgress()), 0)
	f.order("v3", 2)
	is.Equal(f.allowed(false), "a")
	is.Equal(f.allowed(true), "b")
}

// Guards against a success of a version whose servers have ended since the shift, at which
// the old servers would end too, and against requests that get no server until then.
func TestServersEndAfterShift(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	f.setServers("v1", "v1", "v2")
	f.order("v2", 1)
	state := f.start()
	f.Commands().Record(Response{Pool: "p", Route: "r", Server: "c", Version: "v2"})
	f.apply(state.WithPhase(Shifted, ""))
	is.Equal(f.allowed(false), "c")
	f.setServers("v1", "v1")
	f.now = f.now.Add(simulated.Schedule(10 * time.Second).SucceedAt)
	_, _, ok := f.Commands().Decide("p", nil, f.now)
	is.True(!ok)
	f.Commands().Confirm(f.now)
	is.Equal(f.allowed(false), "ab")
	f.now = f.now.Add(succeedLead)
	next, _, _ := f.Commands().Decide("p", nil, f.now)
	is.Equal(next.Phase, RolledBack)
}

// Guards against a version without a server or without traffic that succeeds or runs for
// ever.
func TestNoServerOrTraffic(t *testing.T) {
	for _, hasServer := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(simulated)
		if hasServer {
			f.setServers("v1", "v1", "v2")
		}
		f.order("v2", 1)
		f.start()
		last := Running
		for range 110 {
			f.now = f.now.Add(100 * time.Millisecond)
			f.Commands().Confirm(f.now)
			if next, _, ok := f.Commands().Decide("p", nil, f.now); ok {
				last = next.Phase
				f.apply(next)
			}
			is.True(last != Succeeded)
		}
		is.Equal(last, RolledBack)
	}
}

// Guards against evidence of routes that are no longer configured.
func TestRemovedRoute(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	f.setServers("v1", "v1", "v2", "v2")
	f.order("v2", 1)
	f.start()
	for n := range 20 {
		f.Commands().Record(Response{Pool: "p", Route: "removed", Server: string(rune('c' + n%2)), Version: "v2", IsBad: true})
	}
	_, _, ok := f.Commands().Decide("p", func(name string) bool { return name != "removed" }, f.now)
	is.True(!ok)
	next, _, ok := f.Commands().Decide("p", nil, f.now)
	is.True(ok)
	is.Equal(next.Phase, RolledBack)
}

// Guards against an instance that joins late and takes the time of its start for that of
// the order, or uses a version without knowing its phase.
func TestLateInstance(t *testing.T) {
	is := is.New(t)
	f := newFixture(simulated)
	f.setServers("v1", "v1", "v2")
	f.order("v2", 1)
	state := f.start()
	f.now = f.now.Add(5 * time.Second)
	late := &fixture{Table: NewTable(simulated, "n2"), now: f.now}
	late.setServers("v1", "v1", "v2")
	late.order("v2", 1)
	is.Equal(late.allowed(false), "ab")
	late.Commands().Merge(f.Queries().States(true, f.now), f.now)
	_, input, _ := late.Commands().Decide("p", nil, f.now)
	is.Equal(input.Elapsed, 5*time.Second)
	f.apply(state.WithPhase(Succeeded, ""))
	late.Commands().Merge(f.Queries().States(true, f.now), f.now)
	is.Equal(late.allowed(false), "c")
}

// Guards against a share that is exceeded by places which don't reach each other, for
// constant and for uneven traffic.
func TestShareOfPlaces(t *testing.T) {
	for _, places := range []int{1, 5, 91} {
		is := is.New(t)
		requests, trials := 0, 0
		for k := range places {
			f := newFixture(simulated)
			f.setServers("v1", "v1", "v2")
			f.Commands().ApplyOrder(Order{Pool: "p", To: "v2", Duration: 10 * time.Second, Offset: 1}, k, places, f.now)
			state := f.start()
			state.Step = len(shareSteps) - 1
			f.apply(state)
			for range 7 * (k + 1) {
				requests++
				if f.Commands().Admit("p", f.now) {
					trials++
				}
			}
		}
		is.True(float64(trials) <= maxTrialShare*float64(requests)+simulated.ExposureSlack/4)
	}
}

// Guards against a schedule whose exposure exceeds the bound, for all durations.
func TestScheduleKeepsBound(t *testing.T) {
	is := is.New(t)
	for duration := 500 * time.Millisecond; duration < 2*time.Minute; duration += 250 * time.Millisecond {
		s := simulated.Schedule(duration)
		exposure := s.MaxShare*s.ShiftAt.Seconds() + (s.SucceedAt - s.ShiftAt).Seconds()
		is.True(exposure <= simulated.ExposureShare*duration.Seconds())
		is.True(s.MaxShare <= maxTrialShare && s.ShiftAt <= s.SucceedAt && s.SucceedAt <= duration)
		is.True(duration < 2*time.Second || s.MaxShare >= shareSteps[0])
	}
}
