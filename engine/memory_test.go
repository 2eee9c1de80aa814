package engine

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against requests at an engine that together need more than its memory, and
// against the use of the last part of its memory while another engine has capacity.
func TestMemoryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		spec := Spec{Pool: "models", Slots: rapid.IntRange(1, 12).Draw(t, "slots"), MemoryTokens: 10_000}
		table := NewTable()
		c := table.Commands()
		c.SetPool(spec, endpoints(3))
		type run struct {
			engine, request string
			tokens          int64
		}
		var running []run
		held := map[string]int64{}
		counts := map[string]int{}
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 30 * time.Millisecond}).Draw(t, "pause"))
			if len(running) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				r := running[i]
				running = slices.Delete(running, i, i+1)
				c.RecordEnd("models", r.engine, r.request)
				held[r.engine] -= r.tokens
				counts[r.engine]--
				continue
			}
			p := prompt(rapid.Int64Range(1, 9000).Draw(t, "tokens"), fmt.Sprint("x", n%4))
			p.MaxOutputTokens = rapid.Int64Range(0, 2000).Draw(t, "output")
			need := p.MaxTokens()
			hasCapacity, fits := false, false
			for _, e := range endpoints(3) {
				fits = fits || held[e.ID]+need <= spec.MemoryTokens
				hasCapacity = hasCapacity || counts[e.ID] < spec.Slots && float64(held[e.ID]+need) <= memoryShare*float64(spec.MemoryTokens)
			}
			choice, ok := c.Reserve("models", fmt.Sprint(n), p, Requirements{ColdShare: 1}, now)
			if ok != fits || !ok && !choice.LacksMemory {
				t.Fatalf("reserved %v, fits %v, lacks memory %v", ok, fits, choice.LacksMemory)
			}
			if !ok {
				continue
			}
			if used := float64(held[choice.ID] + need); hasCapacity && counts[choice.ID] < spec.Slots && used > memoryShare*float64(spec.MemoryTokens) {
				t.Fatalf("%g tokens at %s while another engine has capacity", used, choice.ID)
			}
			running = append(running, run{choice.ID, fmt.Sprint(n), need})
			held[choice.ID] += need
			counts[choice.ID]++
			if held[choice.ID] > spec.MemoryTokens {
				t.Fatalf("%d tokens at an engine", held[choice.ID])
			}
		}
	})
}

// Guards against stated token counts that pass the bound because they are negative or
// their sum overflows, and against placements of another coordinator that don't count.
func TestStatedTokens(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	table := NewTable()
	c := table.Commands()
	c.SetPool(Spec{Pool: "models", Slots: 9, MemoryTokens: 10_000}, endpoints(1))
	reserve := func(request string, input, output int64) bool {
		_, ok := c.Reserve("models", request, Prompt{InputTokens: input, MaxOutputTokens: output}, Requirements{ColdShare: 1}, at)
		return ok
	}
	is.True(!reserve("r1", math.MaxInt64, math.MaxInt64))
	is.True(!reserve("r2", math.MaxInt64, -5))
	is.True(reserve("r3", -100_000, 6000))
	is.True(!reserve("r4", 3000, 2000))
	c.Restore([]PlacedRequest{{Pool: "models", EngineID: "e1", RequestID: "r5", Prompt: prompt(3000, "x"), IsRunning: true}}, at)
	is.Equal(table.Queries().Loads("models", at)[0].HeldTokens, int64(9050))
	is.True(!reserve("r6", 500, 1000))
	c.RecordRejection("models", "e1", "r3", at)
	is.True(!reserve("r7", 500, 1000)) // the engine is blocked after the rejection
	at = at.Add(minBlock)
	is.True(reserve("r8", 500, 1000))
}

// Guards against engines that stay full because the notices of ends were lost, and against
// requests that stop counting before their end.
func TestLostEnds(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	table := NewTable()
	c := table.Commands()
	c.SetPool(Spec{Pool: "models", Slots: 9, MemoryTokens: 10_000}, endpoints(2))
	reserve := func(request string, until time.Time) bool {
		_, ok := c.Reserve("models", request, prompt(8000, request), Requirements{ColdShare: 1, Until: until}, at)
		return ok
	}
	is.True(reserve("r1", at.Add(5*time.Second)))
	is.True(reserve("r2", time.Time{}))
	at = at.Add(4900 * time.Millisecond)
	is.True(!reserve("r3", time.Time{}))
	at = at.Add(sweepInterval)
	is.True(reserve("r3", at.Add(5*time.Second)))
	is.True(!reserve("r4", time.Time{}))
	c.RecordEnd("models", "e1", "r3")
	is.True(reserve("r3", at.Add(time.Minute))) // the later end counts
	c.Restore([]PlacedRequest{{Pool: "models", EngineID: "e2", RequestID: "r5", Prompt: prompt(100, "x"), IsRunning: true, Until: at.Add(40 * time.Second)}}, at)
	at = at.Add(30 * time.Second)
	is.True(reserve("r6", at.Add(time.Second))) // r2 has no known end
	is.True(!reserve("r7", time.Time{}))
	at = at.Add(12 * time.Second)
	is.True(reserve("r8", time.Time{}))
	at = at.Add(time.Hour)
	is.True(reserve("r9", time.Time{}))
	is.True(reserve("r10", time.Time{}))
	is.Equal(len(table.pools["models"].until), 2)
}

// Guards against an engine that gets more than its memory after it was not eligible for a
// time, and against one that stays known after its last request.
func TestEligibleAgain(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	table := NewTable()
	c, q := table.Commands(), table.Queries()
	spec := Spec{Pool: "models", Slots: 9, MemoryTokens: 10_000}
	reserve := func(request string) bool {
		_, ok := c.Reserve("models", request, prompt(8000, request), Requirements{ColdShare: 1}, at)
		return ok
	}
	c.SetPool(spec, endpoints(1))
	is.True(reserve("r1"))
	c.SetPool(spec, nil)
	is.True(!reserve("r2"))
	is.Equal(len(q.Loads("models", at)), 0)
	is.Equal(len(q.Pools()), 0)
	is.True(!q.AreAllExcluded("models", Requirements{AvoidEngines: []string{"e1"}}))
	c.SetPool(spec, endpoints(1))
	is.True(!reserve("r3"))
	c.SetPool(spec, nil)
	c.RecordEnd("models", "e1", "r1")
	c.SetPool(spec, nil)
	is.Equal(len(table.pools["models"].servers), 0)
	c.SetPool(spec, endpoints(1))
	is.True(reserve("r4"))
}

// Guards against a request that gets no engine because the engines of another version, on
// trial beside free ones, had no memory a moment ago.
func TestShortageOfTrialEngines(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	table := NewTable()
	c := table.Commands()
	c.SetPool(Spec{Pool: "models", Slots: 9, MemoryTokens: 10_000}, endpoints(2))
	reserve := func(request string, allows func(string) bool) (Reservation, bool) {
		return c.Reserve("models", request, prompt(8000, request), Requirements{ColdShare: 1, Allows: allows}, at)
	}
	isTrial := func(id string) bool { return id == "e1" }
	isUsual := func(id string) bool { return id != "e1" }
	_, ok := reserve("r1", isTrial)
	is.True(ok)
	r, ok := reserve("r2", isTrial)
	is.True(!ok && r.LacksMemory)
	_, ok = reserve("r2", isUsual)
	is.True(ok)
	r, ok = reserve("r3", nil)
	is.True(!ok && r.LacksMemory)
}
