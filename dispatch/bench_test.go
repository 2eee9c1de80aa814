package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

// benchSize holds the parameters of a benchmark.
type benchSize struct {
	waiting, pools, servers, workspaces int
}

func (s benchSize) String() string {
	return fmt.Sprintf("waiting=%d/pools=%d/servers=%d/workspaces=%d", s.waiting, s.pools, s.servers, s.workspaces)
}

// benchTable returns the commands of a table whose waiting steps and servers are
// spread evenly over its pools, and a constructor of further steps.
func benchTable(s benchSize) (Commands, func(n int) *waitingStep) {
	servers := backend.NewTable(event.Discard())
	var specs []backend.Spec
	for n := range max(s.servers, s.pools) {
		specs = append(specs, backend.Spec{
			Name: fmt.Sprintf("s%03d", n), Pool: fmt.Sprintf("p%02d", n%s.pools), LowestRank: 9, MaxInFlight: 8, ColdInFlight: 8,
		})
	}
	commands, queries := servers.Commands(), servers.Queries()
	commands.Sync(specs, time.Now())
	t := NewTable()
	t.Reserve, t.Release, t.CancelReservation, t.CurrentServer = commands.Reserve, commands.Release, commands.CancelReservation, queries.Server
	t.Permission = func(string, time.Time) backend.Permission {
		return backend.Permission{AllowCold: true, WarmLimitDivisor: 1}
	}
	t.Capacity = func(pool string, rank int, p backend.Permission) backend.Capacity {
		return queries.Capacity(pool, rank, p, time.Now())
	}
	t.MaxQueued = func(string) int { return 1 << 30 }
	t.Failures = counter.NewSet("bench.failures")
	t.Execute = func(context.Context, Assignment) Execution { return Execution{ResponseTime: 100 * time.Millisecond} }
	t.OnDecision = func(Decision) {}
	start := time.Now()
	step := func(n int) *waitingStep {
		return &waitingStep{
			ctx: context.Background(), enqueued: start, done: make(chan Outcome, 1), index: -1,
			step: request.Step{
				RequestID: "r", Pool: fmt.Sprintf("p%02d", n%s.pools), Workspace: fmt.Sprintf("w%03d", (n/s.pools)%s.workspaces),
				Rank: n % 3, Weight: 1, Deadline: start.Add(time.Hour + time.Duration(n*7919%100_000)*time.Millisecond),
			},
		}
	}
	c := t.Commands()
	for n := range s.waiting {
		if err := c.add(step(n)); err != nil {
			panic(err)
		}
	}
	return c, step
}

// BenchmarkDispatch measures queueing, assigning and finishing one step. The
// number of waiting steps stays constant.
func BenchmarkDispatch(b *testing.B) {
	base := benchSize{waiting: 1000, pools: 1, servers: 20, workspaces: 5}
	sizes := []benchSize{}
	for _, n := range []int{10, 100, 1000, 10_000} {
		s := base
		s.waiting = n
		sizes = append(sizes, s)
	}
	for _, n := range []int{10, 35} {
		s := base
		s.pools = n
		sizes = append(sizes, s)
	}
	for _, n := range []int{10, 100, 600} {
		s := base
		s.servers = n
		sizes = append(sizes, s)
	}
	for _, n := range []int{50, 230} {
		s := base
		s.workspaces = n
		sizes = append(sizes, s)
	}
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			c, step := benchTable(s)
			steps := make([]*waitingStep, b.N)
			for n := range steps {
				steps[n] = step(n)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				if err := c.add(steps[n]); err != nil {
					b.Fatal(err)
				}
				a, ok := c.Next(context.Background())
				if !ok {
					b.Fatal("no step")
				}
				c.Run(context.Background(), a)
			}
		})
	}
}

// BenchmarkSweep measures a sweep that refuses no step.
func BenchmarkSweep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			c, _ := benchTable(benchSize{waiting: n, pools: 1, servers: 20, workspaces: 5})
			b.ReportAllocs()
			for b.Loop() {
				c.Sweep(time.Now())
			}
		})
	}
}
