package claim_test

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"lycheecrank.example/claim"
	"lycheecrank.example/request"
)

// TestMain sets a fixed seed, so that every run of the suite generates the same
// schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7120461", "rapid.checks": scheduleCount, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var correctProtocol = variant{name: "protocol", claim: claimKey}

func draw[V any](t *rapid.T, label string, values ...V) V {
	return rapid.SampledFrom(values).Draw(t, label)
}

var scheduleGenerator = rapid.Custom(func(t *rapid.T) schedule {
	s := schedule{
		Retention: draw(t, "retention", time.Hour, 2*time.Minute),
		// The long timeout simulates a process that is frozen as a whole, so that
		// after the freeze it reads the log before its claims time out.
		Timeout: draw(t, "timeout", 2*time.Second, 4*time.Hour),
	}
	const ms, seconds = time.Millisecond, time.Second
	for range rapid.IntRange(2, 8).Draw(t, "calls") {
		s.Calls = append(s.Calls, call{
			At:          draw(t, "at", 0, 0, ms, 40*ms, 2*seconds, 8*seconds, 5*time.Minute, 9*time.Minute, 2*time.Hour),
			Node:        rapid.IntRange(0, 3).Draw(t, "node"),
			Key:         rapid.IntRange(0, 1).Draw(t, "key"),
			Tries:       rapid.IntRange(1, 4).Draw(t, "tries"),
			Other:       rapid.IntRange(0, 5).Draw(t, "other") == 0,
			RefusedOnce: rapid.IntRange(0, 3).Draw(t, "refusedOnce") == 0,
			AnswerLost:  rapid.IntRange(0, 3).Draw(t, "answerLost") == 0,
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		s.Faults = append(s.Faults, fault{
			Kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Node: rapid.IntRange(0, 3).Draw(t, "faultNode"),
			At:   draw(t, "faultAt", 0, ms/2, ms/2, 2*ms, 30*ms, seconds, 5*seconds, 4*time.Minute),
			For:  draw(t, "for", 100*ms, seconds, 5*seconds, 30*seconds, 6*time.Minute, 2*time.Hour),
		})
	}
	return s
})

// Guards against a key that runs twice, a call that runs although it was
// reported as not run, and answers that contradict each other.
func TestAtMostOnceInRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := scheduleGenerator.Draw(rt, "schedule")
		if v := simulate(t, correctProtocol, schedule).violation(); v != "" {
			rt.Fatal(v)
		}
	})
}

// finishWithoutClaim is the finishFunc of a call that is dispatched without a
// claim.
func finishWithoutClaim(context.Context, request.Outcome, []byte) error { return nil }

// brokenProtocols are variants of the protocol with one fault each.
var brokenProtocols = []variant{
	{name: "first claim seen locally wins", claim: func(ctx context.Context, n *node, k claim.Key, d claim.Digest) (finishFunc, error) {
		if _, ok := n.table.Queries().State(k); ok {
			return claimKey(ctx, n, k, d)
		}
		return func(ctx context.Context, o request.Outcome, output []byte) error {
			finish, err := claimKey(ctx, n, k, d)
			if err != nil {
				return err
			}
			return finish(ctx, o, output)
		}, nil
	}},
	{name: "no second check after a pause", claim: func(ctx context.Context, n *node, k claim.Key, d claim.Digest) (finishFunc, error) {
		if !claim.DefaultWindow.Contains(k, time.Now()) {
			return nil, request.Refuse(request.ReasonKeyOutsideWindow, "")
		}
		return claimKey(ctx, n, k, d)
	}, setUp: func(n *node) {
		n.ignoreGaps = true
		n.table.Window.MaxAge = 1000 * time.Hour
	}},
	{name: "gap in the records ignored", claim: claimKey, setUp: func(n *node) { n.ignoreGaps = true }},
	{name: "retry after a lost response without a check", claim: claimKey, retriesLostResponses: true},
	{name: "claims compared by instance", claim: func(ctx context.Context, n *node, k claim.Key, d claim.Digest) (finishFunc, error) {
		finish, err := claimKey(ctx, n, k, d)
		st, _ := n.table.Queries().State(k)
		if c, ok := st.ActiveClaim(); ok && errors.Is(err, request.ReasonKeyInProgress) && c.Instance == n.claimer.Instance {
			return finishWithoutClaim, nil
		}
		return finish, err
	}},
	{name: "unavailable log treated as permission", claim: func(ctx context.Context, n *node, k claim.Key, d claim.Digest) (finishFunc, error) {
		finish, err := claimKey(ctx, n, k, d)
		if errors.Is(err, request.ReasonClaimLogUnavailable) {
			return finishWithoutClaim, nil
		}
		return finish, err
	}},
}

// Guards against a checker that accepts everything: it must detect each broken
// protocol, on schedules from the generator that the correct one is tested with.
func TestCheckerCatchesBrokenProtocols(t *testing.T) {
	var b strings.Builder
	for _, v := range brokenProtocols {
		caught := "not caught"
		for i := 0; i < 1000 && caught != "caught"; i++ {
			if simulate(t, v, scheduleGenerator.Example(i)).violation() != "" {
				caught = "caught"
			}
		}
		fmt.Fprintf(&b, "%s: %s\n", v.name, caught)
	}
	goldie.New(t).Assert(t, "broken", []byte(b.String()))
}

// countRan simulates callers that submit 20 keys and retry for a minute. It
// returns how many calls were reported as ran during the fault and in total.
func countRan(t *testing.T, v variant, f fault) (during, total int) {
	schedule := schedule{Retention: time.Hour, Timeout: 2 * time.Second, Faults: []fault{f}}
	for i := range 20 {
		schedule.Calls = append(schedule.Calls, call{At: time.Second, Node: i % 4, Key: i, Tries: 60})
	}
	for _, a := range simulate(t, v, schedule).answers {
		if a.outcome == request.Ran {
			total++
			if a.at < f.At+f.For {
				during++
			}
		}
	}
	return during, total
}

// Guards against a protocol that is safe only because it refuses calls: under each
// fault, keys that can be claimed are claimed, and the keys of abandoned claims
// are released later.
func TestServiceUnderEachFault(t *testing.T) {
	refusing := variant{claim: func(context.Context, *node, claim.Key, claim.Digest) (finishFunc, error) {
		return nil, request.Refuse(request.ReasonClaimLogUnavailable, "")
	}}
	var b strings.Builder
	for _, kind := range faultKinds {
		f := fault{Kind: kind, For: 20 * time.Second}
		if kind == "restart" {
			f.At = time.Second + 20*time.Millisecond // while the service executes the calls
		}
		during, total := countRan(t, correctProtocol, f)
		_, none := countRan(t, refusing, f)
		fmt.Fprintf(&b, "%-20s during the fault %2d, in total %2d of 20; refusing all: %d\n", kind, during, total, none)
	}
	goldie.New(t).Assert(t, "service", []byte(b.String()))
}

// Guards against wrong answers and unnecessary refusals in single fault cases. The
// schedules are in cases.yaml.
func TestFaultCases(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/cases.yaml")
	is.NoErr(err)
	var plans []schedule
	is.NoErr(yaml.UnmarshalWithOptions(data, &plans, yaml.Strict()))
	var b strings.Builder
	for _, p := range plans {
		s := simulate(t, correctProtocol, p)
		is.Equal(s.violation(), "")
		fmt.Fprintf(&b, "%s: %d runs\n", p.Name, len(s.runs))
		slices.SortStableFunc(s.answers, func(a, b answer) int {
			return cmp.Or(cmp.Compare(roundForGolden(a.at), roundForGolden(b.at)), cmp.Compare(a.call.Node, b.call.Node), cmp.Compare(a.call.Key, b.call.Key))
		})
		for _, a := range s.answers {
			fmt.Fprintf(&b, "\t%-8v node %d key %d: %v, %s\n", roundForGolden(a.at), a.call.Node, a.call.Key, a.outcome, a.text)
		}
	}
	goldie.New(t).Assert(t, "cases", []byte(b.String()))
}

// roundForGolden rounds a time for the golden file. Calls that start at the same
// time share appends in an order that depends on the scheduler, which changes the
// time of an answer by a millisecond.
func roundForGolden(at time.Duration) time.Duration { return at.Round(10 * time.Millisecond) }
