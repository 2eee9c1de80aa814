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

// pauseCases are what may happen while a worker is paused between the choice of
// a server and the sending.
var pauseCases = []struct {
	name   string
	happen func(s *site)
}{
	{"nothing", func(*site) {}},
	{"the right ends", func(s *site) { s.rights = backend.Rights{} }},
	{"the lease ends, the server is cold", func(s *site) { s.rights.Cold = false }},
	{"the deadline passes", func(*site) { time.Sleep(time.Second) }},
	{"the deadline has almost passed", func(*site) { time.Sleep(time.Second - 1) }},
	{"the server begins to leave", func(s *site) { s.servers.Commands().SetListedLeaving("s0", true) }},
	{"the server is deleted", func(s *site) { s.servers.Commands().Sync(nil, time.Now()) }},
	{"the server is forgotten", func(s *site) {
		s.table.Current = func(string) (backend.Server, bool) { return backend.Server{}, false }
	}},
	{"the server turns cold under its load", func(s *site) {
		// The entry makes the cold limit 1, while two steps are reserved.
		s.servers.Commands().Sync([]backend.Spec{{Name: "s0", Pool: "p", LowestRank: 9, MaxInFlight: 2, ColdInFlight: 1}}, time.Now())
	}},
}

// Guards against a worker that was paused after the choice and sends although
// the right has ended, the deadline has passed, or the server may get no more.
func TestPausedWorker(t *testing.T) {
	inBubble(t, "paused", func(out *strings.Builder) {
		for _, c := range pauseCases {
			fmt.Fprintf(out, "%s:\n  %s\n", c.name, pausedOutcome(c.happen, false))
		}
	})
}

// pausedOutcome tells what becomes of a step whose worker is paused while
// something happens. The broken variant keeps to what was so at the choice.
func pausedOutcome(happen func(*site), broken bool) string {
	s := newSite(1, 2)
	s.add(stepWithin("other", 0, time.Hour))
	s.add(stepWithin("r", 1, time.Second))
	other, _ := s.take()
	a, _ := s.take()
	rights := s.rights
	happen(s)
	if broken {
		s.table.Rights = func(string, time.Time) backend.Rights { return rights }
		s.table.Current = func(string) (backend.Server, bool) { return a.Server, true }
	}
	s.run(a)
	s.run(other)
	s.running.Wait()
	return fmt.Sprintf("started %d times; %s; left %q", s.started["r"], s.outcome("r"), s.left())
}

// Guards against a check of paused workers that can't fail: one that looks only
// at what was so at the choice must send.
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

// Guards against refusals that are late, untrue or marked as sent, and against
// steps that are refused although they can be served.
func TestRefusals(t *testing.T) {
	inBubble(t, "refusals", func(out *strings.Builder) {
		cases := []struct {
			name string
			play func(s *site)
		}{
			{"served at once", func(s *site) { s.add(stepWithin("r", 0, time.Second)) }},
			{"queue full", func(s *site) {
				s.table.MaxQueued = func(string) int { return 2 }
				s.add(stepWithin("r1", 1, time.Second))
				s.add(stepWithin("r2", 1, time.Second))
				s.add(stepWithin("r", 0, time.Second))
			}},
			{"no server", func(s *site) {
				s.servers.Commands().SetListedLeaving("s0", true)
				s.servers.Commands().SetListedLeaving("s1", true)
				s.add(stepWithin("r", 0, time.Second))
			}},
			{"no server for the class", func(s *site) { s.add(stepWithin("r", 10, time.Second)) }},
			{"no right", func(s *site) {
				s.rights = backend.Rights{}
				s.add(stepWithin("r", 0, time.Second))
			}},
			{"closed", func(s *site) {
				s.commands.Close()
				s.add(stepWithin("r", 0, time.Second))
			}},
			{"less time than the fastest server needs", func(s *site) {
				s.measured(100 * time.Millisecond)
				s.add(stepWithin("r", 0, 99*time.Millisecond))
			}},
			{"just enough time", func(s *site) {
				s.measured(100 * time.Millisecond)
				s.add(stepWithin("r", 0, 100*time.Millisecond))
			}},
			{"too many ahead", func(s *site) {
				s.measured(100 * time.Millisecond)
				for n := range 40 {
					s.add(stepWithin(fmt.Sprintf("ahead%d", n), 1, time.Hour))
				}
				s.add(stepWithin("r", 1, 1900*time.Millisecond))
			}},
			{"too many, but of a lower class", func(s *site) {
				s.measured(100 * time.Millisecond)
				for n := range 40 {
					s.add(stepWithin(fmt.Sprintf("behind%d", n), 2, time.Hour))
				}
				s.add(stepWithin("r", 1, 1900*time.Millisecond))
			}},
			{"swept when the deadline can't be met any more", func(s *site) {
				s.measured(100 * time.Millisecond)
				s.add(stepWithin("r", 0, 500*time.Millisecond))
				time.Sleep(400 * time.Millisecond)
				s.commands.Sweep(time.Now())
				synctest.Wait()
				fmt.Fprintf(out, "  at 400 ms: %s\n", s.outcome("r"))
				time.Sleep(time.Millisecond)
				s.commands.Sweep(time.Now())
			}},
			{"swept when the servers leave", func(s *site) {
				s.add(stepWithin("r", 0, time.Second))
				s.servers.Commands().SetListedLeaving("s0", true)
				s.servers.Commands().SetListedLeaving("s1", true)
				s.commands.Sweep(time.Now())
			}},
			{"swept when the servers of its class leave", func(s *site) {
				s.servers.Commands().Sync([]backend.Spec{
					{Name: "s0", Pool: "p", LowestRank: 0, MaxInFlight: 1, ColdInFlight: 1},
					{Name: "s1", Pool: "p", LowestRank: 1, MaxInFlight: 1, ColdInFlight: 1},
				}, time.Now())
				s.add(stepWithin("r", 1, time.Second))
				s.servers.Commands().SetListedLeaving("s1", true)
				s.commands.Sweep(time.Now())
			}},
			{"cancelled", func(s *site) {
				s.add(stepWithin("r", 0, time.Second))
				s.cancel("r")
			}},
		}
		for _, c := range cases {
			s := newSite(2, 1)
			fmt.Fprintf(out, "%s:\n", c.name)
			c.play(s)
			synctest.Wait()
			fmt.Fprintf(out, "  %s\n", s.outcome("r"))
			for _, cancel := range s.cancels {
				cancel()
			}
			s.running.Wait()
			if l := s.left(); l != "" {
				fmt.Fprintf(out, "  %s\n", l)
			}
		}
	})
}

// Guards against a step that is cancelled at its server and gives its outcome or
// its slot twice, or never.
func TestCancelAtServer(t *testing.T) {
	inBubble(t, "cancelAtServer", func(out *strings.Builder) {
		s := newSite(1, 1)
		execute := s.table.Execute
		s.table.Execute = func(ctx context.Context, a dispatch.Assignment) dispatch.Execution {
			e := execute(ctx, a)
			<-ctx.Done()
			f := request.Failure{Reason: request.ReasonCancelled, Sent: true, Server: a.Server.Name}
			e.Failure = &f
			return e
		}
		s.add(stepWithin("r", 0, time.Hour))
		a, _ := s.take()
		s.running.Go(func() { s.run(a) })
		synctest.Wait()
		fmt.Fprintf(out, "at its server: %s\n", s.outcome("r"))
		s.cancel("r")
		s.running.Wait()
		fmt.Fprintf(out, "cancelled: %s; left %q\n", s.outcome("r"), s.left())
	})
}
