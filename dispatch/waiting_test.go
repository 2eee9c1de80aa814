package dispatch

import (
	"container/heap"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheecrank.example/request"
)

// Guards against a search of the heap that misses a step whose deadline can't be
// met, or finds one that can.
func TestDue(t *testing.T) {
	start := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		var h byDeadline
		until := start.Add(time.Duration(rapid.IntRange(0, 55).Draw(t, "until")))
		want := 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 50), 0, 40).Draw(t, "deadlines") {
			step := request.Step{Deadline: start.Add(time.Duration(n))}
			heap.Push(&h, &waiting{step: step})
			if step.Deadline.Before(until) {
				want++
			}
		}
		found := map[*waiting]bool{}
		for _, w := range h.due(0, until, nil) {
			if !w.step.Deadline.Before(until) {
				t.Fatalf("found one at %s", w.step.Deadline)
			}
			found[w] = true
		}
		if len(found) != want {
			t.Fatalf("%d instead of %d", len(found), want)
		}
	})
}
