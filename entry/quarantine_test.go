package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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

// Guards against requests of one kind that crash one engine after the other, and against
// the refusal of sound requests that share the other parts of their prompts.
func TestCrashingPromptsAreQuarantined(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.addCrashingEngines()
	s.start("n1", "n2", "n3")
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
