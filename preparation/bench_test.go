package preparation

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/batch"
	"lycheecrank.example/engine"
)

// BenchmarkRequest measures the time and the allocations of the coordinator for a
// request with four stages and eighteen pieces at a large site. Calls return at once.
// There are sixteen servers in each stage pool, sixty engines and two hundred concurrent
// requests.
func BenchmarkRequest(b *testing.B) {
	coordinator := NewCoordinator()
	var last atomic.Int64
	coordinator.Call = func(_ context.Context, call batch.Call) ([]Result, error) {
		results := make([]Result, len(call.Pieces))
		for n := range results {
			results[n] = Result{Status: Completed, Handle: fmt.Sprint("10.1.0.1:8000/", last.Add(1))}
		}
		return results, nil
	}
	coordinator.ReleaseResults = func(context.Context, string, []string) error { return nil }
	coordinator.FreeMemory = func(context.Context, string) (int64, error) { return 1 << 40, nil }
	for pool, size := range map[string]int{"notify": 10, "intake": 30, "portal": 42} {
		var places []batch.Endpoint
		for n := range 16 {
			id := fmt.Sprint(pool, n)
			places = append(places, batch.Endpoint{ID: id, Address: id + ":1", DataCentre: fmt.Sprint("dc", n%4)})
		}
		coordinator.Batches.Commands().SetPool(batch.Spec{
			Pool: pool, Slots: 1, MaxPieces: size, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
			ResultMemoryBytes: 1 << 40, ResultLifetime: 4 * time.Second,
		}, places)
	}
	var engines []engine.Endpoint
	for n := range 60 {
		id := fmt.Sprint("e", n)
		engines = append(engines, engine.Endpoint{ID: id, Address: id + ":1", DataCentre: fmt.Sprint("dc", n%4)})
	}
	coordinator.Engines.Commands().SetPool(engine.Spec{Pool: "models", Slots: 64, MemoryTokens: 367_166}, engines)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return coordinator.Run(ctx) })
	var requests errgroup.Group
	requests.SetLimit(200)
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		id := fmt.Sprint("r", number)
		task := Task{
			RequestID: id, Try: 1, Pool: "models", Key: "k", Objective: 20 * time.Second, Deadline: 40 * time.Second,
			Prompt: engine.Prompt{InputTokens: 543, MaxOutputTokens: 280, Parts: []engine.Part{{ID: fmt.Sprint("s", number%40), Tokens: 103}, {ID: fmt.Sprint("o", number%900), Tokens: 68}}},
			Stages: []Stage{
				{Pool: "notify", Pieces: 1, Bytes: 1_500_000},
				{Pool: "notify", Pieces: 1, Bytes: 8000},
				{Pool: "intake", After: []int{1}, Pieces: 6, Bytes: 60_000},
				{Pool: "portal", After: []int{2}, Pieces: 10, Bytes: 6000},
			},
		}
		requests.Go(func() error {
			p, err := coordinator.Prepare(ctx, task)
			if err != nil {
				return err
			}
			coordinator.RecordFirstEvent("models", p.Server, id, 1, 100*time.Millisecond)
			coordinator.RecordEnd("models", p.Server, id, RunEnded)
			return nil
		})
	}
	if err := requests.Wait(); err != nil {
		b.Fatal(err)
	}
	cancel()
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}
