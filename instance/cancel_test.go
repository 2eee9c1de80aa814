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

// cancel sends a cancellation to an instance and reports whether the request was
// found.
func (n *node) cancel(workspace, id string) bool {
	res, err := n.client.Cancel(n.site.ctx, connect.NewRequest(&callerv1.CancelRequest{Workspace: workspace, RequestId: id}))
	return err == nil && res.Msg.GetFound()
}

// Guards against a workspace that cancels the request of another one by its ID, and
// against a cancellation that doesn't reach the instance that runs the request.
func TestCancelIsBoundToWorkspace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{ServiceTime: time.Second}, "a", "b")
	s.startInstances(nil, "a1", "b1")
	a1, b1 := s.nodes["a1"], s.nodes["b1"]
	s.awaitServing(setupBound, "status", a1)
	verdicts := map[string]string{}
	var mu sync.Mutex
	var senders sync.WaitGroup
	send := func(workspace, id string) {
		senders.Go(func() {
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
	is.True(!a1.cancel("museum", "one")) // a request of another workspace isn't found
	is.True(!b1.cancel("museum", "one"))
	is.True(b1.cancel("lab", "two")) // through another instance
	senders.Wait()
	is.Equal(verdicts["lab/one"], "ran")
	is.Equal(verdicts["museum/two"], "ran")                     // it has the same request ID
	is.True(strings.Contains(verdicts["lab/two"], "cancelled")) // the request of its own workspace
}
