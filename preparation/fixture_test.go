package preparation

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/batch"
	"lycheecrank.example/engine"
)

// fixture is a coordinator with three stage pools and one engine pool, whose calls are
// answered by a function.
type fixture struct {
	*Coordinator
	mu    sync.Mutex
	calls []string
	// held are the results at the stage servers, with the end of their lifetime.
	held       map[string]time.Time
	lastHandle int
	// respond replaces the result of a call; nil results without an error leave it
	// unchanged.
	respond func(call batch.Call, n int) ([]Result, error)
	// startedAt is when the fixture was created.
	startedAt time.Time
	// extraCallTime is by how much calls take longer than their typical time.
	extraCallTime time.Duration
}

// resultLifetime is how long the stage servers keep a result.
const resultLifetime = 4 * time.Second

var pools = []string{"encode", "retrieve", "rerank"}

func newFixture(t *testing.T, servers int) *fixture {
	r := &fixture{Coordinator: NewCoordinator(), startedAt: time.Now(), held: map[string]time.Time{}}
	r.Call, r.ReleaseResults = r.call, r.release
	r.FreeMemory = func(context.Context, string) (int64, error) { return 20 << 20, nil }
	for _, pool := range pools {
		var places []batch.Endpoint
		for n := range servers {
			places = append(places, batch.Endpoint{ID: fmt.Sprintf("%s%d", pool, n+1), Address: fmt.Sprintf("%s%d:1", pool, n+1), DataCentre: "a"})
		}
		r.Batches.Commands().SetPool(batch.Spec{
			Pool: pool, Slots: 1, MaxPieces: 8, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
			ResultMemoryBytes: 20 << 20, ResultLifetime: resultLifetime,
		}, places)
	}
	r.Engines.Commands().SetPool(engineSpec(8), engineEndpoints(1))
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return r
}

func engineSpec(slots int) engine.Spec { return engine.Spec{Pool: "models", Slots: slots} }

func engineEndpoints(engines int) []engine.Endpoint {
	var endpoints []engine.Endpoint
	for n := range engines {
		name := fmt.Sprintf("e%d", n+1)
		endpoints = append(endpoints, engine.Endpoint{ID: name, Address: name + ":1", DataCentre: "a"})
	}
	return endpoints
}

func (r *fixture) call(ctx context.Context, call batch.Call) ([]Result, error) {
	r.mu.Lock()
	n := len(r.calls)
	var names []string
	for _, p := range call.Pieces {
		names = append(names, fmt.Sprintf("%s.%d.%d%v", p.RequestID, p.Stage, p.Number, p.Inputs))
	}
	// Calls that start at the same moment arrive in any order; callLog sorts them.
	r.calls = append(r.calls, fmt.Sprintf("%5d ms %s %s", time.Since(r.startedAt).Milliseconds(), call.Server.ID, strings.Join(names, " ")))
	r.mu.Unlock()
	timer := time.NewTimer(call.TypicalTime + r.extraCallTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.respond != nil {
		if results, err := r.respond(call, n); results != nil || err != nil {
			return results, err
		}
	}
	var results []Result
	for range call.Pieces {
		r.lastHandle++
		h := fmt.Sprintf("h%d", r.lastHandle)
		r.held[h] = time.Now().Add(resultLifetime)
		results = append(results, Result{Status: Completed, Handle: h})
	}
	return results, nil
}

func (r *fixture) release(_ context.Context, _ string, handles []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		if _, ok := r.held[h]; !ok {
			return errors.New("released twice: " + h)
		}
		delete(r.held, h)
	}
	return nil
}

// callLog returns the calls that the stage servers received, sorted.
func (r *fixture) callLog() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(slices.Values(r.calls))
}

func (r *fixture) heldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, end := range r.held {
		if time.Now().Before(end) {
			n++
		}
	}
	return n
}

// chainTask returns a task with three consecutive stages.
func chainTask(id string) Task {
	return Task{
		RequestID: id, Pool: "models", Key: "k", Objective: 2 * time.Second, Deadline: 4 * time.Second,
		Stages: []Stage{
			{Pool: "encode", Pieces: 1, Bytes: 8000},
			{Pool: "retrieve", After: []int{0}, Pieces: 3, Bytes: 60_000},
			{Pool: "rerank", After: []int{1}, Pieces: 2, Bytes: 6000},
		},
	}
}

// withLargeResult adds a stage whose large result the engine fetches.
func withLargeResult(task Task) Task {
	task.Stages = append(task.Stages, Stage{Pool: "encode", Pieces: 1, Bytes: 1 << 20})
	return task
}

// withMoreTime gives a task an objective and a deadline several times as long.
func withMoreTime(task Task) Task {
	task.Objective, task.Deadline = 10*time.Second, 20*time.Second
	return task
}

// describe returns the outcome of a preparation and the calls that the stage servers
// received.
func (r *fixture) describe(p Placement, err error) string {
	var b strings.Builder
	if err != nil {
		fmt.Fprintf(&b, "  failed: %v\n", err)
	} else {
		fmt.Fprintf(&b, "  at %s with %v after %d ms\n", p.Server, p.Inputs, p.WaitedMs)
	}
	for _, c := range r.callLog() {
		fmt.Fprintf(&b, "  call %s\n", c)
	}
	for reason, n := range r.Counters.Values() {
		fmt.Fprintf(&b, "  counted %s %d\n", reason, n)
	}
	return b.String()
}
