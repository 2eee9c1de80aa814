package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// Guards against a server that gets a step which it can't finish in time, so
// that its time is wasted, and against a step that is passed over without being
// refused.
func TestAttainable(t *testing.T) {
	inBubble(t, "attainable", func(out *strings.Builder) {
		cases := []struct {
			name  string
			steps []request.Step
		}{
			{"all can be met", []request.Step{{RequestID: "short", Deadline: in(400)}, {RequestID: "long", Deadline: in(2000)}}},
			{"the first can't", []request.Step{{RequestID: "short", Deadline: in(399)}, {RequestID: "long", Deadline: in(2000)}}},
			{"none can be met", []request.Step{{RequestID: "short", Deadline: in(300)}, {RequestID: "longer", Deadline: in(350)}}},
			{"only one of a worse class can", []request.Step{{RequestID: "short", Deadline: in(300)}, {RequestID: "batch", Rank: 1, Deadline: in(2000)}}},
		}
		for _, c := range cases {
			s := newSite(1, 1)
			s.measured(400 * time.Millisecond)
			// The capacity knows a faster server that is busy, so that nothing is
			// refused at once.
			s.table.Capacity = func(string, int, backend.Rights) backend.Capacity { return backend.Capacity{Slots: 1} }
			for _, step := range c.steps {
				step.Workspace = "a"
				s.add(step)
			}
			fmt.Fprintf(out, "%s:\n", c.name)
			if a, ok := s.take(); ok {
				fmt.Fprintf(out, "  %s is sent\n", a.Step.RequestID)
				s.run(a)
			}
			for _, step := range c.steps {
				fmt.Fprintf(out, "  %s: %s\n", step.RequestID, s.outcome(step.RequestID))
				s.cancel(step.RequestID)
			}
			s.running.Wait()
			fmt.Fprintf(out, "  left %q\n", s.left())
		}
	})
}

func in(ms int) time.Time { return time.Now().Add(time.Duration(ms) * time.Millisecond) }

// measured makes the servers known to take a time.
func (s *site) measured(took time.Duration) {
	for _, v := range s.servers.Queries().All() {
		s.servers.Commands().Reserve("p", 0, nil, s.rights, time.Now())
		s.servers.Commands().Release(v.Name, backend.Observation{Sent: time.Now(), Responded: took}, time.Now())
	}
}

// Guards against a pool that was slow once and refuses all steps for ever, since
// refused steps bring no new measurements.
func TestSlowOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(2, 1)
		s.measured(3 * time.Second)
		s.add(stepWithin("early", 0, time.Second))
		time.Sleep(10 * time.Second)
		s.add(stepWithin("late", 0, time.Second))
		if a, ok := s.take(); ok {
			s.run(a)
		}
		if o := s.outcome("early"); !strings.HasPrefix(o, "deadlineUnattainable") {
			t.Errorf("early: %s", o)
		}
		if o := s.outcome("late"); o != "ran" {
			t.Errorf("late: %s", o)
		}
		s.running.Wait()
	})
}
