package preparation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Load pattern: a fleet with more stage servers than the coordinator of a small site
// has calls in progress. Guards against a coordinator that leaves idle servers without
// calls while pieces wait for them.
func TestAllServersOfLargeFleetGetCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const servers = 600
		r := newFixture(t, servers)
		r.Engines.Commands().SetPool(engineSpec(servers), engineEndpoints(1))
		var group errgroup.Group
		for n := range servers {
			group.Go(func() error {
				_, err := r.Prepare(t.Context(), Task{
					RequestID: fmt.Sprintf("r%d", n), Pool: "models", Objective: 2 * time.Second, Deadline: 4 * time.Second,
					Stages: []Stage{{Pool: "encode", Pieces: 8, Bytes: 8000}},
				})
				return err
			})
		}
		is.NoErr(group.Wait())
		is.Equal(time.Since(r.startedAt), 280*time.Millisecond) // the time of one full call
		is.Equal(len(r.callLog()), servers)
	})
}
