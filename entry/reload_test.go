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

	"lycheecrank.example/platform"
)

// Guards against settings that change without effect, with or without a signal,
// and against broken ones that replace good ones.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		current, err := platform.Settings{Seeds: []string{"one"}, DrainGrace: time.Second}, error(nil)
		set := func(s platform.Settings, e error) {
			mu.Lock()
			defer mu.Unlock()
			current, err = s, e
		}
		i := New(current, io.Discard)
		changed := make(chan os.Signal)
		i.Changed = changed
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
		set(platform.Settings{}, errors.New("half written"))
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

// Guards against a coordinator that stays though it runs far behind, and against
// one that gives the work away for a single late beat or again and again.
func TestPace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := pace{}
	is.True(!p.isSlow(150*time.Millisecond, now))
	for range 20 {
		is.True(!p.isSlow(5*time.Millisecond, now))
	}
	slow := 0
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		if p.isSlow(200*time.Millisecond, now) {
			slow++
		}
	}
	is.Equal(slow, 2) // within ten seconds
}
