package drain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Guards against requests that are admitted or sent so late in a shutdown that they would
// be cut off, and against refusals of those that the instance can still answer.
func TestSchedule(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var b strings.Builder
	for _, grace := range []time.Duration{8 * time.Second, 2 * time.Second, 0} {
		s := NewSchedule(began, grace)
		fmt.Fprintf(&b, "grace %v: all until %v, answers by %v, closed by %v\n", grace, s.AdmitAllUntil.Sub(began), s.AnswerBy.Sub(began), s.CloseBy.Sub(began))
		for _, at := range []time.Duration{0, time.Second, 1500 * time.Millisecond, 2900 * time.Millisecond, 7 * time.Second, 7400 * time.Millisecond} {
			now := began.Add(at)
			fmt.Fprintf(&b, "  at %v:", at)
			for _, left := range []time.Duration{200 * time.Millisecond, 4 * time.Second, 20 * time.Second} {
				fmt.Fprintf(&b, " deadline in %v %v,", left, s.Admits(now, now.Add(left)))
			}
			fmt.Fprintf(&b, " send of 30ms %v, of 1s %v\n", s.AllowsSend(now, 30*time.Millisecond), s.AllowsSend(now, time.Second))
		}
	}
	var running Schedule
	fmt.Fprintf(&b, "not shutting down: %v, %v\n", running.Admits(began, began.Add(time.Hour)), running.AllowsSend(began, time.Hour))
	goldie.New(t).Assert(t, "schedule", []byte(b.String()))
}
