package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func instance(name string, fitSince int64) Instance {
	return Instance{Name: name, Address: name + ":1", DataCentre: "a", FitSince: fitSince}
}

// Guards against a coordinator that is dead, leaving or just back, and against a
// share of common limits that doesn't shrink for an instance that is cut off.
func TestCoordinator(t *testing.T) {
	at := time.Unix(1000, 0)
	var b strings.Builder
	table := NewTable(instance("n2", 20))
	c, q := table.Commands(), table.Queries()
	show := func(what string, now time.Time) {
		v := q.View()
		fmt.Fprintf(&b, "%-44s coordinator %s, heard %d, known %d, share %.2f\n", what, v.Coordinator(now).Name, len(v.Reachable(now)), len(v.Known()), v.Share(now))
	}
	show("alone", at)
	c.AddKnown([]Instance{instance("n1", 10), instance("n2", 20)}, at)
	show("an older one is known, not heard", at)
	c.RecordContact(instance("n1", 10), []Instance{instance("n3", 30)}, at)
	show("the older one is heard", at)
	c.RecordFailure("n1", at.Add(time.Millisecond))
	show("a call to it failed", at.Add(time.Millisecond))
	c.RecordContact(instance("n1", 10), nil, at.Add(2*time.Millisecond))
	show("it is heard again", at.Add(2*time.Millisecond))
	show("it is silent", at.Add(2*time.Millisecond+contactAge))
	c.RecordContact(instance("n1", 40), nil, at.Add(2*time.Second))
	show("it is back after a restart", at.Add(2*time.Second))
	c.ResetFitness(time.UnixMilli(50))
	show("this one had a break", at.Add(2*time.Second))
	c.RecordContact(instance("n1", 40).WithLeaving(), nil, at.Add(2*time.Second))
	show("the other one is leaving", at.Add(2*time.Second))
	c.Leave()
	show("both are leaving", at.Add(2*time.Second))
	c.Forget(at.Add(2*time.Second + forgetAfter))
	show("all others are forgotten", at.Add(2*time.Second+forgetAfter))
	goldie.New(t).Assert(t, "coordinator", []byte(b.String()))
}

// Guards against two coordinators among instances that all hear each other,
// whatever their views held before.
func TestInstancesThatHearEachOtherAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		var instances []Instance
		for n := range rapid.IntRange(1, 8).Draw(t, "count") {
			m := instance(fmt.Sprintf("n%d", n), rapid.Int64Range(0, 3).Draw(t, "fitSince"))
			m.IsLeaving = rapid.Bool().Draw(t, "isLeaving")
			instances = append(instances, m)
		}
		chosen := ""
		for _, self := range instances {
			table := NewTable(self)
			table.Commands().AddKnown(rapid.Permutation(instances).Draw(t, "known"), at.Add(-time.Minute))
			for _, m := range rapid.Permutation(instances).Draw(t, "heard") {
				table.Commands().RecordContact(m, nil, at)
			}
			c := table.Queries().View().Coordinator(at).Name
			if chosen == "" {
				chosen = c
			}
			if c != chosen {
				t.Fatalf("%s chose %s, another one %s", self.Name, c, chosen)
			}
		}
	})
}

// Guards against an instance that takes what others say of a dead one for a sign of life.
func TestKnownIsNoContact(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	v := View{self: instance("n2", 20)}
	v = v.WithContact(instance("n1", 10), at).WithKnown([]Instance{instance("n1", 5)}, at.Add(time.Hour))
	is.Equal(len(v.Reachable(at.Add(time.Hour))), 0)
	is.Equal(v.Known(), []Instance{instance("n1", 10)}) // what it said itself goes first
}

// Guards against a large site in which some instances don't stay in touch with
// the coordinator of the others, and against messages to instances that are dead.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var all []Instance
	for n := range 60 {
		m := instance(fmt.Sprintf("n%02d", n), int64(n))
		m.IsStrong = n%2 == 1
		all = append(all, m)
	}
	for _, self := range []Instance{all[0], all[1], all[40]} {
		table := NewTable(self)
		c := table.Commands()
		c.AddKnown(all, at)
		var names []string
		for _, m := range table.Queries().View().Candidates(at) {
			names = append(names, m.Name)
		}
		is.Equal(strings.Join(names, " "), "n01 n03 n05 n07 n09")
	}
	table := NewTable(all[40])
	table.Commands().AddKnown(all, at)
	table.Commands().RecordFailure("n01", at)
	is.Equal(table.Queries().View().Candidates(at.Add(time.Second))[0].Name, "n03")
	is.Equal(table.Queries().View().Candidates(at.Add(failedFor))[0].Name, "n01") // tried again
}
