package backend_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// coldSite is a set of instances that send to one server in cold start. They share nothing.
type coldSite struct {
	perSecond float64
	instances []coldInstance
	arrivals  []time.Time
}

// coldInstance is an instance as the site models it.
type coldInstance struct {
	limit backend.ColdLimit
	// last is the last turn that it has used.
	last time.Time
	// discovers is when the instance lists the server, after the start.
	discovers time.Duration
	// skew is how far its clock is ahead.
	skew time.Duration
	// known and position are its view of the site at a time after the start.
	known func(at time.Duration) (known, position int)
	// wants is the number of requests that wait at a time after the start.
	wants func(at time.Duration) int
}

func coldSpec(perSecond float64, known, position int, until time.Time) backend.Spec {
	return backend.Spec{
		Name: "a", Pool: "p", Address: "a:1", LowestRank: 1, MaxInFlight: 1 << 20, ColdInFlight: 1 << 20,
		ColdLimit: backend.ColdLimit{RequestsPerSecond: perSecond, Instances: known, Position: position}, ColdUntil: until,
	}
}

// newColdSite returns instances that discover the server at once, agree about the site, and
// always have requests that wait.
func newColdSite(perSecond float64, n int) *coldSite {
	s := &coldSite{perSecond: perSecond}
	for i := range n {
		s.instances = append(s.instances, coldInstance{
			known: func(time.Duration) (int, int) { return n, i }, wants: func(time.Duration) int { return 5 },
		})
	}
	return s
}

// play has each instance send what its view of the server allows every 10 ms, and update
// this view every 500 ms.
func (s *coldSite) play(length time.Duration) {
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		for n := range s.instances {
			i := &s.instances[n]
			if at < i.discovers {
				continue
			}
			now := start.Add(at + i.skew)
			if (at-i.discovers)%(500*time.Millisecond) == 0 {
				known, position := i.known(at)
				i.limit = backend.ColdLimit{RequestsPerSecond: s.perSecond, Instances: known, Position: position}
			}
			for range i.wants(at) {
				turn, ok := i.limit.Turn(i.last, now)
				if !ok {
					break
				}
				i.last = turn
				s.arrivals = append(s.arrivals, start.Add(at))
			}
		}
	}
}

// mostInSecond returns the largest number of requests that the server got in a second.
func (s *coldSite) mostInSecond() int {
	most, first := 0, 0
	for n, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

func (s *coldSite) bound() float64 { return 1.5*s.perSecond + 5 }

// always returns a fixed view of the site.
func always(known, position int) func(time.Duration) (int, int) {
	return func(time.Duration) (int, int) { return known, position }
}

// Guards against more requests in a second to a server in cold start than it can bear, from
// all instances together, and against a limit that leaves it without work.
func TestColdLimit(t *testing.T) {
	const length = 12 * time.Second
	cases := []struct {
		name string
		// hasLoss is set if the instances send less than the whole limit.
		hasLoss bool
		change  func(s *coldSite, random *rand.Rand)
	}{
		{"all discover it at once and requests wait", false, func(*coldSite, *rand.Rand) {}},
		{"they discover it one after the other", false, func(s *coldSite, random *rand.Rand) {
			for i := range s.instances {
				s.instances[i].discovers = time.Duration(random.IntN(200)) * 10 * time.Millisecond
			}
		}},
		{"idle, then each has many requests", true, func(s *coldSite, _ *rand.Rand) {
			for i := range s.instances {
				s.instances[i].wants = func(at time.Duration) int {
					return map[bool]int{true: 5}[at%(5*time.Second) >= 4*time.Second]
				}
			}
		}},
		{"half of them know half of the site for some seconds", false, func(s *coldSite, _ *rand.Rand) {
			n := len(s.instances)
			for i := range n / 2 {
				s.instances[i].known = func(at time.Duration) (int, int) {
					if at > 5*time.Second && at < 8*time.Second {
						return max(1, n/2), i
					}
					return n, i
				}
			}
		}},
		{"one more instance becomes known at different times", false, func(s *coldSite, random *rand.Rand) {
			n := len(s.instances)
			for i := range n {
				from := time.Duration(random.Int64N(int64(10 * time.Second)))
				s.instances[i].known = func(at time.Duration) (int, int) {
					if at < from && n > 1 && i > 0 {
						return n - 1, i - 1
					}
					return n, i
				}
			}
		}},
		{"two halves have forgotten each other", false, func(s *coldSite, _ *rand.Rand) {
			n := len(s.instances)
			for i := range n {
				if n > 1 && i < n/2 {
					s.instances[i].known = always(n/2, i)
				} else {
					s.instances[i].known = always(n-n/2, i-n/2)
				}
			}
		}},
		{"clocks differ by up to 2 s", false, func(s *coldSite, random *rand.Rand) {
			for i := range s.instances {
				s.instances[i].skew = time.Duration(random.Int64N(int64(2 * time.Second)))
			}
		}},
	}
	var b strings.Builder
	for _, c := range cases {
		fmt.Fprintln(&b, c.name)
		for _, perSecond := range []float64{2, 11, 60} {
			for _, n := range []int{1, 6, 16, 91} {
				s := newColdSite(perSecond, n)
				c.change(s, rand.New(rand.NewPCG(1, uint64(n))))
				s.play(length)
				mean := float64(len(s.arrivals)) / length.Seconds()
				fmt.Fprintf(&b, "  %4.1f a second, %2d instances: at most %2d in a second, bound %5.1f, mean %5.2f\n", perSecond, n, s.mostInSecond(), s.bound(), mean)
				if float64(s.mostInSecond()) > s.bound() || !c.hasLoss && mean < perSecond/2 {
					t.Errorf("%s: %d requests in a second, mean %.2f, with %.1f a second and %d instances", c.name, s.mostInSecond(), mean, perSecond, n)
				}
			}
		}
	}
	assertGolden(t, "cold_limit", b.String())
}

// Guards against a check that passes if each instance takes the whole limit.
func TestColdLimitVariants(t *testing.T) {
	is := is.New(t)
	s := newColdSite(11, 6)
	for i := range s.instances {
		s.instances[i].known = always(1, 0)
	}
	s.play(2 * time.Second)
	is.True(float64(s.mostInSecond()) > s.bound())
}

// Guards against a table that doesn't apply the limit of a server in cold start, or applies
// it to others.
func TestTableAppliesColdLimit(t *testing.T) {
	is := is.New(t)
	sentInSecond := func(spec backend.Spec) int {
		h := newHistory(spec)
		sent := 0
		for range 100 {
			for range 5 {
				if _, ok := h.table.Commands().Reserve("p", 0, nil, h.permission, h.now); ok {
					sent++
				}
			}
			h.wait(10 * time.Millisecond)
		}
		return sent
	}
	is.True(sentInSecond(coldSpec(11, 1, 0, start.Add(time.Minute))) <= 8)
	is.True(sentInSecond(coldSpec(11, 1, 0, start.Add(time.Minute))) >= 7)
	is.Equal(sentInSecond(coldSpec(11, 0, 0, start.Add(time.Minute))), 0)  // the number of instances is unknown
	is.Equal(sentInSecond(coldSpec(0, 1, 0, start.Add(time.Minute))), 500) // no limit
	is.Equal(sentInSecond(coldSpec(11, 1, 0, start)), 500)                 // the cold start is over
}

// Guards against turns that an instance uses twice, that begin in the future or have
// expired, and against a division by zero or an endless loop for values from outside.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := backend.ColdLimit{RequestsPerSecond: rapid.Float64Range(1e-12, 1e12).Draw(t, "rate"), Instances: rapid.IntRange(0, 400).Draw(t, "instances")}
		if limit.Instances > 0 {
			limit.Position = rapid.IntRange(0, limit.Instances-1).Draw(t, "position")
		}
		var last time.Time
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "tries") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			turn, ok := limit.Turn(last, now)
			if !ok {
				continue
			}
			if limit.Instances == 0 || turn.After(now) || now.Sub(turn) >= 50*time.Millisecond || !turn.After(last) {
				t.Fatalf("turn at %v after %v, used at %v", turn, last, now)
			}
			last = turn
		}
	})
}

// Guards against all instances preferring a server in cold start because its service time
// is unknown, and against one that gets nothing for that reason.
func TestChoiceOfColdServer(t *testing.T) {
	is := is.New(t)
	cold, warm := newSpec("a"), newSpec("b")
	cold.ColdInFlight, cold.ColdUntil = 8, start.Add(time.Minute)
	warm.ColdInFlight = 8
	h := newHistory(cold, warm)
	first, _ := h.table.Commands().Reserve("p", 0, nil, h.permission, h.now)
	is.Equal(first.Name, "b") // both service times are unknown
	h.table.Commands().Release("b", success(100*ms), h.now)
	first, _ = h.table.Commands().Reserve("p", 0, nil, h.permission, h.now)
	is.Equal(first.Name, "b") // a known service time
	second, _ := h.table.Commands().Reserve("p", 0, nil, h.permission, h.now)
	is.Equal(second.Name, "a") // the other server has more load
}

// Guards against the whole load for a server that has restarted while it could not be
// reached, as long as its entry is that of the old process.
func TestUnreachableServerMayBeCold(t *testing.T) {
	is := is.New(t)
	spec := coldSpec(11, 0, 0, time.Time{}) // no turns
	spec.ColdTime = 3 * time.Second
	h := newHistory(spec)
	reserve := func() bool {
		_, ok := h.table.Commands().Reserve("p", 0, nil, h.permission, h.now)
		return ok
	}
	is.True(reserve())
	h.table.Commands().Release("a", failure(request.ReasonServerUnreachable), h.now)
	h.wait(time.Second)
	is.True(!reserve()) // it may be cold
	h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
	is.True(reserve()) // the same process still runs
	h.table.Commands().Release("a", failure(request.ReasonServerUnreachable), h.now)
	h.wait(spec.ColdTime)
	is.True(reserve()) // a cold start would have ended
}
