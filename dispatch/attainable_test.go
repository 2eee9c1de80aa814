package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// Guards against dispatching a step to a server that can't finish it before its
// deadline, and against skipping such a step without refusing it.
func TestAttainable(t *testing.T) {
	assertGoldenInBubble(t, "attainable", func(out *strings.Builder) {
		cases := []struct {
			name  string
			steps []request.Step
		}{
			{"all deadlines can be met", []request.Step{{RequestID: "short", Deadline: deadlineIn(400)}, {RequestID: "long", Deadline: deadlineIn(2000)}}},
			{"the first deadline can't be met", []request.Step{{RequestID: "short", Deadline: deadlineIn(399)}, {RequestID: "long", Deadline: deadlineIn(2000)}}},
			{"no deadline can be met", []request.Step{{RequestID: "short", Deadline: deadlineIn(300)}, {RequestID: "longer", Deadline: deadlineIn(350)}}},
			{"only a deadline of a worse class can be met", []request.Step{{RequestID: "short", Deadline: deadlineIn(300)}, {RequestID: "batch", Rank: 1, Deadline: deadlineIn(2000)}}},
		}
		for _, c := range cases {
			s := newFixture(1, 1)
			s.setServiceTime(400 * time.Millisecond)
			// A capacity without a known service time, as if a faster server were
			// busy: no step is refused when it is queued.
			s.table.Capacity = func(string, int, backend.Permission) backend.Capacity { return backend.Capacity{Slots: 1} }
			for _, step := range c.steps {
				step.Workspace = "a"
				s.add(step)
			}
			fmt.Fprintf(out, "%s:\n", c.name)
			if a, ok := s.tryNext(); ok {
				fmt.Fprintf(out, "  %s is sent\n", a.Step.RequestID)
				s.run(a)
			}
			for _, step := range c.steps {
				fmt.Fprintf(out, "  %s: %s\n", step.RequestID, s.outcome(step.RequestID))
				s.cancel(step.RequestID)
			}
			s.running.Wait()
			fmt.Fprintf(out, "  leftover %q\n", s.leftover())
		}
	})
}

func deadlineIn(ms int) time.Time { return time.Now().Add(time.Duration(ms) * time.Millisecond) }

// setServiceTime makes all servers measure a service time.
func (s *fixture) setServiceTime(took time.Duration) {
	for _, v := range s.servers.Queries().All() {
		s.servers.Commands().Reserve("p", 0, nil, s.permission, time.Now())
		s.servers.Commands().Release(v.Name, backend.Observation{SentAt: time.Now(), ResponseTime: took}, time.Now())
	}
}

// Guards against a pool that refuses all steps forever after it was slow once:
// refused steps yield no new measurements of the service time.
func TestSlowOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(2, 1)
		s.setServiceTime(3 * time.Second)
		s.add(stepWithin("early", 0, time.Second))
		time.Sleep(10 * time.Second)
		s.add(stepWithin("late", 0, time.Second))
		if a, ok := s.tryNext(); ok {
			s.run(a)
		}
		if o := s.outcome("early"); !strings.HasPrefix(o, "deadlineUnattainable") {
			t.Errorf("early: %s", o)
		}
		if o := s.outcome("late"); o != "succeeded" {
			t.Errorf("late: %s", o)
		}
		s.running.Wait()
	})
}

// Guards against refusing a step for the time of a slow server that is chosen to warm up,
// although another server can finish it before its deadline.
func TestOtherServerMeetsDeadline(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		s := newFixture(0, 0)
		s.permission.ProbesCold = true
		servers := s.servers.Commands()
		servers.Sync([]backend.Spec{
			{Name: "cold", Pool: "p", LowestRank: 9, MaxInFlight: 8, ColdInFlight: 1},
			{Name: "other", Pool: "p", LowestRank: 9, MaxInFlight: 1, ColdInFlight: 1},
		}, time.Now())
		for name, took := range map[string]time.Duration{"cold": 3 * time.Second, "other": 100 * time.Millisecond} {
			servers.Reserve("p", 0, []string{map[string]string{"cold": "other", "other": "cold"}[name]}, s.permission, time.Now())
			servers.Release(name, backend.Observation{SentAt: time.Now(), ResponseTime: took}, time.Now())
		}
		time.Sleep(time.Second)
		servers.ApplyReport("cold", backend.Report{MeasuredAt: time.Now()}, time.Now())
		s.add(stepWithin("r", 0, 2*time.Second))
		a, ok := s.tryNext()
		is.True(ok)
		is.Equal(a.Server.Name, "other")
		s.run(a)
		is.Equal(s.outcome("r"), "succeeded")
		s.running.Wait()
		is.Equal(s.leftover(), "")
	})
}
