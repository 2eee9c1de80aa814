package dispatch

import (
	"container/heap"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheecrank.example/request"
)

// Guards against a search of the heap that misses the earliest step.
func TestEarliest(t *testing.T) {
	start := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		var h byDeadline
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 50), 0, 40).Draw(t, "deadlines") {
			step := request.Step{Deadline: start.Add(time.Duration(ms))}
			if rapid.Bool().Draw(t, "avoids") {
				step.Avoid = []string{"s"}
			}
			heap.Push(&h, &waiting{step: step})
		}
		from := start.Add(time.Duration(rapid.IntRange(0, 55).Draw(t, "from")))
		var want *waiting
		for _, w := range h {
			if !w.step.Deadline.Before(from) && len(w.step.Avoid) == 0 && (want == nil || w.step.Deadline.Before(want.step.Deadline)) {
				want = w
			}
		}
		got := h.earliest(0, from, "s")
		if (got == nil) != (want == nil) || (got != nil && !got.step.Deadline.Equal(want.step.Deadline)) {
			t.Fatalf("%+v instead of %+v", got, want)
		}
	})
}
