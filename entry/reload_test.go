package entry

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
)

// Guards against changed settings that have no effect, with or without a signal, and
// against invalid settings that replace valid ones.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		current, err := platform.Settings{Seeds: []string{"one"}, DrainGrace: time.Second}, error(nil)
		set := func(settings platform.Settings, failure error) {
			mu.Lock()
			defer mu.Unlock()
			current, err = settings, failure
		}
		i := New(current, io.Discard)
		defer func() { is.NoErr(i.Logger.Close()) }()
		changed := make(chan os.Signal)
		i.ReloadSignal = changed
		i.Reload = func() (platform.Settings, error) {
			mu.Lock()
			defer mu.Unlock()
			return current, err
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return i.runReload(ctx) })
		synctest.Wait()
		set(platform.Settings{Seeds: []string{"two"}, DrainGrace: 3 * time.Second}, nil)
		changed <- os.Interrupt
		synctest.Wait()
		is.Equal(*i.seeds.Load(), []string{"two"})
		is.Equal(time.Duration(i.grace.Load()), 3*time.Second)
		set(platform.Settings{}, errors.New("truncated settings"))
		changed <- os.Interrupt
		synctest.Wait()
		is.Equal(*i.seeds.Load(), []string{"two"})
		set(platform.Settings{Seeds: []string{"three"}}, nil)
		time.Sleep(reloadInterval)
		synctest.Wait()
		is.Equal(*i.seeds.Load(), []string{"three"})
		cancel()
		is.NoErr(group.Wait())
	})
}

// Guards against a coordinator that doesn't step down although it runs far behind, and
// against one that steps down after a single late heartbeat or again and again.
func TestLagMonitor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	monitor := lagMonitor{}
	is.True(!monitor.addSample(150*time.Millisecond, now))
	for range 20 {
		is.True(!monitor.addSample(5*time.Millisecond, now))
	}
	stepDowns := 0
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		if monitor.addSample(200*time.Millisecond, now) {
			stepDowns++
		}
	}
	is.Equal(stepDowns, 2) // within ten seconds
}

// Guards against a coordinator of a large site that steps down as soon as it is chosen,
// because its heartbeat interval becomes shorter, and against one that doesn't detect a
// suspension of its machine.
func TestEligibility(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := New(platform.Settings{Name: "n1", PeerAddress: "10.0.0.1:1"}, io.Discard)
		defer func() { is.NoErr(i.Logger.Close()) }()
		boot := time.Duration(0)
		i.SinceBoot = func() time.Duration { return boot }
		i.members.Commands().RecordContact(membership.Instance{Name: "n2", EligibleSince: 1 << 60}, time.Now())
		first := i.view().Self().EligibleSince
		c := heartbeatClock{sentAt: time.Now(), interval: 2 * heartbeatInterval}
		advance := func(duration time.Duration) {
			time.Sleep(duration)
			boot += duration
			i.members.Commands().RecordContact(membership.Instance{Name: "n2", EligibleSince: 1 << 60}, time.Now())
			i.checkEligibility(&c, time.Now(), true)
		}
		advance(2 * heartbeatInterval)
		advance(heartbeatInterval)
		is.Equal(i.view().Self().EligibleSince, first)
		boot += 5 * time.Second // suspended
		advance(heartbeatInterval)
		is.True(i.view().Self().EligibleSince > first)
	})
}
