package engine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures the cost of a request for the coordinator of a large site:
// the choice among 60 engines with 10 requests each on average, the first event and the
// end.
func BenchmarkRequest(b *testing.B) {
	t := NewTable()
	c := t.Commands()
	var endpoints []Endpoint
	for n := range 60 {
		id := fmt.Sprintf("e%02d", n)
		endpoints = append(endpoints, Endpoint{ID: id, Address: id + ":1", DataCentre: fmt.Sprint("dc", n%4)})
	}
	c.SetPool(Spec{Pool: "models", Slots: 64, MemoryTokens: 367_166}, endpoints)
	const running = 600
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
