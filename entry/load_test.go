package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/codec"
	"lycheecrank.example/engine"
	"lycheecrank.example/membership"
	"lycheecrank.example/preparation"
	"lycheecrank.example/speed"
)

// Guards against a load that an engine reports to an instance and that the coordinator
// doesn't learn, that counts as new although it is old, or that takes effect without a
// slowness.
func TestLoadReachesCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i, coordinator := newIdleInstance(5), newIdleInstance(5)
		defer func() { is.NoErr(i.Logger.Close()) }()
		defer func() { is.NoErr(coordinator.Logger.Close()) }()
		engines := coordinator.coordinator.Engines
		engines.Commands().SetPool(engine.Spec{Pool: "models", Slots: 8}, []engine.Endpoint{{ID: "e1", Address: "e1:1"}})
		expected := func() float64 { return engines.Queries().Loads("models", time.Now())[0].TokensPerMs }
		// pass sends the queued notice as a message.
		pass := func() notice {
			data, err := codec.Marshal((<-i.notices.queue).notice)
			is.NoErr(err)
			var n notice
			is.NoErr(codec.Unmarshal(data, &n))
			_, err = coordinator.applyNotices([]notice{n})
			is.NoErr(err)
			return n
		}
		place := func(id string) {
			i.placements.add(preparation.Task{RequestID: id, Pool: "models"}, preparation.Placement{Server: "e1"}, membership.Instance{Name: "n9", Address: "n9:1"}, time.Now())
		}
		usual := expected()
		place("r1")
		i.recordLoad("e1", "r1", speed.Report{Running: 2, Slots: 8})
		i.sendStart("models", "e1", "r1", 1, 100*time.Millisecond)
		is.Equal(pass().Load, speed.Report{})
		is.Equal(expected(), usual)
		load := speed.Report{Running: 2, Slots: 8, Slowness: 4}
		place("r2")
		i.recordLoad("e1", "r2", load)
		pause(t.Context(), 100*time.Millisecond)
		i.sendStart("models", "e1", "r2", 1, 100*time.Millisecond)
		n := pass()
		is.Equal(n.Load, load)
		is.Equal(n.LoadAge, 100*time.Millisecond)
		is.True(expected() < 0.6*usual)
		pause(t.Context(), time.Second)
		is.Equal(expected(), usual)
		i.sendEnd("models", "e1", "r2", preparation.RunEnded)
		is.Equal(pass().LoadAge, 1100*time.Millisecond)
		is.Equal(expected(), usual)
	})
}
