package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/request"
)

func stepWithin(id string, rank int, d time.Duration) request.Step {
	return request.Step{RequestID: id, Workspace: "a", Rank: rank, Weight: 1, Deadline: time.Now().Add(d)}
}

// pauseCases are changes that may happen while a worker is paused between
// selecting a server and sending the step.
var pauseCases = []struct {
	name   string
	happen func(s *fixture)
}{
	{"nothing", func(*fixture) {}},
	{"the permission expires", func(s *fixture) { s.permission = backend.Permission{} }},
	{"the permission for cold servers expires, the server is cold", func(s *fixture) { s.permission.AllowCold = false }},
	{"the deadline passes", func(*fixture) { time.Sleep(time.Second) }},
	{"the deadline has almost passed", func(*fixture) { time.Sleep(time.Second - 1) }},
	{"the server begins to leave", func(s *fixture) { s.servers.Commands().SetListedLeaving("s0", true) }},
	{"the server is deleted", func(s *fixture) { s.servers.Commands().Sync(nil, time.Now()) }},
	{"the server is no longer known", func(s *fixture) {
		s.table.CurrentServer = func(string) (backend.Server, bool) { return backend.Server{}, false }
	}},
	{"the limit of the server falls below its load", func(s *fixture) {
		// The new spec lowers the cold limit to 1, while two slots are reserved.
		s.servers.Commands().Sync([]backend.Spec{{Name: "s0", Pool: "p", LowestRank: 9, MaxInFlight: 2, ColdInFlight: 1}}, time.Now())
	}},
}

// Guards against a worker that was paused after selecting a server and sends the
// step although the permission has expired, the deadline has passed or the limit
// of the server was lowered.
func TestPausedWorker(t *testing.T) {
	assertGoldenInBubble(t, "paused", func(out *strings.Builder) {
		for _, c := range pauseCases {
			fmt.Fprintf(out, "%s:\n  %s\n", c.name, pausedOutcome(c.happen, false))
		}
	})
}

// pausedOutcome describes the outcome of a step whose worker is paused while a
// change happens. The broken variant uses the permission and the server from the
// time of the selection.
func pausedOutcome(happen func(*fixture), broken bool) string {
	s := newFixture(1, 2)
	s.add(stepWithin("other", 0, time.Hour))
	s.add(stepWithin("r", 1, time.Second))
	other, _ := s.tryNext()
	a, _ := s.tryNext()
	permission := s.permission
	happen(s)
	if broken {
		s.table.Permission = func(string, time.Time) backend.Permission { return permission }
		s.table.CurrentServer = func(string) (backend.Server, bool) { return a.Server, true }
	}
	s.run(a)
	s.run(other)
	s.running.Wait()
	return fmt.Sprintf("started %d times; %s; leftover %q", s.started["r"], s.outcome("r"), s.leftover())
}

// The check of TestPausedWorker must detect the broken variant, which sends the step.
// Guards against a check that passes whatever the code does.
func TestPausedWorkerVariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range pauseCases {
			if c.name == "nothing" || strings.HasPrefix(c.name, "the deadline") {
				continue
			}
			if o := pausedOutcome(c.happen, true); !strings.HasPrefix(o, "started 1 times") {
				t.Errorf("%s: %s", c.name, o)
			}
		}
	})
}

// Guards against refusals that are late, have a wrong reason or are marked as
// sent, and against refusing steps that can be served.
func TestRefusals(t *testing.T) {
	assertGoldenInBubble(t, "refusals", func(out *strings.Builder) {
		cases := []struct {
			name string
			play func(s *fixture)
		}{
			{"accepted", func(s *fixture) { s.add(stepWithin("r", 0, time.Second)) }},
			{"queue full", func(s *fixture) {
				s.table.MaxQueued = func(string) int { return 2 }
				s.add(stepWithin("r1", 1, time.Second))
				s.add(stepWithin("r2", 1, time.Second))
				s.add(stepWithin("r", 0, time.Second))
			}},
			{"no server", func(s *fixture) {
				s.servers.Commands().SetListedLeaving("s0", true)
				s.servers.Commands().SetListedLeaving("s1", true)
				s.add(stepWithin("r", 0, time.Second))
			}},
			{"no server for the class", func(s *fixture) { s.add(stepWithin("r", 10, time.Second)) }},
			{"no permission", func(s *fixture) {
				s.permission = backend.Permission{}
				s.add(stepWithin("r", 0, time.Second))
			}},
			{"closed", func(s *fixture) {
				s.commands.Close()
				s.add(stepWithin("r", 0, time.Second))
			}},
			{"deadline shorter than the shortest service time", func(s *fixture) {
				s.setServiceTime(100 * time.Millisecond)
				s.add(stepWithin("r", 0, 99*time.Millisecond))
			}},
			{"deadline equal to the shortest service time", func(s *fixture) {
				s.setServiceTime(100 * time.Millisecond)
				s.add(stepWithin("r", 0, 100*time.Millisecond))
			}},
			{"expected queue wait too long", func(s *fixture) {
				s.setServiceTime(100 * time.Millisecond)
				for n := range 40 {
					s.add(stepWithin(fmt.Sprintf("ahead%d", n), 1, time.Hour))
				}
				s.add(stepWithin("r", 1, 1900*time.Millisecond))
			}},
			{"as many steps queued, but of a lower class", func(s *fixture) {
				s.setServiceTime(100 * time.Millisecond)
				for n := range 40 {
					s.add(stepWithin(fmt.Sprintf("behind%d", n), 2, time.Hour))
				}
				s.add(stepWithin("r", 1, 1900*time.Millisecond))
			}},
			{"swept when the deadline can no longer be met", func(s *fixture) {
				s.setServiceTime(100 * time.Millisecond)
				s.add(stepWithin("r", 0, 500*time.Millisecond))
				time.Sleep(400 * time.Millisecond)
				s.commands.Sweep(time.Now())
				synctest.Wait()
				fmt.Fprintf(out, "  at 400 ms: %s\n", s.outcome("r"))
				time.Sleep(time.Millisecond)
				s.commands.Sweep(time.Now())
			}},
			{"swept when the servers leave", func(s *fixture) {
				s.add(stepWithin("r", 0, time.Second))
				s.servers.Commands().SetListedLeaving("s0", true)
				s.servers.Commands().SetListedLeaving("s1", true)
				s.commands.Sweep(time.Now())
			}},
			{"swept when the servers of its class leave", func(s *fixture) {
				s.servers.Commands().Sync([]backend.Spec{
					{Name: "s0", Pool: "p", LowestRank: 0, MaxInFlight: 1, ColdInFlight: 1},
					{Name: "s1", Pool: "p", LowestRank: 1, MaxInFlight: 1, ColdInFlight: 1},
				}, time.Now())
				s.add(stepWithin("r", 1, time.Second))
				s.servers.Commands().SetListedLeaving("s1", true)
				s.commands.Sweep(time.Now())
			}},
			{"cancelled", func(s *fixture) {
				s.add(stepWithin("r", 0, time.Second))
				s.cancel("r")
			}},
		}
		for _, c := range cases {
			s := newFixture(2, 1)
			fmt.Fprintf(out, "%s:\n", c.name)
			c.play(s)
			synctest.Wait()
			fmt.Fprintf(out, "  %s\n", s.outcome("r"))
			for _, cancel := range s.cancels {
				cancel()
			}
			s.running.Wait()
			if l := s.leftover(); l != "" {
				fmt.Fprintf(out, "  %s\n", l)
			}
		}
	})
}

// Guards against a step that is cancelled while it runs on its server and returns
// its outcome or releases its slot twice or never.
func TestCancelAtServer(t *testing.T) {
	assertGoldenInBubble(t, "cancelAtServer", func(out *strings.Builder) {
		s := newFixture(1, 1)
		execute := s.table.Execute
		s.table.Execute = func(ctx context.Context, a dispatch.Assignment) dispatch.Execution {
			e := execute(ctx, a)
			<-ctx.Done()
			f := request.Failure{Reason: request.ReasonCancelled, Sent: true, Server: a.Server.Name}
			e.Failure = &f
			return e
		}
		s.add(stepWithin("r", 0, time.Hour))
		a, _ := s.tryNext()
		s.running.Go(func() { s.run(a) })
		synctest.Wait()
		fmt.Fprintf(out, "running: %s\n", s.outcome("r"))
		s.cancel("r")
		s.running.Wait()
		fmt.Fprintf(out, "cancelled: %s; leftover %q\n", s.outcome("r"), s.leftover())
	})
}
