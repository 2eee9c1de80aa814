package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

// statementPaths holds the pools whose servers say something about themselves, with the
// request that reaches them.
var statementPaths = []struct{ pool, path string }{
	{"registry", "/lookup/1"}, {"models", "/draft/1"}, {"encode", "/draft/1"},
}

// arrivals returns how many requests or calls have reached a worker.
func (s *testSite) arrivals(worker string) int {
	w := s.workers[worker]
	return len(w.Runs()) + w.Refused() + w.Calls()
}

// sendUntilReached sends requests to an instance until one reaches a worker.
func (s *testSite) sendUntilReached(n *testInstance, path, worker string) {
	before := s.arrivals(worker)
	for m := 0; s.arrivals(worker) == before && m < 200; m++ {
		n.sendPrompt("GET", path, "key-1", fmt.Sprintf("p%d:60,own-%d:40", m, m))
	}
}

// lateArrivals sets a fault of the first worker of a pool, sends requests until the worker
// has answered one, and returns how many of the next requests reach it.
func lateArrivals(t *testing.T, pool, path string, f site.Fault, modify func(*Instance)) int {
	s := newTestSite(t)
	s.modify = modify
	worker := pool + "-1"
	switch {
	case pool == "encode" || pool == "models" && !f.IsFull:
		s.workers[pool+"-2"].Pause = 100 * time.Millisecond // the first worker is preferred
	case pool == "registry" || f.IsFull:
		s.announce(pool+"-2", pool, "draining")
	}
	s.start("n1")
	s.workers[worker].SetFault(f)
	s.sendUntilReached(s.instances[0], path, worker)
	before := s.arrivals(worker)
	for m := range 8 {
		s.instances[0].sendPrompt("GET", path, "key-1", fmt.Sprintf("q%d:60,own-%d:40", m, m))
	}
	return s.arrivals(worker) - before
}

// Guards against requests for a server that has said in an answer that it is leaving,
// while its entry in the store still says that it is ready.
func TestLeavingAnswerEndsNewWork(t *testing.T) {
	t.Parallel()
	f := site.Fault{SaysLeaving: true}
	for _, p := range statementPaths {
		t.Run(p.pool, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(lateArrivals(t, p.pool, p.path, f, nil), 0)
			broken := func(i *Instance) {
				i.delivery.OnLeaving, i.stageClient.OnLeaving = func(fleet.Process) {}, func(fleet.Process) {}
			}
			is.True(lateArrivals(t, p.pool, p.path, f, broken) > 0) // the check finds the broken variant
		})
	}
}

// arrivalsAfterLateWrite removes the entry of the first worker of a pool while a request runs
// there, which the worker answers with a fault. Then the store executes an earlier write of
// the entry, and the function returns how many of the next requests reach the worker.
func arrivalsAfterLateWrite(t *testing.T, pool, path string, f site.Fault) int {
	s := newTestSite(t)
	s.encodeTime = time.Second // a call may take some times as long
	s.configure()
	id := pool + "-1"
	worker := s.workers[id]
	if pool == "registry" {
		s.announce(pool+"-2", pool, "draining")
	} else {
		s.workers[pool+"-2"].Pause = 100 * time.Millisecond // the first worker is preferred
	}
	began, removed := make(chan bool, 16), make(chan bool)
	worker.OnArrival = func() {
		began <- true
		<-removed
	}
	s.start("n1")
	n := s.instances[0]
	isListed := func() bool {
		listed, _ := n.fleet.Queries().Server(id, time.Now())
		return listed.ID != ""
	}
	worker.SetFault(f)
	var sending errgroup.Group
	sending.Go(func() error {
		s.sendUntilReached(n, path, id)
		return nil
	})
	<-began
	s.store.Put(platform.ServerStream, id, nil)
	s.waitFor("the entry is removed", func() bool { return !isListed() })
	close(removed)
	_ = sending.Wait()
	s.announce(id, pool, "ready")
	s.waitFor("the entry is listed again", isListed)
	before := s.arrivals(id)
	for m := range 8 {
		n.sendPrompt("GET", path, "key-1", fmt.Sprintf("q%d:60,own-%d:40", m, m))
	}
	return s.arrivals(id) - before
}

// atMostOncePaths holds the pools of statementPaths with requests that wait for the answer of
// a slow server, because they may run only once.
var atMostOncePaths = []struct{ pool, path string }{
	{"registry", "/order/1"}, {"models", "/chat/1"}, {"encode", "/chat/1"},
}

// Guards against requests for a server that has said that it is leaving in an answer which
// arrived after the removal of its entry, when the store executes an earlier write of the
// entry late.
func TestLeavingAnswerAfterRemoval(t *testing.T) {
	t.Parallel()
	for _, p := range atMostOncePaths {
		t.Run(p.pool, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(arrivalsAfterLateWrite(t, p.pool, p.path, site.Fault{SaysLeaving: true}), 0)
			is.True(arrivalsAfterLateWrite(t, p.pool, p.path, site.Fault{}) > 0) // the server is used without the statement
		})
	}
}

// Guards against requests for a server whose pause is forgotten, because its entry was
// removed before it asked for the pause and came back after that.
func TestPauseAfterRemoval(t *testing.T) {
	t.Parallel()
	for _, p := range atMostOncePaths {
		t.Run(p.pool, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(arrivalsAfterLateWrite(t, p.pool, p.path, site.Fault{IsFull: true, RetryAfter: 60}), 0)
		})
	}
}

// pauseBound is the number of requests that may reach a server from an instance before the
// end of the time for which it wants none.
const pauseBound = 2

// Guards against requests for a server that turned one away and named the time for which
// it wants no more.
func TestPausedServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := site.Fault{IsFull: true, RetryAfter: 60}
	for _, p := range statementPaths {
		t.Run(p.pool, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(lateArrivals(t, p.pool, p.path, f, nil) <= pauseBound)
			broken := func(i *Instance) {
				i.delivery.OnPause, i.stageClient.OnPause = func(fleet.Process, time.Duration) {}, func(fleet.Process, time.Duration) {}
			}
			is.True(lateArrivals(t, p.pool, p.path, f, broken) > pauseBound) // the check finds the broken variant
		})
	}
}

// Guards against requests that wait though all servers of their pool have said that they
// want none until after the deadline, and against a pause that outlasts the process that
// asked for it.
func TestAllServersPaused(t *testing.T) {
	t.Parallel()
	for _, p := range statementPaths[:2] {
		t.Run(p.pool, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestSite(t)
			s.start("n1")
			n := s.instances[0]
			s.setFault(p.pool, site.Fault{IsFull: true, RetryAfter: 60})
			s.waitFor("all servers are paused", func() bool {
				n.send("GET", p.path, "key-1")
				_, isPaused := n.fleet.Queries().PausedUntil(p.pool, time.Now())
				return isPaused
			})
			before := s.arrivals(p.pool+"-1") + s.arrivals(p.pool+"-2")
			sentAt := time.Now()
			status, _, header := n.send("GET", p.path, "key-1")
			is.Equal(status, 503)
			is.True(time.Since(sentAt) < time.Second) // the client would wait for 20 s
			is.True(header.Get("Retry-After") != "")
			is.Equal(s.arrivals(p.pool+"-1")+s.arrivals(p.pool+"-2"), before)

			s.setFault(p.pool, site.Fault{})
			for _, worker := range []string{p.pool + "-1", p.pool + "-2"} {
				s.restarts[worker]++
				s.announce(worker, p.pool, "ready")
			}
			s.waitFor("new processes get requests", func() bool {
				status, _, _ := n.send("GET", p.path, "key-1")
				return status == 200
			})
		})
	}
}
