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

// rig is a coordinator with three pools of stages and one of engines, whose calls are
// answered by a function.
type rig struct {
	*Coordinator
	mu    sync.Mutex
	calls []string
	// kept are the results that makers hold.
	kept map[string]time.Time
	last int
	// answer changes the result of a call; nil leaves it as it is.
	answer func(call batch.Call, n int) ([]Result, error)
	// begun is when the rig was made.
	begun time.Time
	// slow is by how much calls take longer than usual.
	slow time.Duration
}

// resultLife is how long the makers of a rig keep a result.
const resultLife = 4 * time.Second

var pools = []string{"encode", "retrieve", "rerank"}

func newRig(t *testing.T, servers int) *rig {
	r := &rig{Coordinator: NewCoordinator(), begun: time.Now(), kept: map[string]time.Time{}}
	r.Call, r.Free = r.call, r.drop
	r.Room = func(context.Context, string) (int64, error) { return 20 << 20, nil }
	for _, pool := range pools {
		var places []batch.Place
		for n := range servers {
			places = append(places, batch.Place{ID: fmt.Sprintf("%s%d", pool, n+1), Address: fmt.Sprintf("%s%d:1", pool, n+1), DataCentre: "a"})
		}
		r.Batches.Commands().SetPool(batch.Spec{
			Pool: pool, Slots: 1, Size: 8, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
			Room: 20 << 20, Life: resultLife,
		}, places)
	}
	r.Engines.Commands().SetPool(engine.Spec{Pool: "models", Slots: 8}, []engine.Place{{ID: "e1", Address: "e1:1", DataCentre: "a"}})
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

func (r *rig) call(ctx context.Context, call batch.Call) ([]Result, error) {
	r.mu.Lock()
	n := len(r.calls)
	var names []string
	for _, p := range call.Pieces {
		names = append(names, fmt.Sprintf("%s.%d.%d%v", p.Request, p.Stage, p.Number, p.Inputs))
	}
	// Calls that begin at the same moment come in any order.
	r.calls = append(r.calls, fmt.Sprintf("%5d ms %s %s", time.Since(r.begun).Milliseconds(), call.Server.ID, strings.Join(names, " ")))
	r.mu.Unlock()
	timer := time.NewTimer(call.Usual + r.slow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer != nil {
		if results, err := r.answer(call, n); results != nil || err != nil {
			return results, err
		}
	}
	var results []Result
	for range call.Pieces {
		r.last++
		h := fmt.Sprintf("h%d", r.last)
		r.kept[h] = time.Now().Add(resultLife)
		results = append(results, Result{Verdict: Made, Handle: h})
	}
	return results, nil
}

func (r *rig) drop(_ context.Context, _ string, handles []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		if _, ok := r.kept[h]; !ok {
			return errors.New("given up twice: " + h)
		}
		delete(r.kept, h)
	}
	return nil
}

// made returns the calls that the makers got.
func (r *rig) made() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(slices.Values(r.calls))
}

func (r *rig) keptCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, end := range r.kept {
		if time.Now().Before(end) {
			n++
		}
	}
	return n
}

// chain is an order with three stages in line.
func chain(id string) Order {
	return Order{
		Request: id, Pool: "models", Key: "k", Objective: 2 * time.Second, Deadline: 4 * time.Second,
		Stages: []Stage{
			{Pool: "encode", Pieces: 1, Bytes: 8000},
			{Pool: "retrieve", After: []int{0}, Pieces: 3, Bytes: 60_000},
			{Pool: "rerank", After: []int{1}, Pieces: 2, Bytes: 6000},
		},
	}
}

// withBulky adds a stage whose large result the engine fetches.
func withBulky(o Order) Order {
	o.Stages = append(o.Stages, Stage{Pool: "encode", Pieces: 1, Bytes: 1 << 20})
	return o
}

// describe tells what came of an order and what the makers were asked.
func (r *rig) describe(p Placement, err error) string {
	var b strings.Builder
	if err != nil {
		fmt.Fprintf(&b, "  failed: %v\n", err)
	} else {
		fmt.Fprintf(&b, "  at %s with %v after %d ms\n", p.Server, p.Inputs, p.WaitedMs)
	}
	for _, c := range r.made() {
		fmt.Fprintf(&b, "  call %s\n", c)
	}
	for reason, n := range r.Counters.Values() {
		fmt.Fprintf(&b, "  counted %s %d\n", reason, n)
	}
	return b.String()
}
