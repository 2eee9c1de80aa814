package dispatch_test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lycheecrank.example/backend"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/request"
)

// weights are the weights of the workspaces.
var weights = map[string]int{"a": 1, "b": 2, "c": 5}

// move is one random operation on a fixture.
type move struct {
	kind      string
	workspace string
	rank      int
	deadline  time.Duration
	pick      int
}

var moves = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
	return move{
		kind: rapid.SampledFrom([]string{
			"add", "add", "add", "add", "add", "next", "next", "next", "next", "run", "run", "run", "cancel", "sweep", "wait",
		}).Draw(t, "kind"),
		workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		rank:      rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(t, "rank"),
		deadline:  time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * 100 * time.Millisecond,
		pick:      rapid.IntRange(0, 99).Draw(t, "pick"),
	}
}), 40, 120)

// variant breaks one rule of the table, to show that the checks detect it. The
// zero value changes nothing.
type variant struct {
	step  func(request.Step) request.Step
	table func(*dispatch.Table)
	run   func(*fixture, dispatch.Assignment)
}

// queueModel is the test's own model of the waiting and assigned steps.
type queueModel struct {
	waiting  map[string]request.Step
	assigned []dispatch.Assignment
	// dispatched counts the dispatched steps of both workspaces of a pair in a class,
	// over the period in which both have continuously had waiting steps.
	dispatched map[pair][2]int
}

type pair struct {
	rank          int
	first, second string
}

func (l *queueModel) isWaiting(rank int, workspace string) bool {
	for _, w := range l.waiting {
		if w.Rank == rank && w.Workspace == workspace {
			return true
		}
	}
	return false
}

var pairs = func() []pair {
	var all []pair
	for rank := range 3 {
		all = append(all, pair{rank, "a", "b"}, pair{rank, "a", "c"}, pair{rank, "b", "c"})
	}
	return all
}()

// resetIdlePairs resets the counts of pairs in which a workspace has no waiting step.
func (l *queueModel) resetIdlePairs() {
	for _, p := range pairs {
		if !l.isWaiting(p.rank, p.first) || !l.isWaiting(p.rank, p.second) {
			delete(l.dispatched, p)
		}
	}
}

// charge counts a dispatched step and returns a violation of the weights, or "".
func (l *queueModel) charge(s request.Step) string {
	for _, p := range pairs {
		if p.rank != s.Rank || (p.first != s.Workspace && p.second != s.Workspace) {
			continue
		}
		n := l.dispatched[p]
		if p.first == s.Workspace {
			n[0]++
		} else {
			n[1]++
		}
		l.dispatched[p] = n
		first, second := float64(weights[p.first]), float64(weights[p.second])
		if math.Abs(float64(n[0])/first-float64(n[1])/second) > 1/first+1/second+1e-9 {
			return fmt.Sprintf("unfair: %s got %d and %s got %d while both waited", p.first, n[0], p.second, n[1])
		}
	}
	return ""
}

// orderViolation returns the reason why a step must not be dispatched next, or "".
func (l *queueModel) orderViolation(s request.Step) string {
	if _, ok := l.waiting[s.RequestID]; !ok {
		return "dispatched a step that isn't waiting: " + s.RequestID
	}
	for _, w := range l.waiting {
		switch {
		case w.Rank < s.Rank:
			return fmt.Sprintf("rank %d dispatched while rank %d waits", s.Rank, w.Rank)
		case w.Rank == s.Rank && w.Workspace == s.Workspace && w.Deadline.Before(l.waiting[s.RequestID].Deadline):
			return "dispatched before an earlier deadline in workspace " + s.Workspace
		}
	}
	return ""
}

// violation runs moves in a synctest bubble and returns the first violation, or "".
func violation(t *testing.T, played []move, v variant) (found string) {
	synctest.Test(t, func(*testing.T) {
		s := newFixture(2, 2)
		if v.table != nil {
			v.table(s.table)
		}
		l := &queueModel{waiting: map[string]request.Step{}, dispatched: map[pair][2]int{}}
		for i, m := range played {
			if f := s.play(l, i, m, v); f != "" && found == "" {
				found = fmt.Sprintf("move %d: %s", i, f)
			}
		}
		s.finishAll(l, v)
		if found == "" {
			found = s.leftover()
		}
		for id, n := range s.started {
			if n > 1 && found == "" {
				found = fmt.Sprintf("%s was sent %d times", id, n)
			}
		}
	})
	return found
}

func (s *fixture) play(l *queueModel, number int, m move, v variant) string {
	switch m.kind {
	case "add":
		step := request.Step{
			RequestID: fmt.Sprintf("r%d", number), Workspace: m.workspace, Rank: m.rank,
			Weight: weights[m.workspace], Deadline: time.Now().Add(m.deadline),
		}
		l.waiting[step.RequestID] = step
		if v.step != nil {
			step = v.step(step)
		}
		s.add(step)
	case "next":
		a, ok := s.tryNext()
		if !ok {
			return ""
		}
		// The search for the step may have refused others.
		s.removeEnded(l)
		step := l.waiting[a.Step.RequestID]
		found := l.orderViolation(step)
		if found == "" {
			found = l.charge(step)
		}
		delete(l.waiting, step.RequestID)
		l.assigned = append(l.assigned, a)
		l.resetIdlePairs()
		return found
	case "run":
		if len(l.assigned) > 0 {
			n := m.pick % len(l.assigned)
			s.runWith(l.assigned[n], v)
			l.assigned = slices.Delete(l.assigned, n, n+1)
		}
	case "cancel":
		if ids := slices.Sorted(maps.Keys(l.waiting)); len(ids) > 0 {
			s.cancel(ids[m.pick%len(ids)])
		}
	case "sweep":
		s.commands.Sweep(time.Now())
	case "wait":
		time.Sleep(m.deadline / 10)
	}
	synctest.Wait()
	s.removeEnded(l)
	return ""
}

func (s *fixture) runWith(a dispatch.Assignment, v variant) {
	if v.run != nil {
		v.run(s, a)
		return
	}
	s.run(a)
}

// removeEnded removes the steps that have ended from the waiting steps of the ledger.
func (s *fixture) removeEnded(l *queueModel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.ended {
		delete(l.waiting, id)
	}
	l.resetIdlePairs()
}

// finishAll cancels the waiting steps and runs the assigned ones.
func (s *fixture) finishAll(l *queueModel, v variant) {
	for id := range l.waiting {
		s.cancel(id)
	}
	for _, a := range l.assigned {
		s.runWith(a, v)
	}
	s.running.Wait()
}

// Guards against a step that is dispatched while one of a better class waits, or
// before one of the same workspace with an earlier deadline; against a workspace
// that gets more or less than its weight, or accumulates credit while it is idle;
// and against leaked slots and counts.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if found := violation(t, moves.Draw(rt, "moves"), variant{}); found != "" {
			rt.Fatal(found)
		}
	})
}

// Guards against checks of the order that can't fail: each variant breaks one
// rule, which some sequence of moves must reveal.
func TestOrderVariants(t *testing.T) {
	variants := []struct {
		name    string
		shows   string
		variant variant
	}{
		{"classes are ignored", "dispatched while rank", variant{step: func(s request.Step) request.Step {
			s.Rank = 1
			return s
		}}},
		{"weights are ignored", "unfair", variant{step: func(s request.Step) request.Step {
			s.Weight = 1
			return s
		}}},
		{"workspaces are ignored", "unfair", variant{step: func(s request.Step) request.Step {
			s.Workspace = "a"
			return s
		}}},
		{"first in, first out", "dispatched before an earlier deadline", variant{step: func(s request.Step) request.Step {
			s.Deadline = time.Now().Add(time.Hour)
			return s
		}}},
		{"slots are not released", "in flight at the end", variant{table: func(t *dispatch.Table) {
			t.Release = func(string, backend.Observation, time.Time) {}
		}}},
		{"a step is sent twice", "was sent 2 times", variant{table: func(t *dispatch.Table) {
			execute := t.Execute
			t.Execute = func(ctx context.Context, a dispatch.Assignment) dispatch.Execution {
				execute(ctx, a)
				return execute(ctx, a)
			}
		}}},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			const seeds = 200
			for seed := range seeds {
				if strings.Contains(violation(t, moves.Example(seed), v.variant), v.shows) {
					return
				}
			}
			t.Fatalf("no violation %q in %d sequences of moves", v.shows, seeds)
		})
	}
}

// Guards against workspaces that starve, don't get shares by weight over time, or
// accumulate credit while they are idle.
func TestShares(t *testing.T) {
	assertGoldenInBubble(t, "shares", func(out *strings.Builder) {
		s := newFixture(1, 1)
		number := 0
		add := func(workspace string, n int) {
			for range n {
				number++
				s.add(request.Step{
					RequestID: fmt.Sprintf("r%d", number), Workspace: workspace, Weight: weights[workspace],
					Deadline: time.Now().Add(time.Hour),
				})
			}
		}
		serve := func(what string, n int) {
			var got strings.Builder
			for range n {
				a, ok := s.tryNext()
				if !ok {
					break
				}
				got.WriteString(a.Step.Workspace)
				s.run(a)
			}
			fmt.Fprintf(out, "%s\n  %s\n  a %d, b %d, c %d\n", what, got.String(),
				strings.Count(got.String(), "a"), strings.Count(got.String(), "b"), strings.Count(got.String(), "c"))
		}
		add("a", 100)
		serve("a alone, weight 1", 20)
		add("b", 100)
		add("c", 100)
		serve("a, b and c with weights 1, 2 and 5: b and c have no credit from before", 64)
		add("c", 5)
		serve("the same again", 64)
		serve("until the queue is empty", 1000)
		add("a", 4)
		add("c", 20)
		serve("after all were idle", 24)
		s.running.Wait()
		fmt.Fprintf(out, "leftover: %q\n", s.leftover())
	})
}
