package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/batch"
	"lycheecrank.example/cell"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
	"lycheecrank.example/preparation"
)

// objective is the objective of the requests of a divided site.
const objective = 15 * time.Second

// newDividedSite returns a site of the cells "a" and "b". Each cell has one instance and
// one worker of each pool. It calls the given functions before the instances start.
func newDividedSite(t *testing.T, encodeTime time.Duration, prepare ...func(*testSite)) *testSite {
	s := newTestSite(t)
	s.encodeTime = encodeTime
	s.workers["encode-1"].Pause, s.workers["encode-2"].Pause = encodeTime, encodeTime
	s.routes[2]["targetLatencyMs"] = objective.Milliseconds()
	s.configure()
	s.dataCentres["n2"] = "b"
	for _, pool := range []string{"registry", "models", "encode", "rerank"} {
		s.dataCentres[pool+"-2"] = "b"
		s.announce(pool+"-2", pool, "ready")
	}
	s.divide = func(current cell.Layout, _ int, pools map[string]map[string]int) cell.Layout {
		const instancesOfLargeSite = 100
		const serversPerWorker = 4
		enlarged := map[string]map[string]int{}
		for name, byDataCentre := range pools {
			enlarged[name] = map[string]int{}
			for dc, n := range byDataCentre {
				enlarged[name][dc] = serversPerWorker * n
			}
		}
		return cell.Divide(current, instancesOfLargeSite, enlarged)
	}
	for _, p := range prepare {
		p(s)
	}
	s.start("n1", "n2")
	for _, n := range s.instances {
		s.waitFor(n.Settings.Name+" sees two cells", func() bool { return len(n.division.Load().layout.Cells()) == 2 })
		s.waitFor(n.Settings.Name+" coordinates its cell", func() bool {
			return n.view().Coordinator(n.ownScope(), time.Now()).Name == n.Settings.Name
		})
	}
	return s
}

// runCounts returns how many requests each of the two engines has run.
func (s *testSite) runCounts() [2]int {
	return [2]int{len(s.workers["models-1"].Runs()), len(s.workers["models-2"].Runs())}
}

// Guards against requests that leave their cell without need, and against requests that
// fail although another cell can serve them: the data centre is evacuated, a pool of the
// cell has no server left, or the coordinator of the other cell is gone as well.
func TestCells(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newDividedSite(t, 10*time.Millisecond)
	for _, n := range s.instances {
		for range 3 {
			status, body, _ := n.send("POST", "/draft/7", "key-1")
			is.Equal(status, 200)
			is.Equal(body, wholeStream())
		}
	}
	is.Equal(s.runCounts(), [2]int{3, 3})

	s.store.PutJSON(platform.OperatorStream, platform.EvacuationPrefix+"a", map[string]any{})
	for _, n := range s.instances {
		s.waitFor("the evacuation is in force", func() bool { return n.fleet.Queries().IsEvacuated("a") })
	}
	for range 3 {
		status, _, _ := s.instances[0].send("POST", "/draft/7", "key-1")
		is.Equal(status, 200)
	}
	is.Equal(s.runCounts(), [2]int{3, 6})

	s.store.Put(platform.OperatorStream, platform.EvacuationPrefix+"a", nil)
	s.announce("rerank-1", "rerank", "draining")
	s.waitFor("the cell has no server of a stage", func() bool {
		usable := s.instances[0].division.Load().usable
		return usable["encode"]["a"] == 1 && usable["rerank"]["a"] == 0
	})
	status, _, _ := s.instances[0].send("POST", "/draft/7", "key-1")
	is.Equal(status, 200)
	is.Equal(s.runCounts(), [2]int{3, 7})

	// A request whose first try was placed by the other cell stays there: only that one
	// has its results, and the engine that may serve it.
	task := preparation.Task{
		RequestID: "r1", Try: 1, Pool: "models", Key: "k", Objective: objective, Deadline: objective,
		Stages: []preparation.Stage{{Pool: "encode", Pieces: 1, Bytes: 1}, {Pool: "rerank", After: []int{0}, Pieces: 1, Bytes: 1}},
	}
	placement, err := s.instances[0].prepare(t.Context(), task)
	is.NoErr(err)
	is.Equal(placement.Server, "models-2")
	s.restarts["rerank-1"]++
	s.announce("rerank-1", "rerank", "ready")
	s.waitFor("the cell has all servers", func() bool { return s.instances[0].division.Load().usable["rerank"]["a"] == 1 })
	task.Try, task.RequiredEngine = 2, "models-2"
	placement, err = s.instances[0].prepare(t.Context(), task)
	is.NoErr(err)
	is.Equal(placement.Server, "models-2")
	s.announce("rerank-1", "rerank", "draining")
	s.waitFor("the cell has no server of a stage again", func() bool { return s.instances[0].division.Load().usable["rerank"]["a"] == 0 })

	// Without a coordinator in the other cell, the request is refused as not run.
	s.instances[1].stop()
	<-s.instances[1].done
	status, _, header := s.instances[0].send("POST", "/draft/7", "key-1")
	is.Equal(status, 503)
	is.True(header.Get("Retry-After") != "")
	is.Equal(s.runCounts(), [2]int{3, 7})
}

// overload queues pieces of other requests at the coordinator of an instance: more than
// its stage server computes within the objective of a request, at eight a second.
func (n *testInstance) overload() {
	const queued = 400
	// The pieces are more urgent than those of new requests, but can still be on time.
	start := time.Now().Add(objective - 3*time.Second)
	pieces := make([]batch.Piece, queued)
	for k := range pieces {
		pieces[k] = batch.Piece{
			Identity: batch.Identity{RequestID: "queued", Number: k}, Pool: "encode", Key: "k", ResultBytes: 1,
			LatestStart: start, Deadline: start.Add(time.Minute),
		}
	}
	n.coordinator.Batches.Commands().Enqueue(pieces)
}

// Load pattern: a burst in one data centre, then in all. Guards against requests that
// wait in their cell while another one has idle servers, and against a refusal without
// a time to come back when all cells are overloaded.
func TestOverloadedCellDeclines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newDividedSite(t, time.Second)
	s.instances[0].overload()
	status, body, _ := s.instances[0].send("POST", "/draft/7", "key-1")
	is.Equal(status, 200)
	is.Equal(body, wholeStream())
	is.Equal(s.runCounts(), [2]int{0, 1})

	s.instances[1].overload()
	status, _, header := s.instances[0].send("POST", "/draft/7", "key-1")
	is.Equal(status, 503)
	is.True(header.Get("Retry-After") != "")
	is.Equal(s.runCounts(), [2]int{0, 1})
}

// Guards against two coordinators at a time after a change that not all instances have
// seen: an instance that isn't the coordinator names the one that is.
func TestHandOverNamesCoordinator(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1", "n2", "n3")
	name := s.instances[0].view().Coordinator(membership.Scope{}, time.Now()).Name
	var others []*testInstance
	for _, n := range s.instances {
		if n.Settings.Name != name {
			others = append(others, n)
		}
	}
	task := preparation.Task{
		RequestID: "r1", Try: 1, Pool: "models", Key: "k", Objective: 5 * time.Second, Deadline: 10 * time.Second,
		Stages: []preparation.Stage{{Pool: "encode", Pieces: 1, Bytes: 1}},
	}
	reply, err := others[0].prepareLocally(t.Context(), task)
	is.NoErr(err)
	is.True(reply.Placement.IsHandedOver)
	is.Equal(reply.Coordinator.Name, name)

	// The last call to the coordinator failed, so that another instance is asked.
	others[1].members.Commands().RecordFailure(name, time.Now())
	placement, err := others[1].prepareIn(t.Context(), cell.Whole, task, time.Now())
	is.NoErr(err)
	is.True(placement.Server != "")
	is.Equal(others[1].placements.coordinatorOf(task.RequestID).Name, name)
	is.Equal(others[0].coordinator.Queries().JobCount(), 0)
	is.True(others[1].view().IsReachable(name, time.Now()))
}
