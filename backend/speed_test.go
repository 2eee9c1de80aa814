package backend_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/event"
	"lycheecrank.example/speed"
)

// Guards against a server that keeps its share of the steps while it reports that it is
// slow, gets none any more afterwards, or gets a different share because of a figure that
// only fluctuates, and against choices that change where servers report no slowness.
func TestReportedSlowness(t *testing.T) {
	is := is.New(t)
	const seconds = 12
	rows := []struct {
		name string
		// slowness is the slowness of the first server, the others work as usual.
		slowness func(at time.Duration) float64
	}{
		{"as usual", func(time.Duration) float64 { return 1 }},
		{"slow from 4 s to 8 s", func(at time.Duration) float64 {
			if at >= 4*time.Second && at < 8*time.Second {
				return 2.5
			}
			return 1
		}},
		{"fluctuates each 40 ms", func(at time.Duration) float64 { return 0.6 + 0.8*float64(at/(40*time.Millisecond)%2) }},
	}
	var b strings.Builder
	var slow []int
	for _, row := range rows {
		for _, isReported := range []bool{false, true} {
			counts := countSteps(seconds, isReported, row.slowness)
			fmt.Fprintf(&b, "%-24s reported %-5v steps of the first server in each second %v\n", row.name, isReported, counts)
			if row.name == "slow from 4 s to 8 s" && isReported {
				slow = counts
			}
		}
	}
	goldie.New(t).Assert(t, "reported_slowness", []byte(b.String()))
	is.True(slow[6] < slow[2]*3/4) // it gets less while it is slow
	is.True(slow[11] > slow[2]*3/4)
}

// countSteps sends a step each 2 ms to three servers, which take 30 ms times their
// slowness, and returns the number of steps of the first server in each second.
func countSteps(seconds int, isReported bool, slowness func(at time.Duration) float64) []int {
	table := backend.NewTable(event.Discard())
	c := table.Commands()
	var specs []backend.Spec
	for _, name := range []string{"s1", "s2", "s3"} {
		spec := newSpec(name)
		spec.MaxInFlight, spec.ColdInFlight = 16, 16
		specs = append(specs, spec)
	}
	c.Sync(specs, start)
	type step struct {
		server   string
		sentAt   time.Time
		took     time.Duration
		slowness float64
	}
	var running []step
	counts := make([]int, seconds)
	for ms := 0; ms < 1000*seconds; ms += 2 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		var rest []step
		for _, s := range running {
			if now.Sub(s.sentAt) < s.took {
				rest = append(rest, s)
				continue
			}
			if isReported {
				c.RecordLoad(s.server, speed.Report{Slowness: s.slowness}, now)
			}
			c.Release(s.server, backend.Observation{SentAt: s.sentAt, ResponseTime: s.took}, now)
		}
		running = rest
		server, ok := c.Reserve("p", 0, nil, backend.Permission{AllowCold: true, WarmLimitDivisor: 1}, now)
		if !ok {
			continue
		}
		figure := 1.0
		if server.Name == "s1" {
			figure = slowness(now.Sub(start))
			counts[ms/1000]++
		}
		running = append(running, step{server.Name, now, time.Duration(30 * figure * float64(time.Millisecond)), figure})
	}
	return counts
}
