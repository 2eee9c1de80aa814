package engine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures the cost of a request for the coordinator of a large site:
// the choice among engines with 10 requests each on average, the first event and the end.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{60, 140} {
		b.Run(fmt.Sprint(engines, "Engines"), func(b *testing.B) { benchmarkRequest(b, engines) })
	}
}

// BenchmarkShortage measures the cost of a check of a request that waits for memory.
func BenchmarkShortage(b *testing.B) {
	t := NewTable()
	c := t.Commands()
	c.SetPool(Spec{Pool: "models", Slots: 64, MemoryTokens: 10}, endpoints(140))
	p := Prompt{InputTokens: 9000, Parts: []Part{{ID: "x", Tokens: 9000}}}
	b.ReportAllocs()
	for b.Loop() {
		c.Reserve("models", "r", p, Requirements{ColdShare: 1}, time.Now())
	}
}

func benchmarkRequest(b *testing.B, engines int) {
	t := NewTable()
	c := t.Commands()
	var endpoints []Endpoint
	for n := range engines {
		id := fmt.Sprintf("e%03d", n)
		endpoints = append(endpoints, Endpoint{ID: id, Address: id + ":1", DataCentre: fmt.Sprint("dc", n%4)})
	}
	c.SetPool(Spec{Pool: "models", Slots: 64, MemoryTokens: 367_166}, endpoints)
	running := 10 * engines
	type placed struct{ server, request string }
	var open []placed
	number := 0
	run := func() {
		number++
		id := fmt.Sprint("r", number)
		p := Prompt{InputTokens: 9000, MaxOutputTokens: 100, Parts: []Part{
			{ID: fmt.Sprint("system", number%6), Tokens: 4000},
			{ID: fmt.Sprint("shared", number%60), Tokens: 2300},
			{ID: fmt.Sprint("own", number%2000), Tokens: 2700},
		}}
		choice, ok := c.Reserve("models", id, p, Requirements{InputBytes: map[string]int64{"dc1": 1 << 20}, ColdShare: 1}, time.Now())
		if !ok {
			b.Fatal("no engine")
		}
		open = append(open, placed{choice.ID, id})
		c.RecordFirstEvent("models", choice.ID, id, 300*time.Millisecond, time.Now())
	}
	for range running {
		run()
	}
	b.ReportAllocs()
	for b.Loop() {
		run()
		c.RecordEnd("models", open[0].server, open[0].request)
		open = open[1:]
	}
}
