package instance

import (
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	callerv1 "lycheecrank.example/api/caller/v1"
)

// cancel cancels a request through an instance and reports whether it was found.
func (n *node) cancel(workspace, id string) bool {
	res, err := n.client.Cancel(n.site.ctx, connect.NewRequest(&callerv1.CancelRequest{Workspace: workspace, RequestId: id}))
	return err == nil && res.Msg.GetFound()
}

// Guards against a workspace that cancels the request of another one by its
// name, and against a cancel that doesn't find the instance of the request.
func TestCancelIsBoundToWorkspace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{ServiceTime: time.Second}, "a", "b")
	s.startNodes(nil, "a1", "b1")
	a1, b1 := s.nodes["a1"], s.nodes["b1"]
	s.awaitServing(setupBound, "status", a1)
	verdicts := map[string]string{}
	var mu sync.Mutex
	var asking sync.WaitGroup
	send := func(workspace, id string) {
		asking.Go(func() {
			a := a1.send(&callerv1.RunRequest{Workspace: workspace, Target: "status", RequestId: id, TimeoutMs: 8000})
			mu.Lock()
			defer mu.Unlock()
			verdicts[workspace+"/"+id] = verdictOf(a)
		})
	}
	send("lab", "one")
	send("lab", "two")
	send("museum", "two")
	s.await(setupBound, "three requests in flight", func() bool { return a1.requestQueries.InFlight() == 3 })
	is.True(!a1.cancel("museum", "one")) // another workspace's request isn't found
	is.True(!b1.cancel("museum", "one"))
	is.True(b1.cancel("lab", "two")) // through another instance
	asking.Wait()
	is.Equal(verdicts["lab/one"], "ran")
	is.Equal(verdicts["museum/two"], "ran")                     // of the same name
	is.True(strings.Contains(verdicts["lab/two"], "cancelled")) // its own is cancelled
}
