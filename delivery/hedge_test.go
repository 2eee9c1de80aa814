package delivery

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/fleet"
	"lycheecrank.example/hedge"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/route"
)

// newHedgeRouter returns a router with eight warm servers in two data centres, s1 to s4 and
// t1 to t4, and second sends for a share of the requests.
func newHedgeRouter(share float64, budget *pipeline.Budget) (*testRouter, backend.Queries) {
	r := newTestRouter()
	plain, servers := backend.NewTable(event.Discard()), fleet.NewTable()
	var specs []backend.Spec
	for _, dataCentre := range []string{"s", "t"} {
		for n := range 4 {
			id := fmt.Sprint(dataCentre, n+1)
			servers.Commands().Apply([]fleet.Change{{Server: fleet.Server{ID: id, Pool: "registry", Address: id + ":1", DataCentre: dataCentre}}})
			specs = append(specs, backend.Spec{Name: id, Pool: "registry", DataCentre: dataCentre, Address: id + ":1", LowestRank: 9, MaxInFlight: 16, ColdInFlight: 4})
		}
	}
	plain.Commands().Sync(specs, time.Now())
	for range 2 {
		for _, s := range specs {
			plain.Commands().ApplyReport(s.Name, backend.Report{MeasuredAt: time.Now()}, time.Now())
		}
		time.Sleep(2 * time.Second)
	}
	r.confirm(time.Now())
	r.Fleet, r.PlainServers, r.Budget, r.HedgeCounts = servers.Queries(), plain.Commands(), budget, &counter.Set{}
	if share > 0 {
		r.Hedges = hedge.NewTable(share)
	}
	return r, plain.Queries()
}

// delays returns the time that a server takes for a request that it gets at a time.
type delays func(random *rand.Rand, server string, second float64) time.Duration

func usual(random *rand.Rand) time.Duration {
	return time.Duration(20 * math.Exp(0.4*random.NormFloat64()) * float64(time.Millisecond))
}

// stalling is shaped like measured times: a logarithmic normal body, and 15 in 1000 that
// wait for another 100 to 500 ms.
func stalling(random *rand.Rand, _ string, _ float64) time.Duration {
	if took := usual(random); random.Float64() >= 0.015 {
		return took
	}
	return usual(random) + time.Duration(100+400*random.Float64())*time.Millisecond
}

// simulate serves 200 requests a second for 20 s and describes the response times, the
// sends for each request and the second sends.
func simulate(t *testing.T, share float64, budget *pipeline.Budget, d delays) string {
	var line string
	synctest.Test(t, func(t *testing.T) {
		const requests = 4000
		r, servers := newHedgeRouter(share, budget)
		began := time.Now()
		var sends, failed atomic.Int64
		var sentBefore int64
		times := make([]time.Duration, requests)
		var group sync.WaitGroup
		arrivals := rand.New(rand.NewPCG(6, 2))
		for n := range requests {
			if n == requests/2 {
				sentBefore = r.HedgeCounts.Values()["sent"]
			}
			time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(5*time.Millisecond)))
			r.confirm(time.Now())
			a := r.attempt("/lookup/1")
			a.ID = fmt.Sprint(n)
			var own atomic.Uint64
			a.Send = func(ctx context.Context, options ForwardOptions) (Answer, error) {
				sends.Add(1)
				random := rand.New(rand.NewPCG(uint64(n), own.Add(1)))
				timer := time.NewTimer(d(random, options.Server.ID, time.Since(began).Seconds()))
				defer timer.Stop()
				select {
				case <-timer.C:
				case <-ctx.Done():
					return Answer{}, ErrNoValidAnswer
				}
				return Answer{Status: 200, IsValid: true, Body: io.NopCloser(strings.NewReader("found")), WriteHeader: func() error { return nil }}, nil
			}
			a.Write = func([]byte) error { return nil }
			group.Go(func() {
				if r.Deliver(t.Context(), a).Failure != nil {
					failed.Add(1)
				}
				times[n] = time.Since(a.ArrivedAt)
			})
		}
		group.Wait()
		for _, s := range servers.All() {
			if s.InFlight != 0 {
				t.Errorf("%s has %d requests in flight at the end", s.Name, s.InFlight)
			}
		}
		slices.Sort(times)
		at := func(q float64) time.Duration { return times[int(q*requests)].Round(time.Millisecond) }
		counts := r.HedgeCounts.Values()
		line = fmt.Sprintf("p50 %v, p99 %v, p99.9 %v, %.4f sends a request, %d failed, %d second sends in the second half, %v", at(0.5), at(0.99), at(0.999),
			float64(sends.Load())/requests, failed.Load(), counts["sent"]-sentBefore, counts)
	})
	return line
}

// Guards against second sends that don't shorten the tail, that exceed their share, that
// are made while the whole pool is slow or against the retry budget, and against slots that
// stay reserved.
func TestHedgeTail(t *testing.T) {
	rows := []struct {
		name   string
		budget float64
		delays delays
	}{
		{"stalls", 1, stalling},
		{"Pareto, index 1.3", 1, func(random *rand.Rand, _ string, _ float64) time.Duration {
			return min(700*time.Millisecond, time.Duration(10/math.Pow(1-random.Float64(), 1/1.3)*float64(time.Millisecond)))
		}},
		{"light tail", 1, func(random *rand.Rand, _ string, _ float64) time.Duration { return usual(random) }},
		{"a data centre stands still for 0.2 s of 2 s", 1, func(random *rand.Rand, server string, second float64) time.Duration {
			if rest := 0.2 - math.Mod(second, 2); rest > 0 && server[0] == 't' {
				return usual(random) + time.Duration(rest*float64(time.Second))
			}
			return stalling(random, server, second)
		}},
		{"whole pool slow from 10 s", 1, func(random *rand.Rand, server string, second float64) time.Duration {
			if second > 10 {
				return 4 * usual(random)
			}
			return stalling(random, server, second)
		}},
		{"retry budget of 1 in 1000", 0.001, stalling},
	}
	var b strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&b, "%s\n", row.name)
		for _, share := range []float64{0, 0.02, 0.1} {
			fmt.Fprintf(&b, "  share %-4v: %s\n", share, simulate(t, share, pipeline.NewBudget(row.budget, 2), row.delays))
		}
	}
	goldie.New(t).Assert(t, "hedge_tail", []byte(b.String()))
}

// train serves requests of which some take long, so that the response times of the route
// and the state of the pool are known.
func (r *testRouter) train(t *testing.T) {
	t.Helper()
	for n := range 300 {
		r.script, r.sends = []scriptedAnswer{after(20*time.Millisecond, okAnswer("")), after(20*time.Millisecond, okAnswer(""))}, nil
		// No two long times are equal, so that no answer arrives just when it is late.
		switch long := time.Duration(n) * time.Microsecond; {
		case n%50 == 0:
			r.script[0].delay = 150*time.Millisecond + long
		case n%20 == 1:
			r.script[0].delay = 60*time.Millisecond + long
		}
		r.Deliver(t.Context(), r.attempt("/lookup/1"))
		r.confirm(time.Now())
	}
	r.sends, r.HedgeCounts = nil, &counter.Set{}
}

func after(delay time.Duration, s scriptedAnswer) scriptedAnswer {
	s.delay = delay
	return s
}

// Guards against a second send after the head of the first answer, against an attempt that
// ends with the refusal or failure of one of two sends, against answers put together from
// two sends, a wrong report of whether the request may have run, and slots or sends that
// outlast their attempt.
func TestHedgeOutcomes(t *testing.T) {
	const ms = time.Millisecond
	rows := []struct {
		name, path string
		script     []scriptedAnswer
	}{
		{"in time", "/lookup/1", []scriptedAnswer{after(20*ms, okAnswer("first")), okAnswer("never")}},
		{"second faster", "/lookup/1", []scriptedAnswer{after(300*ms, okAnswer("first")), after(20*ms, okAnswer("second"))}},
		{"first faster", "/lookup/1", []scriptedAnswer{after(90*ms, okAnswer("first")), after(200*ms, okAnswer("second"))}},
		{"first refuses", "/lookup/1", []scriptedAnswer{after(90*ms, notRunAnswer()), after(100*ms, okAnswer("second"))}},
		{"second refuses", "/lookup/1", []scriptedAnswer{after(200*ms, okAnswer("first")), after(10*ms, notRunAnswer())}},
		{"both refuse", "/lookup/1", []scriptedAnswer{after(90*ms, notRunAnswer()), after(10*ms, notRunAnswer())}},
		{"first fails, second refuses", "/lookup/1", []scriptedAnswer{after(80*ms, statusAnswer(500)), after(100*ms, notRunAnswer())}},
		{"first fails", "/lookup/1", []scriptedAnswer{after(80*ms, statusAnswer(500)), after(100*ms, okAnswer("second"))}},
		{"second fails", "/lookup/1", []scriptedAnswer{after(200*ms, okAnswer("first")), after(10*ms, statusAnswer(500))}},
		{"both fail", "/lookup/1", []scriptedAnswer{after(90*ms, statusAnswer(500)), after(100*ms, statusAnswer(502))}},
		{"first cut", "/lookup/1", []scriptedAnswer{after(90*ms, brokenAnswer("fir")), after(100*ms, okAnswer("second"))}},
		{"second cut", "/lookup/1", []scriptedAnswer{after(200*ms, okAnswer("first")), after(10*ms, brokenAnswer("sec"))}},
		{"both cut", "/lookup/1", []scriptedAnswer{after(90*ms, brokenAnswer("fir")), after(100*ms, brokenAnswer("sec"))}},
		{"second not reached", "/lookup/1", []scriptedAnswer{after(200*ms, okAnswer("first")), {err: ErrNotReached}}},
		{"first silent", "/lookup/1", []scriptedAnswer{after(time.Minute, okAnswer("first")), after(500*ms, okAnswer("second"))}},
		{"both late", "/lookup/1", []scriptedAnswer{after(time.Minute, okAnswer("first")), after(time.Minute, okAnswer("second"))}},
		{"first head arrived", "/lookup/1", []scriptedAnswer{trickling(100*ms, "fir", "st"), okAnswer("never")}},
		{"at most once", "/order/1", []scriptedAnswer{after(300*ms, okAnswer("first")), okAnswer("never")}},
	}
	var b strings.Builder
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			r, servers := newHedgeRouter(0.1, pipeline.NewBudget(1, 10))
			r.train(t)
			r.script = row.script
			a := r.attempt(row.path)
			var outstanding, open atomic.Int64
			a.Send = func(ctx context.Context, options ForwardOptions) (Answer, error) {
				outstanding.Add(1)
				open.Add(1)
				defer open.Add(-1)
				answer, err := r.send(ctx, options)
				outstanding.Add(-1)
				if ctx.Err() != nil {
					time.Sleep(time.Microsecond) // a cancelled send returns a little later
				}
				return answer, err
			}
			write := a.Write
			a.Write = func(data []byte) error {
				synctest.Wait()
				if outstanding.Load() != 0 {
					t.Errorf("%s: a send goes on while the answer is forwarded", row.name)
				}
				return write(data)
			}
			began := time.Now()
			result := r.Deliver(t.Context(), a)
			if open.Load() != 0 {
				t.Errorf("%s: a send outlasts its attempt", row.name)
			}
			outcome := "answered"
			if result.Failure != nil {
				outcome = fmt.Sprintf("%s, may have run %v", result.Failure.Reason, result.Failure.Sent)
			}
			inFlight := 0
			for _, s := range servers.All() {
				inFlight += s.InFlight
			}
			fmt.Fprintf(&b, "%s: %s after %v, body %q, %d tries, %d in flight, retries %v, second sends %v\n", row.name, outcome, time.Since(began),
				r.written.String(), result.Tries, inFlight, r.Retries.Values(), r.HedgeCounts.Values())
			for _, s := range r.sends {
				fmt.Fprintf(&b, "  sent to %s\n", s)
			}
		})
	}
	goldie.New(t).Assert(t, "hedge_outcomes", []byte(b.String()))
}

// Guards against a second send of a request that may run only once, of a stream, or beyond
// the servers that the route allows.
func TestHedgeKinds(t *testing.T) {
	rows := []struct {
		name  string
		route route.Route
		want  int
	}{
		{"idempotent", route.Route{Kind: route.Idempotent, MaxServers: 2}, 2},
		{"one server", route.Route{Kind: route.Idempotent, MaxServers: 1}, 1},
		{"at most once", route.Route{Kind: route.Once, MaxServers: 2}, 1},
		{"stream", route.Route{Kind: route.Stream, IsResumable: true, MaxServers: 2}, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, _ := newHedgeRouter(0.1, pipeline.NewBudget(1, 10))
				r.train(t)
				r.script = []scriptedAnswer{after(300*time.Millisecond, okAnswer("first")), okAnswer("second")}
				row.route.Name = "lookup"
				routed := routedAttempt{
					attempt: r.attempt("/lookup/1"), route: row.route, pool: route.Pool{Name: "registry"},
					deadline: time.Now().Add(time.Second), sends: &sync.WaitGroup{},
				}
				is.Equal(r.servePlain(t.Context(), routed).Failure, nil)
				is.Equal(len(r.sends), row.want)
			})
		})
	}
}

// Guards against sends on other goroutines and counts where second sends are off.
func TestHedgeOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newHedgeRouter(0, pipeline.NewBudget(1, 10))
		r.HedgeCounts = nil
		a := r.attempt("/lookup/1")
		a.Send = func(ctx context.Context, options ForwardOptions) (Answer, error) {
			is.True(strings.Contains(string(debug.Stack()), "TestHedgeOff"))
			return r.send(ctx, options)
		}
		for range 100 {
			a.ArrivedAt = time.Now()
			r.script, r.sends = []scriptedAnswer{{answer: Answer{Status: 200, IsValid: true}, delay: 20 * time.Millisecond}}, nil
			is.Equal(r.Deliver(t.Context(), a).Failure, nil)
			r.confirm(time.Now())
		}
	})
}
