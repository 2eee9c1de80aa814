package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func endpoints(n int) []Endpoint {
	var ps []Endpoint
	for i := range n {
		ps = append(ps, Endpoint{ID: fmt.Sprintf("e%d", i+1), Address: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: string(rune('a' + i%2))})
	}
	return ps
}

func prompt(input int64, parts ...string) Prompt {
	p := Prompt{InputTokens: input, MaxOutputTokens: 50}
	for _, id := range parts {
		p.Parts = append(p.Parts, Part{ID: id, Tokens: input / int64(len(parts))})
	}
	return p
}

// Guards against prompts that are prefilled elsewhere although an engine has them cached,
// engines that are chosen although they failed, are full or are excluded, and a cache
// that is still counted after a restart.
func TestReserve(t *testing.T) {
	at := time.Unix(1000, 0)
	spec := Spec{Pool: "models", Slots: 2, MemoryTokens: 100_000, ColdRequestsPerSecond: 4}
	needs := Requirements{ColdShare: 1}
	var b strings.Builder
	table := NewTable()
	c := table.Commands()
	c.SetPool(spec, endpoints(3))
	reserve := func(title, request string, p Prompt, n Requirements, now time.Time) string {
		e, ok := c.Reserve("models", request, p, n, now)
		fmt.Fprintf(&b, "%-48s %s %v\n", title, e.ID, ok)
		return e.ID
	}
	reserve("first request", "r1", prompt(8000, "x", "y"), needs, at)
	reserve("the same first part during its prefill", "r11", prompt(8000, "x", "w"), needs, at)
	c.RecordFirstEvent("models", "e1", "r1", 200*time.Millisecond, at)
	reserve("a prompt with a cached first part", "r2", prompt(8000, "x", "z"), needs, at)
	c.RecordFirstEvent("models", "e1", "r2", 200*time.Millisecond, at)
	reserve("the engine is full", "r3", prompt(8000, "x", "y"), needs, at)
	c.RecordEnd("models", "e1", "r1")
	c.RecordEnd("models", "e1", "r2")
	reserve("the engine is free again", "r4", prompt(8000, "x", "y"), needs, at)
	c.RecordFailure("models", "e1", "r4", at)
	reserve("the engine failed", "r5", prompt(8000, "x", "y"), needs, at)
	c.RecordEnd("models", "e2", "r5")
	c.RecordEnd("models", "e2", "r3")
	reserve("excluded by the request", "r6", prompt(8000, "x", "y"), Requirements{ColdShare: 1, AvoidEngines: []string{"e2"}}, at.Add(minBlock))
	later := at.Add(minBlock + rateWindow)
	restarted := endpoints(3)
	restarted[0].StartedUnixMilli = 9
	c.SetPool(spec, restarted)
	reserve("the first engine has restarted", "r7", prompt(8000, "x", "y"), needs, later)
	reserve("results of a megabyte in data centre a", "r8", prompt(100, "q"), Requirements{ColdShare: 1, InputBytes: map[string]int64{"a": 1 << 20}}, later)
	reserve("a small share of the cold rate limit", "r9", prompt(8000, "x", "y"), Requirements{ColdShare: 0.01}, later)
	c.SetPool(spec, nil)
	reserve("the pool has no engine", "r10", prompt(100, "q"), needs, later)
	goldie.New(t).Assert(t, "choice", []byte(b.String()))
}

// Guards against more requests in a second than an engine in cold start sustains, in
// total from two coordinators that each use their share.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 11.0
		now := time.Unix(1000, 0)
		spec := Spec{Pool: "models", Slots: 64, ColdRequestsPerSecond: limit}
		tables := []*Table{NewTable(), NewTable()}
		for _, table := range tables {
			table.Commands().SetPool(spec, endpoints(1))
		}
		var sent []time.Time
		for n := range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 40 * time.Millisecond, 600 * time.Millisecond}).Draw(t, "pause"))
			table := tables[rapid.IntRange(0, 1).Draw(t, "coordinator")]
			id := fmt.Sprint(n)
			if _, ok := table.Commands().Reserve("models", id, prompt(10, "x"), Requirements{ColdShare: 0.75}, now); !ok {
				continue
			}
			table.Commands().RecordEnd("models", "e1", id)
			sent = append(sent, now)
		}
		for i, at := range sent {
			inSecond := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					inSecond++
				}
			}
			// Two coordinators with a share of 0.75 each may send 1.5 times the rate
			// together. The check allows 5 more requests, of which rounding up the
			// limit needs at most one per coordinator.
			if float64(inSecond) > 1.5*limit+5 {
				t.Fatalf("%d requests within a second to a cold engine", inSecond)
			}
		}
	})
}

// Guards against load that is still counted after requests have started or ended.
func TestLoads(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	table := NewTable()
	c, q := table.Commands(), table.Queries()
	c.SetPool(Spec{Pool: "models", Slots: 9}, endpoints(1))
	c.Reserve("models", "r1", prompt(4000, "x"), Requirements{ColdShare: 1}, at)
	c.Reserve("models", "r2", prompt(4000, "y"), Requirements{ColdShare: 1}, at)
	is.Equal(q.Loads("models", at)[0].PendingPrefill, int64(8000))
	c.RecordFirstEvent("models", "e1", "r1", time.Second, at)
	is.Equal(q.Loads("models", at)[0].PendingPrefill, int64(4000))
	is.Equal(q.Loads("models", at)[0].RunningRequests, 2)
	c.RecordEnd("models", "e1", "r1")
	c.RecordFailure("models", "e1", "r2", at)
	is.Equal(q.Loads("models", at)[0].RunningRequests, 0)
	c.Restore([]PlacedRequest{{Pool: "models", EngineID: "e1", RequestID: "r3", Prompt: prompt(4000, "y"), IsRunning: true}, {Pool: "models", EngineID: "gone"}}, at)
	is.Equal(q.Loads("models", at)[0].RunningRequests, 1)
}

// Guards against prompts that are prefilled again although an engine of another cell has
// read them, and against transfers of prompts that were read too long ago or that an
// engine of this cell has as well.
func TestRemoteReads(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	table := NewTable()
	c := table.Commands()
	c.SetPool(Spec{Pool: "models", Slots: 8, MemoryTokens: 100_000}, endpoints(2))
	source := func(request string, p Prompt, now time.Time) string {
		reserved, ok := c.Reserve("models", request, p, Requirements{ColdShare: 1}, now)
		is.True(ok)
		c.RecordEnd("models", reserved.ID, request)
		return reserved.PrefixSource
	}
	p := prompt(8000, "x", "y")
	is.Equal(source("r1", prompt(8000, "v", "w"), at), "")
	c.AddRemoteReads([]RemoteRead{{Pool: "models", Address: "10.0.1.1:1", Prompt: p}, {Pool: "unknown", Address: "10.0.1.2:1", Prompt: p}}, at)
	c.AddRemoteReads([]RemoteRead{{Pool: "models", Address: "10.0.1.1:1", Prompt: prompt(8000, "m", "n")}}, at)
	is.Equal(source("r2", prompt(8000, "n", "m"), at), "") // the order of the parts counts
	is.Equal(source("r3", p, at), "10.0.1.1:1")
	is.Equal(source("r4", p, at), "") // an engine of this cell has it now
	q := prompt(8000, "x2", "y2")
	c.AddRemoteReads([]RemoteRead{{Pool: "models", Address: "10.0.1.1:1", Prompt: q}}, at)
	is.Equal(source("r5", q, at.Add(transferLifetime)), "")
	c.AddRemoteReads([]RemoteRead{{Pool: "models", Address: "10.0.1.1:1", Prompt: p}}, at.Add(transferLifetime))
	is.Equal(len(table.pools["models"].remote.reads), 2) // old reads were removed
}

// Guards against cached parts that grow without bound, and against one in use that gives way
// to newer ones.
func TestCachedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	shared := Part{ID: "shared", Tokens: 100}
	s := newServer(Endpoint{ID: "e1"})
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		p := Prompt{Parts: []Part{shared}}
		for k := range MaxParts - 1 {
			p.Parts = append(p.Parts, Part{ID: fmt.Sprintf("%d-%d", n, k), Tokens: 1})
		}
		if n%2 == 0 {
			s = s.WithCached(p, now)
		} else {
			s = s.WithRestored([]PlacedRequest{{EngineID: "e1", RequestID: "r", Prompt: p}}, now)
		}
		is.True(len(s.cached) <= maxCachedParts)
		is.Equal(s.cachedTokens(p, now), shared.Tokens+MaxParts-1)
	}
}

// Guards against the memory of long prompts that engines of other cells have read, which
// grew with the square of their parts and without bound.
func TestRemoteReadsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var c remoteCache
	p := Prompt{Model: "m"}
	for n := range 100 {
		p.Parts = nil
		for k := range MaxParts {
			p.Parts = append(p.Parts, Part{ID: fmt.Sprintf("%d-%d", n, k), Tokens: 1})
		}
		now = now.Add(time.Millisecond)
		c.add(RemoteRead{Address: "10.0.0.1:1", Prompt: p}, now)
		is.True(len(c.reads) <= maxRemoteReads)
	}
	address, tokens := c.longest(p, now)
	is.Equal(address, "10.0.0.1:1")
	is.Equal(tokens, int64(MaxParts))
}
