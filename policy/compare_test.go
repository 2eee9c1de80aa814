// The comparison takes 10 s without the race detector and the lock checks, and
// more than 10 min with them. The tests of package dispatch run with both.

//go:build !race && !lockcheck

package policy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/pipeline"
	"lycheecrank.example/request"
)

const (
	instances = 8
	servers   = 20
	// warmUp is the time before the measured window, in which the servers become
	// warm. It ends between two sweeps.
	warmUp = 6003 * time.Millisecond
	window = 20 * time.Second
	// networkDelay is the mean delay between the entry instance and the owner, and
	// localDelay the mean delay within an instance. Both vary by step.
	networkDelay = time.Millisecond
	localDelay   = 10 * time.Microsecond
)

// experiment is one run of a policy under a load.
type experiment struct {
	policy string
	// load is relative to the capacity of all servers.
	load float64
	// coldServers is the number of cold servers that join at the start of the window.
	coldServers int
	seed        uint64
}

// capacity returns the capacity of the servers in steps per second.
func capacity(all []*simulatedServer) float64 {
	var sum float64
	for _, s := range all {
		sum += slots / s.meanServiceTime.Seconds()
	}
	return sum
}

// run runs the experiment in a synctest bubble.
func (e experiment) run(t *testing.T) *results {
	m := &results{}
	synctest.Test(t, func(*testing.T) {
		m.from = time.Now().Add(warmUp)
		m.until = m.from.Add(window)
		l := newTimeline()
		var all []*simulatedServer
		for n := range servers {
			all = append(all, newServer(n, l))
		}
		known := all[e.coldServers:]
		for _, s := range all[:e.coldServers] {
			s.coldStepsLeft = stepsUntilWarm
		}
		ctx, stop := context.WithCancel(context.Background())
		var background, requests sync.WaitGroup
		background.Go(func() { l.run(ctx) })
		dispatchers, runners := e.instances(known, l, m)
		for _, d := range dispatchers {
			d.run(ctx, &background)
			// The sweeps of a dispatcher are at multiples of an interval after its start.
			// Those of two dispatchers must not coincide.
			time.Sleep(time.Nanosecond)
		}
		background.Go(func() {
			if l.sleep(ctx, time.Until(m.from), "warm up") {
				for _, d := range dispatchers {
					d.addServers(all)
				}
			}
		})
		e.send(capacity(all), runners, m, &requests)
		requests.Wait()
		stop()
		background.Wait()
	})
	return m
}

// instances returns the dispatchers and the runners of the entry instances.
func (e experiment) instances(known []*simulatedServer, l *timeline, m *results) ([]*dispatcher, []*pipeline.Runner) {
	var dispatchers []*dispatcher
	var runners []*pipeline.Runner
	share, delay := 1, networkDelay
	if e.policy == "each alone" {
		share, delay = instances, localDelay
	}
	for range share {
		dispatchers = append(dispatchers, newDispatcher(known, share, l, m))
	}
	for n := range instances {
		d := dispatchers[n%share]
		runners = append(runners, newRunner(func(ctx context.Context, step request.Step) (request.Result, error) {
			if !l.sleep(ctx, time.Duration((0.5+fraction(step.Input))*float64(delay)), eventKey(step)) {
				return request.Result{}, request.Refuse(request.ReasonDeadlinePassed, "the deadline passed before the step reached the queue")
			}
			return d.submit(ctx, step)
		}))
	}
	return dispatchers, runners
}

// send sends requests as a Poisson process until the end of the window. The
// sequence of requests depends only on the load and the seed.
func (e experiment) send(capacity float64, runners []*pipeline.Runner, m *results, group *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(e.seed, 0))
	for n := 0; ; n++ {
		time.Sleep(time.Duration(r.ExpFloat64() / (e.load * capacity) * float64(time.Second)))
		now := time.Now()
		if now.After(m.until) {
			return
		}
		rank := weightedChoice(r, classFractions[:])
		var loads []float64
		for _, w := range workspaces {
			loads = append(loads, w.load)
		}
		q := request.Request{
			Workspace: workspaces[weightedChoice(r, loads)].name, Target: "step", Class: classes[rank], Arrival: now,
			Deadline: now.Add(time.Second + time.Duration(r.Int64N(int64(2*time.Second)))),
			Input:    []byte(fmt.Sprintf("%d-%d", e.seed, n)),
		}
		entry := runners[r.IntN(len(runners))]
		group.Go(func() {
			a := entry.Run(context.Background(), q, nil)
			m.recordRequest(rank, now, a.Outcome == request.Ran && !time.Now().After(q.Deadline))
		})
	}
}

// weightedChoice returns a random index with the given probabilities, which sum up
// to 1.
func weightedChoice(r *rand.Rand, weights []float64) int {
	x := r.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// row formats the results of an experiment as a row of the table.
func (m *results) row(e experiment) string {
	share := func(rank int) float64 { return 100 * float64(m.succeeded[rank]) / float64(m.requests[rank]) }
	part := func(d time.Duration) float64 { return 100 * d.Seconds() / (servers * slots * window.Seconds()) }
	return fmt.Sprintf("| %s | %.1f | %d | %.2f | %.2f | %.2f | %d of %d | %d | %d | %.1f | %.1f |\n", e.policy, e.load, e.coldServers,
		share(0), share(1), share(2), m.inversions, m.dispatches, m.overLimit, m.crashes, part(m.useful), part(m.wasted))
}

const header = "| policy | load | cold servers | urgent % | normal % | batch % | inversions | sent past a limit | fallen over | useful % | wasted % |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// Guards against changes that make the dispatch policy in use worse than the
// alternative or than its own recorded results.
func TestCompare(t *testing.T) {
	var all []experiment
	for _, joining := range []int{0, 4} {
		for _, load := range []float64{0.5, 0.9, 2.0} {
			for _, policy := range []string{"owner", "each alone"} {
				all = append(all, experiment{policy: policy, load: load, coldServers: joining, seed: 1})
			}
		}
	}
	rows := make([]string, len(all))
	t.Run("experiments", func(t *testing.T) {
		for i, e := range all {
			t.Run(fmt.Sprintf("%s %.1f %d", e.policy, e.load, e.coldServers), func(t *testing.T) {
				t.Parallel()
				rows[i] = e.run(t).row(e)
			})
		}
	})
	table := header + strings.Join(rows, "")
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, "compare", []byte(table))
	page, err := os.ReadFile("../docs/policy.md")
	if err != nil || !strings.Contains(string(page), table) {
		t.Errorf("docs/policy.md doesn't contain the table of testdata/compare.golden (%v)", err)
	}
}
