package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"lycheecrank.example/speed"
)

// simulatedEngine prefills the prompts of its requests in steps of a millisecond, one
// after the other or all at a time, and then generates for a second and a half.
type simulatedEngine struct {
	queue []simulatedPrefill
	ends  []simulatedEnd
}

type simulatedPrefill struct {
	request string
	left    float64
	sentAt  time.Time
}

type simulatedEnd struct {
	request string
	at      time.Time
}

// step advances the engine by a millisecond and returns the requests with a finished
// prefill.
func (e *simulatedEngine) step(speed float64, isShared bool) []simulatedPrefill {
	if len(e.queue) == 0 {
		return nil
	}
	var finished, rest []simulatedPrefill
	// Running requests take a share of each step.
	speed /= 1 + 0.01*float64(len(e.ends))
	for i, p := range e.queue {
		switch {
		case isShared:
			p.left -= speed / float64(len(e.queue))
		case i == 0:
			p.left -= speed
		}
		if p.left <= 0 {
			finished = append(finished, p)
			continue
		}
		rest = append(rest, p)
	}
	e.queue = rest
	return finished
}

// simulation sends requests to simulated engines for some seconds.
type simulation struct {
	seed      uint64
	perSecond float64
	isShared  bool
	// speed returns the real speed of an engine in tokens per millisecond.
	speed func(engine int, second float64) float64
	// slowness, if set, is the factor by which an engine is slower for a time, and reports
	// with its answers if isReported is set.
	slowness   func(engine int, second float64) float64
	isReported bool
	// onFirstEvent, if set, is called with the time to each first event.
	onFirstEvent func(engine int, second float64, took time.Duration)
}

func (s simulation) slownessOf(engine int, second float64) float64 {
	if s.slowness == nil {
		return 1
	}
	return s.slowness(engine, second)
}

// run returns the estimates of the engines and the number of their requests in the last
// half of the time.
func (s simulation) run(engines, seconds int) (estimates []float64, counts []int) {
	random := rand.New(rand.NewPCG(s.seed, 1))
	table := NewTable()
	c := table.Commands()
	ids := endpoints(engines)
	c.SetPool(Spec{Pool: "models", Slots: 64, MemoryTokens: 400_000}, ids)
	simulated, counts := make([]simulatedEngine, engines), make([]int, engines)
	start := time.Unix(1000, 0)
	now := start
	for ms := range seconds * 1000 {
		now = start.Add(time.Duration(ms) * time.Millisecond)
		if random.Float64() < s.perSecond/1000 {
			request := fmt.Sprint("r", ms)
			p := prompt(2500+random.Int64N(6000), request)
			choice, _ := c.Reserve("models", request, p, Requirements{ColdShare: 1}, now)
			n := 0
			_, _ = fmt.Sscanf(choice.ID, "e%d", &n)
			simulated[n-1].queue = append(simulated[n-1].queue, simulatedPrefill{request: request, left: float64(p.InputTokens), sentAt: now})
			if 2*ms >= seconds*1000 {
				counts[n-1]++
			}
		}
		for i := range simulated {
			e, id := &simulated[i], ids[i].ID
			second := float64(ms) / 1000
			slowness := s.slownessOf(i, second)
			for _, f := range e.step(s.speed(i, second)/slowness, s.isShared) {
				delay := minFirstEventTime + time.Duration(random.IntN(15))*time.Millisecond
				if random.IntN(20) == 0 {
					delay += 400 * time.Millisecond
				}
				if s.isReported {
					c.RecordLoad("models", id, speed.Report{Slowness: slowness}, now)
				}
				c.RecordFirstEvent("models", id, f.request, now.Sub(f.sentAt)+delay, now)
				if s.onFirstEvent != nil {
					s.onFirstEvent(i, second, now.Sub(f.sentAt)+delay)
				}
				e.ends = append(e.ends, simulatedEnd{f.request, now.Add(1500 * time.Millisecond)})
			}
			for len(e.ends) > 0 && !now.Before(e.ends[0].at) {
				c.RecordEnd("models", id, e.ends[0].request)
				e.ends = e.ends[1:]
			}
		}
	}
	pl := table.pools["models"]
	for _, server := range pl.sortedServers() {
		estimates = append(estimates, server.speed.value(pl.speed.value(now), now))
	}
	return estimates, counts
}

// Guards against a prefill speed that isn't found from times that also include waiting,
// that doesn't follow an engine that becomes slow or recovers, and against engines that
// get no request any more after a delay that has ended.
func TestMeasuredSpeed(t *testing.T) {
	is := is.New(t)
	different := func(engine int, _ float64) float64 { return []float64{38, 46, 54, 62, 70, 50}[engine] }
	cases := []struct {
		name  string
		speed func(engine int, second float64) float64
	}{
		{"equal", func(int, float64) float64 { return 40 }},
		{"different", different},
		{"the first becomes slow after 20 s", func(engine int, second float64) float64 {
			if engine == 0 && second >= 20 {
				return 15
			}
			return different(engine, second)
		}},
		{"the first recovers after 10 s", func(engine int, second float64) float64 {
			if engine == 0 && second < 10 {
				return 12
			}
			return different(engine, second)
		}},
	}
	var b strings.Builder
	isWrong, isStarved := false, false
	for _, load := range []struct {
		perSecond float64
		isShared  bool
	}{{6, false}, {24, false}, {24, true}} {
		for _, c := range cases {
			estimates, counts := simulation{seed: 1, perSecond: load.perSecond, isShared: load.isShared, speed: c.speed}.run(6, 40)
			fmt.Fprintf(&b, "%s, %g requests per second, all prompts at a time: %v\n", c.name, load.perSecond, load.isShared)
			for i, estimate := range estimates {
				actual := c.speed(i, 40)
				fmt.Fprintf(&b, "  e%d actual %2.0f estimated %3.0f requests %3d\n", i+1, actual, estimate, counts[i])
				isStarved = isStarved || load.perSecond > 20 && counts[i] == 0
				isWrong = isWrong || counts[i] >= 20 && (estimate < 0.6*actual || estimate > 1.4*actual)
			}
		}
	}
	goldie.New(t).Assert(t, "prefill", []byte(b.String()))
	is.True(!isWrong)
	is.True(!isStarved)
}

// Guards against an engine that gets its usual share of the requests while it reports that
// it is slow, or less than that after its recovery, and against a share that changes
// because of a figure that only fluctuates.
func TestReportedSlowness(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		name     string
		slowness func(engine int, second float64) float64
	}{
		{"as usual", nil},
		{"the first is slow from 12 s to 24 s", func(engine int, second float64) float64 {
			if engine == 0 && second >= 12 && second < 24 {
				return 4
			}
			return 1
		}},
		{"the first is slow for 1 s in 3", func(engine int, second float64) float64 {
			if engine == 0 && math.Mod(second, 3) < 1 {
				return 4
			}
			return 1
		}},
		{"all fluctuate each 50 ms", func(engine int, second float64) float64 { return 0.6 + 0.8*float64((int(second*20)+engine)%2) }},
	}
	var b strings.Builder
	for _, c := range cases {
		for _, isReported := range []bool{false, true} {
			// Counts are those of the first engine in each 6 s.
			counts, times := make([]int, 6), []time.Duration{}
			simulation{
				seed: 5, perSecond: 30, speed: func(int, float64) float64 { return 50 }, slowness: c.slowness, isReported: isReported,
				onFirstEvent: func(engine int, second float64, took time.Duration) {
					times = append(times, took)
					if engine == 0 {
						counts[int(second)/6]++
					}
				},
			}.run(6, 36)
			slices.Sort(times)
			fmt.Fprintf(&b, "%s, reported %v: requests of the first engine in each 6 s %v, time to the first event median %v, p99 %v\n",
				c.name, isReported, counts, times[len(times)/2].Round(time.Millisecond), times[len(times)*99/100].Round(time.Millisecond))
			is.True(counts[5] > 15) // of 30 if all engines are alike
		}
	}
	goldie.New(t).Assert(t, "reported_slowness", []byte(b.String()))
}

// Guards against an estimate outside its bounds, also after samples that no engine gives,
// against one that stays after its measurements are outdated, and against another speed
// than the default one without measurements.
func TestSpeedBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(measuredSpeed{}.value(poolSpeed{}.value(time.Unix(1000, 0)), time.Unix(1000, 0)), defaultPrefillSpeed)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := NewTable()
		c := table.Commands()
		c.SetPool(Spec{Pool: "models", Slots: 64}, endpoints(2))
		for n := range rapid.IntRange(1, 60).Draw(t, "requests") {
			id := fmt.Sprint(n)
			choice, ok := c.Reserve("models", id, prompt(rapid.Int64Range(0, 200_000).Draw(t, "tokens"), id), Requirements{ColdShare: 1}, now)
			if !ok {
				continue
			}
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second}).Draw(t, "pause"))
			took := rapid.SampledFrom([]time.Duration{-time.Second, 0, 1, time.Millisecond, 300 * time.Millisecond, time.Hour}).Draw(t, "took")
			c.RecordFirstEvent("models", choice.ID, id, took, now)
			c.RecordEnd("models", choice.ID, id)
		}
		p := table.pools["models"]
		for _, s := range p.servers {
			if v := s.speed.value(p.speed.value(now), now); v < minPrefillSpeed-1e-9 || v > maxPrefillSpeed+1e-9 {
				t.Fatalf("speed %g", v)
			}
			later := now.Add(10 * time.Minute)
			if v := s.speed.value(p.speed.value(later), later); v < 0.99*defaultPrefillSpeed || v > 1.01*defaultPrefillSpeed {
				t.Fatalf("speed %g long after the last sample", v)
			}
			if s.heldTokens != 0 || s.pendingPrefill != 0 {
				t.Fatalf("%d tokens held and %d pending without a request", s.heldTokens, s.pendingPrefill)
			}
		}
	})
}
