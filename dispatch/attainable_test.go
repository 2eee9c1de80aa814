package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// Guards against a slow server that gets a step which it can't finish in time
// while another of the workspace waits that it can: the time would be wasted.
// The class, the workspace and the servers to avoid still count.
func TestAttainable(t *testing.T) {
	inBubble(t, "attainable", func(out *strings.Builder) {
		cases := []struct {
			name  string
			steps []request.Step
		}{
			{"the first can be met", []request.Step{{RequestID: "short", Deadline: in(450)}, {RequestID: "long", Deadline: in(2000)}}},
			{"only a later one can be met", []request.Step{{RequestID: "short", Deadline: in(300)}, {RequestID: "middle", Deadline: in(900)}, {RequestID: "long", Deadline: in(2000)}}},
			{"none can be met", []request.Step{{RequestID: "short", Deadline: in(300)}, {RequestID: "middle", Deadline: in(350)}}},
			{"one of a worse class can be met", []request.Step{{RequestID: "short", Deadline: in(300)}, {RequestID: "batch", Rank: 1, Deadline: in(2000)}}},
			{"one that avoids the server can be met", []request.Step{{RequestID: "short", Deadline: in(300)}, {RequestID: "long", Deadline: in(2000), Avoid: []string{"s0"}}}},
		}
		for _, c := range cases {
			s := newSite(1, 1)
			for range 2 {
				s.servers.Commands().Reserve("p", 0, nil, s.rights, time.Now())
				s.servers.Commands().Release("s0", backend.Observation{Sent: time.Now(), Responded: 400 * time.Millisecond}, time.Now())
			}
			// The capacity knows a faster server, so that nothing is refused.
			s.table.Capacity = func(string, int, backend.Rights) backend.Capacity { return backend.Capacity{Slots: 1} }
			for _, step := range c.steps {
				step.Workspace = "a"
				s.add(step)
			}
			fmt.Fprintf(out, "%s:", c.name)
			for range c.steps {
				a, _ := s.take()
				fmt.Fprintf(out, " %s", a.Step.RequestID)
				s.run(a)
			}
			s.running.Wait()
			fmt.Fprintf(out, "; left %q\n", s.left())
		}
	})
}

func in(ms int) time.Time { return time.Now().Add(time.Duration(ms) * time.Millisecond) }
