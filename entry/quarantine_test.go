package entry

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/drain"
	"lycheecrank.example/engine"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

const (
	// stableWindow is the platform's bound on the time until an instance that is in
	// contact knows what others have seen.
	stableWindow = 3 * time.Second
	// crashesBeforeBound and sendsAfterBound are the platform's limit: after that many
	// crashes and stableWindow, so many more requests may reach backend servers.
	crashesBeforeBound = 5
	sendsAfterBound    = 3
	crashPart          = "deadly"
)

// addCrashingEngines adds engines until there are six. Each engine crashes when it begins
// to answer a request with crashPart.
func (s *testSite) addCrashingEngines() {
	for n := 3; n <= 6; n++ {
		s.addWorker(fmt.Sprintf("models-%d", n), "models")
	}
	for n := 1; n <= 6; n++ {
		s.workers[fmt.Sprintf("models-%d", n)].SetFault(site.Fault{CrashPart: crashPart})
	}
}

func (s *testSite) crashes() int {
	sum := 0
	for _, w := range s.workers {
		sum += w.Crashes()
	}
	return sum
}

func crashingPrompt() string {
	return fmt.Sprintf("first:40,second:30,%s:20,own-%d:10", crashPart, attempts.Add(1))
}

func soundPrompt() string { return fmt.Sprintf("first:40,second:30,own-%d:10", attempts.Add(1)) }

// sendCrashing sends crashing requests to all instances in turn until a time, or until
// each instance has refused one without a send.
func (s *testSite) sendCrashing(until time.Time) {
	for time.Now().Before(until) {
		refused := 0
		for _, n := range s.instances {
			before := s.crashes()
			if status, _, _ := n.sendPrompt("POST", "/draft/1", "key-1", crashingPrompt()); status == 503 && s.crashes() == before {
				refused++
			}
		}
		if refused == len(s.instances) {
			return
		}
	}
}

// Guards against requests of one kind that crash one engine after the other, whatever the
// engines have sent of their answers, and against the refusal of sound requests that share the
// other parts of their prompts.
func TestCrashingPromptsAreQuarantined(t *testing.T) {
	t.Parallel()
	for name, moment := range map[string]site.CrashMoment{"after the head": site.AfterHead, "before the head": site.BeforeHead, "after the first event": site.AfterFirstEvent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testCrashingPrompts(t, moment)
		})
	}
}

func testCrashingPrompts(t *testing.T, moment site.CrashMoment) {
	is := is.New(t)
	s := newTestSite(t)
	s.addCrashingEngines()
	for _, w := range s.workers {
		w.SetFault(site.Fault{CrashPart: crashPart, CrashMoment: moment})
	}
	s.modify = func(i *Instance) { i.crashChecks.HasEnded = s.hasCrashed }
	s.start("n1", "n2", "n3")
	for _, n := range s.instances {
		status, _, _ := n.sendPrompt("POST", "/draft/1", "key-1", soundPrompt())
		is.Equal(status, 200)
	}
	for n := 0; s.crashes() < crashesBeforeBound && n < 20; n++ {
		s.instances[n%3].sendPrompt("POST", "/draft/1", "key-1", crashingPrompt())
	}
	s.sendCrashing(time.Now().Add(stableWindow))
	before := s.crashes()
	for n := range 4 * sendsAfterBound {
		s.instances[n%3].sendPrompt("POST", "/draft/1", "key-1", crashingPrompt())
	}
	is.True(s.crashes()-before <= sendsAfterBound)
	for _, n := range s.instances {
		status, body, _ := n.sendPrompt("POST", "/draft/1", "key-1", soundPrompt())
		is.Equal(status, 200)
		is.Equal(body, wholeStream())
	}
}

// downTime is how long a crashed engine counts as gone. The stand-in is back at once, while a
// real engine takes seconds to start; a busy machine may check it late.
const downTime = 10 * time.Second

// hasCrashed reports whether the worker at an address has crashed within downTime.
func (s *testSite) hasCrashed(_ context.Context, address string) bool {
	for _, w := range s.workers {
		if w.Address() == address {
			return time.Since(w.CrashedAt()) < downTime
		}
	}
	return false
}

// listsProcesses reports whether an instance lists the present process of each engine.
func (s *testSite) listsProcesses(n *testInstance) bool {
	for id, w := range s.workers {
		if listed, ok := n.fleet.Queries().Server(id, time.Now()); !ok || listed.StartedUnixMilli != s.bornAt(w) {
			return false
		}
	}
	return true
}

// stopInstance stops an instance and waits for its end.
func (s *testSite) stopInstance(n *testInstance) {
	n.stop()
	<-n.done
	n.done <- nil // for the cleanup
	s.instances = slices.DeleteFunc(s.instances, func(other *testInstance) bool { return other == n })
}

func (s *testSite) coordinator() *testInstance {
	name := s.instances[0].view().Coordinator(s.instances[0].ownScope(), time.Now()).Name
	return s.instances[slices.IndexFunc(s.instances, func(n *testInstance) bool { return n.Settings.Name == name })]
}

func (n *testInstance) isRefusing() bool {
	_, ok := n.verdict(engine.Prompt{Parts: []engine.Part{{ID: "first"}, {ID: "second"}, {ID: crashPart}, {ID: "own"}}})
	return ok
}

// Guards against crashes that are forgotten with the coordinator, and against quarantined
// prompts that are served again after all instances have stopped.
func TestQuarantineOutlastsInstances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.addCrashingEngines()
	s.start("n1", "n2", "n3")
	sendCrashing := func(count int) {
		for range count {
			// The coordinator may choose the same engine again, whose next crash counts
			// only if the instance knows that it is another process.
			for _, n := range s.instances {
				s.waitFor(n.Settings.Name+" lists the restarted engine", func() bool { return s.listsProcesses(n) })
			}
			before := s.crashes()
			s.waitFor("an engine crashes", func() bool {
				s.instances[0].sendPrompt("POST", "/chat/1", "key-1", crashingPrompt())
				return s.crashes() > before
			})
			is.Equal(s.crashes(), before+1)
			pause(t.Context(), 250*time.Millisecond) // crashes at the same moment count as one
		}
	}
	sendCrashing(2)
	s.stopInstance(s.coordinator())
	sendCrashing(1)
	s.waitFor("the next coordinator quarantines the prompts, and all know it", func() bool {
		return !slices.ContainsFunc(s.instances, func(n *testInstance) bool { return !n.isRefusing() })
	})
	is.Equal(s.crashes(), 3)
	s.waitFor("the entry is in the store", func() bool {
		_, ok := s.store.Newest(platform.QuarantineStream, "deadly,first,second")
		return ok
	})
	for len(s.instances) > 0 {
		s.stopInstance(s.instances[0])
	}
	s.start("n4")
	s.waitFor("a new instance reads the entry", s.instances[0].isRefusing)
	status, _, header := s.instances[0].sendPrompt("POST", "/chat/1", "key-1", crashingPrompt())
	is.Equal(status, 503)
	is.True(header.Get("Retry-After") != "")
	is.Equal(s.crashes(), 3)
}

// Guards against a crash that is forgotten because the instance that saw it exits before
// its next heartbeats: the heartbeats are late on a busy machine.
func TestCrashAtEndOfDrainIsPassedOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	var isFrozen atomic.Bool
	frozen, release := make(chan struct{}, 1), make(chan struct{})
	s.modify = func(i *Instance) {
		if i.Settings.Name != "n1" {
			return
		}
		// The heartbeat loop and the handlers of other instances' calls read this clock.
		i.SinceBoot = func() time.Duration {
			if isFrozen.Load() {
				select {
				case frozen <- struct{}{}:
				default:
				}
				<-release
			}
			return sinceBoot()
		}
	}
	s.start("n1", "n2")
	leaving, other := s.instances[0], s.instances[1]
	client := leaving.hold(t)
	client.write("/order/1", "20000", "hel") // its open body keeps the instance until the crash is recorded
	leaving.stop()
	s.waitFor("the drain nears its end", func() bool { return leaving.leavingFor() > drain.BalancerLag-time.Second })
	isFrozen.Store(true)
	<-frozen
	pause(t.Context(), 2*heartbeatInterval)
	leaving.recordCrash(fleet.Server{ID: "models-1", DataCentre: "a"}, "crashing", engine.Prompt{Parts: []engine.Part{{ID: crashPart}, {ID: "own"}}})
	is.NoErr(client.Close())
	is.NoErr(<-leaving.done)
	crashes := other.quarantine.Queries().Fresh(time.Now()).Crashes
	isFrozen.Store(false)
	close(release)
	is.Equal(len(crashes), 1)
	is.Equal(crashes[0].RequestID, "crashing")
}
