package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// scene is a generated rollout: traffic, servers, a version and faults.
type scene struct {
	name     string
	isBad    bool
	rate     float64 // requests per second
	duration time.Duration
	places   int
	old, new int
	// routes holds the part of the traffic of each route.
	routes []float64
	// respond returns the response of a server of the new version or the old one.
	respond func(r *rand.Rand, isNew bool, server, route int, load float64, elapsed time.Duration) (isBad bool, took time.Duration)
	// leaderGap is a time without a leader in the middle of the rollout.
	leaderGap time.Duration
}

// usual returns the time of a usual response: most take 40 to 80 ms, some much longer.
func usual(r *rand.Rand) time.Duration {
	took := 40 + 40*r.Float64()
	if r.Float64() < 0.1 {
		took *= 3
	}
	return time.Duration(took * float64(time.Millisecond))
}

func good(r *rand.Rand, _ bool, _, _ int, _ float64, _ time.Duration) (bool, time.Duration) {
	return false, usual(r)
}

func failing(share float64) func(*rand.Rand, bool, int, int, float64, time.Duration) (bool, time.Duration) {
	return func(r *rand.Rand, isNew bool, _, _ int, _ float64, _ time.Duration) (bool, time.Duration) {
		return isNew && r.Float64() < share, usual(r)
	}
}

func slow(share, factor float64) func(*rand.Rand, bool, int, int, float64, time.Duration) (bool, time.Duration) {
	return func(r *rand.Rand, isNew bool, _, _ int, _ float64, _ time.Duration) (bool, time.Duration) {
		took := usual(r)
		if isNew && r.Float64() < share {
			took = time.Duration(factor * float64(took))
		}
		return false, took
	}
}

// simulation runs a scene with one table for each place; that of the first place leads.
type simulation struct {
	scene
	// servers are the servers of both versions, in the order of which stride skips some to
	// choose evenly.
	servers []Server
	stride  int
	random  *rand.Rand
	tables  []*Table
	now     time.Time
	ordered time.Time
	// requests, exposed and bad count the requests to the pool, those to the new version
	// and its bad responses until the deadline. afterBad counts those to the new version
	// that were sent later than the bound after its 50th bad response.
	requests, exposed, bad, afterBad int
	badSince                         time.Time
	// sent counts the requests by server in the current and the last second.
	sent, lastSent map[string]int
	endedAt        time.Duration
}

var simulated = Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}

func newSimulation(s scene, seed uint64) *simulation {
	if len(s.routes) == 0 {
		s.routes = []float64{0.5, 0.4, 0.1}
	}
	sim := &simulation{scene: s, random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000), sent: map[string]int{}, lastSent: map[string]int{}}
	var servers []Server
	for n := range s.old {
		servers = append(servers, Server{ID: fmt.Sprintf("old%d", n), Version: "v1", IsInScope: true})
	}
	for n := range s.places {
		t := NewTable(simulated, fmt.Sprintf("place%d", n))
		t.Commands().SetServers(map[string][]Server{"p": servers}, sim.now)
		sim.tables = append(sim.tables, t)
	}
	for n := range s.new {
		servers = append(servers, Server{ID: fmt.Sprintf("new%d", n), Version: "v2", IsInScope: true})
	}
	sim.servers, sim.stride = servers, 1
	for gcd := 2; gcd != 1; {
		sim.stride += 58
		gcd = sim.stride
		for rest := len(servers); rest != 0; {
			gcd, rest = rest, gcd%rest
		}
	}
	sim.ordered = sim.now.Add(time.Second)
	for _, t := range sim.tables {
		t.Commands().SetServers(map[string][]Server{"p": servers}, sim.now)
	}
	return sim
}

const (
	simulatedStep = 10 * time.Millisecond
	// simulatedHeartbeat is the time after which places and the leader know what the
	// other has.
	simulatedHeartbeat = 400 * time.Millisecond
)

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.ordered) }

func (s *simulation) run() Phase {
	leader := s.tables[0]
	for n := 0; s.elapsed() < s.duration+2*time.Second; n++ {
		s.now = s.now.Add(simulatedStep)
		if s.elapsed() == 0 {
			for k, t := range s.tables {
				t.Commands().ApplyOrder(Order{Pool: "p", To: "v2", Duration: s.duration, Offset: 7}, k, len(s.tables), s.now)
			}
		}
		hasLeader := s.elapsed() < s.duration/3 || s.elapsed() >= s.duration/3+s.leaderGap
		if hasLeader && s.elapsed() >= 0 && n%20 == 0 {
			s.lead(leader)
		}
		if n%int(simulatedHeartbeat/simulatedStep) == 0 && hasLeader {
			for _, t := range s.tables {
				leader.Commands().AddEvidence(t.Queries().Evidence())
				t.Commands().Merge(leader.Queries().States(true, s.now), s.now)
				t.Commands().Confirm(s.now)
			}
		}
		if n%100 == 0 {
			s.lastSent, s.sent = s.sent, map[string]int{}
		}
		for expected := s.rate * simulatedStep.Seconds(); expected > 0; expected-- {
			if s.random.Float64() < expected {
				s.request()
			}
		}
	}
	return leader.Queries().State("p").Phase
}

// lead makes the decisions of the leader. A change of the phase reaches all places at once.
func (s *simulation) lead(leader *Table) {
	next, ok := leader.Commands().Start("p", s.now)
	if !ok {
		next, _, ok = leader.Commands().Decide("p", nil, s.now)
	}
	if !ok {
		return
	}
	old := leader.Queries().State("p")
	leader.Commands().Merge([]State{next}, s.now)
	if old.Phase != next.Phase {
		if next.Phase.IsFinal() {
			s.endedAt = s.elapsed()
		}
		for _, t := range s.tables {
			t.Commands().Merge([]State{next}, s.now)
		}
	}
}

func (s *simulation) request() {
	t := s.tables[s.random.IntN(len(s.tables))]
	isTrial := t.Commands().Admit("p", s.now)
	lane := Usual
	if isTrial {
		lane = Trial
	}
	allows := t.Queries().Selection("p", lane, s.now)
	id, number, ok := s.choose(allows)
	if !ok {
		return
	}
	isNew := number >= s.old
	route, at := 0, s.random.Float64()
	for at >= s.routes[route] && route < len(s.routes)-1 {
		at -= s.routes[route]
		route++
	}
	s.sent[id]++
	load := float64(s.lastSent[id]) / (s.rate / float64(s.old))
	isBad, took := s.respond(s.random, isNew, number, route, load, s.elapsed())
	version := "v1"
	if isNew {
		version = "v2"
	}
	t.Commands().Record(Response{Pool: "p", Route: fmt.Sprintf("route%d", route), Server: id, Version: version, IsBad: isBad, Took: took})
	if s.elapsed() < 0 || s.elapsed() >= s.duration {
		return
	}
	s.requests++
	if !isNew {
		return
	}
	s.exposed++
	if isBad || took > 150*time.Millisecond {
		s.bad++
		if s.bad == 50 {
			s.badSince = s.now
		}
	}
	if !s.badSince.IsZero() && s.now.Sub(s.badSince) > simulated.RollbackTime {
		s.afterBad++
	}
}

// choose returns a random server that a selection allows, with its number.
func (s *simulation) choose(allows func(id string) bool) (string, int, bool) {
	first := s.random.IntN(len(s.servers))
	for n := range s.servers {
		number := (first + n*s.stride) % len(s.servers)
		if id := s.servers[number].ID; allows == nil || allows(id) {
			return id, number, true
		}
	}
	return "", 0, false
}

func scenes() []scene {
	large := func(name string, isBad bool, respond func(*rand.Rand, bool, int, int, float64, time.Duration) (bool, time.Duration)) scene {
		return scene{name: name, isBad: isBad, rate: 300, duration: 12 * time.Second, places: 5, old: 140, new: 140, respond: respond}
	}
	with := func(s scene, change func(*scene)) scene {
		change(&s)
		return s
	}
	sparse := func(s *scene) { s.name, s.rate, s.old, s.new = s.name+", 10/s", 10, 6, 6 }
	plain := func(s *scene) { s.name, s.places = s.name+", 91 places", 91 }
	long := func(s *scene) { s.name, s.duration = s.name+", 20 s", 20*time.Second }
	gap := func(s *scene) { s.name, s.leaderGap = s.name+", no leader for 1.5 s", 1500*time.Millisecond }
	return []scene{
		large("good", false, good),
		with(large("good", false, good), sparse),
		with(large("good", false, good), plain),
		with(large("good", false, good), long),
		with(large("good", false, good), gap),
		large("good, both versions fail for 5 in 100", false, func(r *rand.Rand, _ bool, _, _ int, _ float64, _ time.Duration) (bool, time.Duration) {
			return r.Float64() < 0.05, usual(r)
		}),
		large("good, every 20th server of both fails", false, func(r *rand.Rand, _ bool, server, _ int, _ float64, _ time.Duration) (bool, time.Duration) {
			return server%20 == 0, usual(r)
		}),
		large("good, every 20th server of both is slow", false, func(r *rand.Rand, _ bool, server, _ int, _ float64, _ time.Duration) (bool, time.Duration) {
			took := usual(r)
			if server%20 == 0 {
				took *= 8
			}
			return false, took
		}),
		large("good, slow by 1.6 while cold", false, slow(1, 1.6)),
		large("good, a fifth of the servers of both fails for 2 s", false, func(r *rand.Rand, _ bool, server, _ int, _ float64, elapsed time.Duration) (bool, time.Duration) {
			return server%5 == 0 && elapsed > 5*time.Second && elapsed < 7*time.Second, usual(r)
		}),
		large("good, a fifth of the servers of both is slow for 4 s", false, func(r *rand.Rand, _ bool, server, _ int, _ float64, elapsed time.Duration) (bool, time.Duration) {
			took := usual(r)
			if server%5 == 0 && elapsed > 4*time.Second && elapsed < 8*time.Second {
				took *= 6
			}
			return false, took
		}),
		with(large("good", false, good), func(s *scene) { s.name, s.routes = "good, a route with 1 in 200", []float64{0.995, 0.005} }),
		large("fails always", true, failing(1)),
		large("fails for 30 in 100", true, failing(0.3)),
		with(large("fails for 30 in 100", true, failing(0.3)), plain),
		with(large("fails for 30 in 100", true, failing(0.3)), long),
		with(large("fails for 30 in 100", true, failing(0.3)), gap),
		with(large("fails always", true, failing(1)), sparse),
		large("fails for 12 in 100", true, failing(0.12)),
		large("fails always after 6 s", true, func(r *rand.Rand, isNew bool, _, _ int, _ float64, elapsed time.Duration) (bool, time.Duration) {
			return isNew && elapsed > 6*time.Second, usual(r)
		}),
		large("fails for half after 9 s", true, func(r *rand.Rand, isNew bool, _, _ int, _ float64, elapsed time.Duration) (bool, time.Duration) {
			return isNew && elapsed > 9*time.Second && r.Float64() < 0.5, usual(r)
		}),
		large("fails for half under the load of an old server", true, func(r *rand.Rand, isNew bool, _, _ int, load float64, _ time.Duration) (bool, time.Duration) {
			return isNew && load > 0.6 && r.Float64() < 0.5, usual(r)
		}),
		large("fails on a route with a tenth of the traffic", true, func(r *rand.Rand, isNew bool, _, route int, _ float64, _ time.Duration) (bool, time.Duration) {
			return isNew && route == 2, usual(r)
		}),
		large("slow by 4", true, slow(1, 4)),
		large("slow by 6 for 40 in 100", true, slow(0.4, 6)),
		large("slow by 4 after 6 s", true, func(r *rand.Rand, isNew bool, _, _ int, _ float64, elapsed time.Duration) (bool, time.Duration) {
			took := usual(r)
			if isNew && elapsed > 6*time.Second {
				took *= 4
			}
			return false, took
		}),
		large("slow by 5 on a route with a tenth of the traffic", true, func(r *rand.Rand, isNew bool, _, route int, _ float64, _ time.Duration) (bool, time.Duration) {
			took := usual(r)
			if isNew && route == 2 {
				took *= 5
			}
			return false, took
		}),
	}
}

const simulatedSeeds = 3

// Guards against wrong verdicts, and against requests to a bad version beyond the bounds:
// the table holds the verdicts over all seeds and the worst exposure.
func TestSimulation(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-60s %9s %12s %14s %8s %8s\n", "scene", "succeeded", "rolled back", "worst exposure", "after bad", "ended s")
	for _, s := range scenes() {
		succeeded, rolledBack, afterBad := 0, 0, 0
		worst, last := 0.0, time.Duration(0)
		for seed := range uint64(simulatedSeeds) {
			sim := newSimulation(s, seed)
			switch sim.run() {
			case Succeeded:
				succeeded++
			case RolledBack:
				rolledBack++
			case Pending, Running, Shifted:
			}
			worst = max(worst, float64(sim.exposed)/(simulated.ExposureShare*float64(sim.requests)+simulated.ExposureSlack))
			afterBad = max(afterBad, sim.afterBad)
			last = max(last, sim.endedAt)
		}
		exposure := "any"
		if s.isBad {
			exposure = fmt.Sprintf("%.2f", worst)
		}
		fmt.Fprintf(&out, "%-60s %9d %12d %14s %8d %8.1f\n", s.name, succeeded, rolledBack, exposure, afterBad, last.Seconds())
	}
	goldie.New(t).Assert(t, "simulation", []byte(out.String()))
}
