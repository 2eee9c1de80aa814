package dispatch

import (
	"container/heap"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheecrank.example/request"
)

// Guards against a search of the heap that misses a step with a deadline before
// the limit, or finds one with a later deadline.
func TestDue(t *testing.T) {
	start := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		var h byDeadline
		until := start.Add(time.Duration(rapid.IntRange(0, 55).Draw(t, "until")))
		want := 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 50), 0, 40).Draw(t, "deadlines") {
			step := request.Step{Deadline: start.Add(time.Duration(n))}
			heap.Push(&h, &waitingStep{step: step})
			if step.Deadline.Before(until) {
				want++
			}
		}
		found := map[*waitingStep]bool{}
		for _, w := range h.dueBefore(0, until, nil) {
			if !w.step.Deadline.Before(until) {
				t.Fatalf("found a step with the deadline %s", w.step.Deadline)
			}
			found[w] = true
		}
		if len(found) != want {
			t.Fatalf("found %d steps, want %d", len(found), want)
		}
	})
}
