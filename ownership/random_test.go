package ownership

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// fault is something that happens to a node for a time.
type fault struct {
	kind  string
	node  int
	at    time.Duration
	lasts time.Duration
	// retained is the age of the oldest record that a restarted node gets.
	retained time.Duration
}

// plan is a run of the lab.
type plan struct {
	rates  []float64
	links  []link
	blind  [][]bool
	faults []fault
}

// slowAppend is how long the records of a node with slow appends take to land.
// It exceeds the limit of an append, so that its answer is always lost.
const slowAppend = 7 * time.Second

// faultKinds are all kinds of faults with their effect on a node. Those with no
// effect here are done by run.
var faultKinds = map[string]func(n *node, on bool){
	"paused":      func(n *node, on bool) { n.paused = on },
	"cutOff":      func(n *node, on bool) { n.link.noAppends, n.link.noTail = on, on },
	"cutTail":     func(n *node, on bool) { n.link.noTail = on },
	"cutAppends":  func(n *node, on bool) { n.link.noAppends = on },
	"lostAnswers": func(n *node, on bool) { n.link.noAnswers = on },
	"slowAppends": func(n *node, on bool) { n.link.appendDelay = choose(on, slowAppend, 5*time.Millisecond) },
	"slowTail":    func(n *node, on bool) { n.link.tailDelay = choose(on, 5*time.Second, 20*time.Millisecond) },
	"expired": func(n *node, on bool) {
		n.link.noTail = on
		if !on && !n.dead {
			n.restart()
		}
	},
	"killed": nil,
	"left":   nil,
}

func choose[V any](on bool, a, b V) V {
	if on {
		return a
	}
	return b
}

func kindNames() []string {
	var names []string
	for k := range faultKinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// phase separates the timers of the nodes, so that runs with a seed are alike.
const phase = 7 * time.Millisecond

const labNodes = 3

var labNames = []string{"a", "b", "c"}

// pick draws an index below n, all alike. The generators of rapid favour small
// numbers, which would put most faults at the start and make them short.
func pick(t *rapid.T, label string, n int) int {
	const odd = 0x9e3779b97f4a7c15
	x := rapid.Uint64().Draw(t, label) * odd
	x ^= x >> 32
	x *= odd
	return int((x >> 32) % uint64(n))
}

func pickFrom[V any](t *rapid.T, label string, values ...V) V {
	return values[pick(t, label, len(values))]
}

// plans draws runs of up to eight faults within 60 s.
func plans() *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		var p plan
		for range labNodes {
			p.rates = append(p.rates, pickFrom(t, "rate", 0.95, 0.97, 1, 1.03, 1.05))
			p.links = append(p.links, link{
				appendDelay: time.Duration(pickFrom(t, "append", 1, 20, 300)) * time.Millisecond,
				answerDelay: time.Duration(pickFrom(t, "answer", 1, 20, 1900)) * time.Millisecond,
				tailDelay:   time.Duration(pickFrom(t, "tail", 1, 50, 900, 3000)) * time.Millisecond,
			})
			blind := make([]bool, labNodes)
			for n := range blind {
				blind[n] = pick(t, "blind", 4) == 0
			}
			p.blind = append(p.blind, blind)
		}
		for range 1 + pick(t, "faults", 8) {
			p.faults = append(p.faults, fault{
				kind:     pickFrom(t, "kind", kindNames()...),
				node:     pick(t, "node", labNodes),
				at:       time.Duration(10+pick(t, "at", 60_000)) * time.Millisecond,
				lasts:    time.Duration(100+pick(t, "lasts", 25_000)) * time.Millisecond,
				retained: pickFrom(t, "retained", 0, 30*time.Second, time.Hour),
			})
		}
		return p
	})
}

// quiet returns when the last effect of all faults has ended.
func (p plan) quiet() time.Duration {
	var end time.Duration
	for _, f := range p.faults {
		until := f.at + f.lasts
		if f.kind == "slowAppends" {
			until += slowAppend
		}
		end = max(end, until)
	}
	return end
}

// slowestTail returns the longest base delay of a tail.
func (p plan) slowestTail() time.Duration {
	var d time.Duration
	for _, k := range p.links {
		d = max(d, k.tailDelay)
	}
	return d
}

// report is what a run showed.
type report struct {
	violations []string
	// recovered is the time from the end of all faults to a sample in which a
	// node holds the right to cold servers; negative if there was none.
	recovered time.Duration
}

// run runs a plan until recovery limit after its last fault.
func run(t *testing.T, v variant, p plan, limit time.Duration) (result report) {
	synctest.Test(t, func(*testing.T) {
		l := newLab(v)
		defer l.close()
		names := labNames
		incarnations := make([]int, labNodes)
		blind := func(n int) map[string]bool {
			hidden := map[string]bool{}
			for o, h := range p.blind[n] {
				hidden[names[o]] = h && o != n
			}
			return hidden
		}
		for n, name := range names {
			l.add(name, 0, 0, p.rates[n], p.links[n], blind(n))
			time.Sleep(phase)
		}
		type event struct {
			at time.Duration
			do func()
		}
		var events []event
		for _, f := range p.faults {
			name := names[f.node]
			on, off := func() {}, func() {}
			if effect := faultKinds[f.kind]; effect != nil {
				on = func() { l.set(l.nodes[name], func(n *node) { effect(n, true) }) }
				off = func() { l.set(l.nodes[name], func(n *node) { effect(n, false) }) }
			} else {
				on = func() { l.end(name, f.kind == "left") }
				off = func() {
					if !l.nodes[name].dead {
						return
					}
					incarnations[f.node]++
					l.add(name, incarnations[f.node], l.retained(f.retained), p.rates[f.node], p.links[f.node], blind(f.node))
				}
			}
			events = append(events, event{f.at, on}, event{f.at + f.lasts, off})
		}
		slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
		for _, e := range events {
			l.runUntil(e.at)
			e.do()
		}
		quiet := p.quiet()
		l.runUntil(quiet)
		result.recovered = -1
		for time.Since(l.start) < quiet+limit {
			l.runUntil(time.Since(l.start) + sampling)
			if l.lastCold.Sub(l.start) > quiet {
				result.recovered = l.lastCold.Sub(l.start) - quiet
				break
			}
		}
		l.runUntil(time.Since(l.start) + 10*time.Second)
		result.violations = l.violations
	})
	return result
}

// end kills a node, after a release if it leaves.
func (l *lab) end(name string, leaves bool) {
	n := l.nodes[name]
	if n.dead {
		return
	}
	n.stop()
	if leaves {
		l.set(n, func(n *node) { n.left = true })
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer cancel()
			_ = n.keeper.Release(ctx)
			l.set(n, func(n *node) { n.dead = true })
		}()
		return
	}
	l.set(n, func(n *node) { n.dead = true })
}

// setRapid fixes the number of checks and the seed, so that runs are alike.
func setRapid(t *testing.T, checks int) {
	t.Helper()
	for name, value := range map[string]string{"rapid.checks": fmt.Sprint(checks), "rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// recoveryLimit is the longest time without rights once the log and a candidate
// are up: 11 s of silence, 6 s of wait, 4 s for a renewal and the ranks.
const recoveryLimit = 21 * time.Second

// Guards against two instances that dispatch to the cold servers of a pool, and
// against a pool that stays without an owner, under random faults.
func TestRandomFaults(t *testing.T) {
	setRapid(t, randomRuns)
	var worst time.Duration
	rapid.Check(t, func(rt *rapid.T) {
		p := plans().Draw(rt, "plan")
		limit := recoveryLimit + p.slowestTail()
		r := run(t, variant{}, p, limit)
		if len(r.violations) > 0 {
			rt.Fatalf("%v", r.violations[0])
		}
		if r.recovered < 0 {
			rt.Fatalf("no rights %s after the last fault", limit)
		}
		worst = max(worst, r.recovered)
	})
	t.Logf("longest time without rights after the last fault: %s", worst)
}
