package ownership

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// maxSeeds bounds the search for a violation.
const maxSeeds = 2000

// ignoresRenewals accepts an acquisition by the previous term alone.
func ignoresRenewals(t Term, r Record) bool {
	for _, rt := range r.Terms {
		if rt.Pool == t.Key.Pool {
			return rt.Term == t.ID
		}
	}
	return false
}

// Guards against a checker that misses violations: it must find one in each
// protocol that lacks one rule. A takeover after 11 s and a wait of 6 s are too
// short for clocks that differ by 10.53%.
func TestBrokenVariantsAreFound(t *testing.T) {
	for _, b := range []struct {
		name    string
		variant variant
		// from is the first seed; the seeds before it find no violation.
		from int
	}{
		{"acquisition ignores renewals", variant{acceptsAcquire: ignoresRenewals}, 0},
		{"acquisition always valid", variant{acceptsAcquire: func(Term, Record) bool { return true }}, 0},
		{"lease counted from the answer", variant{leaseStartsAtAnswer: true}, 180},
		{"takeover after 9 s", variant{timing: Timing{OwnerTimeout: 9 * time.Second}}, 0},
		{"no wait after takeover", variant{timing: Timing{TakeoverWait: time.Nanosecond}}, 0},
		{"takeover after 11 s and wait of 6 s", variant{timing: Timing{OwnerTimeout: 11 * time.Second, TakeoverWait: 6 * time.Second}}, 50},
		{"lease of one hour", variant{timing: Timing{Lease: time.Hour}}, 0},
	} {
		t.Run(b.name, func(t *testing.T) {
			for seed := b.from; seed < b.from+maxSeeds; seed++ {
				p := faultPlans().Example(seed)
				if r := run(t, b.variant, p, recoveryLimit); len(r.violations) > 0 {
					t.Logf("seed %d: %s", seed, r.violations[0])
					return
				}
			}
			t.Errorf("no violation in %d runs", maxSeeds)
		})
	}
}

// Guards against a checker that counts a pool without an owner as served: without
// takeovers it must find a run in which no node recovers.
func TestMissingTakeoverIsFound(t *testing.T) {
	for seed := range maxSeeds {
		if r := run(t, variant{timing: Timing{OwnerTimeout: time.Hour}}, faultPlans().Example(seed), recoveryLimit); r.recovered < 0 {
			t.Logf("seed %d: no node recovered", seed)
			return
		}
	}
	t.Errorf("the pool recovered in all %d runs", maxSeeds)
}

// Guards against violations that need two faults: after every ordered pair of
// faults at the owner, or one at the owner and one at another candidate, no two
// nodes may have the permission for cold servers, and the pool must be served
// again.
func TestPairsOfFaults(t *testing.T) {
	kinds := faultKinds()
	order := []int{0, 1, 2}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(score(testPool, testDataCentre, nodeNames[b]), score(testPool, testDataCentre, nodeNames[a]))
	})
	for _, first := range kinds {
		for _, second := range kinds {
			for node := range nodeCount {
				for _, gap := range faultGaps {
					p := faultPlan{
						clockRates: []float64{0.95, 1.05, 1},
						links:      []link{{tailDelay: 20 * time.Millisecond}, {tailDelay: 30 * time.Millisecond}, {tailDelay: 40 * time.Millisecond}},
						hidden:     [][]bool{nil, nil, nil},
						faults:     []fault{{kind: first, node: order[0], at: 20 * time.Second, duration: 15 * time.Second}, {kind: second, node: order[node], at: 20*time.Second + gap, duration: 15 * time.Second}},
					}
					r := run(t, variant{}, p, recoveryLimit)
					if len(r.violations) > 0 || r.recovered < 0 {
						t.Errorf("%s at the owner, then %s at candidate %d after %s: %v, recovered after %s", first, second, node, gap, r.violations, r.recovered)
					}
				}
			}
		}
	}
	t.Logf("%d runs", len(kinds)*len(kinds)*nodeCount*len(faultGaps))
}
