package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/engine"
	"lycheecrank.example/fleet"
	"lycheecrank.example/quarantine"
)

// Guards against a check for each broken answer when an engine breaks off many, and against
// answers that count as crashes although their engine goes on or can't be reached.
func TestCrashChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		checked, recorded := map[string]int{}, map[string]int{}
		c := newCrashChecks(func(crashes []quarantine.Crash) {
			mu.Lock()
			defer mu.Unlock()
			for _, crash := range crashes {
				recorded[crash.Server]++
			}
		})
		c.HasEnded = func(ctx context.Context, address string) bool {
			mu.Lock()
			checked[address]++
			mu.Unlock()
			if address == "unreachable:1" {
				<-ctx.Done()
				return false
			}
			return address == "crashed:1"
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return c.run(ctx) })
		for n := range 20 {
			for _, id := range []string{"crashed", "sound", "unreachable"} {
				c.add(fleet.Server{ID: id, Address: id + ":1"}, fmt.Sprint(id, n), engine.Prompt{Parts: []engine.Part{{ID: "p"}, {ID: "own"}}})
			}
		}
		time.Sleep(time.Second)
		mu.Lock()
		is.Equal(checked, map[string]int{"crashed:1": 1, "sound:1": 1, "unreachable:1": 1})
		is.Equal(recorded, map[string]int{incarnation(fleet.Server{ID: "crashed"}): 20})
		mu.Unlock()
		for range 2 * maxCrashChecks {
			c.add(fleet.Server{ID: "sound", Address: "sound:1"}, "r", engine.Prompt{})
		}
		cancel()
		is.NoErr(group.Wait())
	})
}
