package crew

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func mate(name string, fitSince int64) Mate {
	return Mate{Name: name, Address: name + ":1", DataCentre: "a", FitSince: fitSince}
}

// Guards against a coordinator that is dead, leaving or just back, and against a
// share of common limits that doesn't shrink for an instance that is cut off.
func TestCoordinator(t *testing.T) {
	at := time.Unix(1000, 0)
	var b strings.Builder
	table := NewTable(mate("n2", 20))
	c, q := table.Commands(), table.Queries()
	show := func(what string, now time.Time) {
		v := q.View()
		fmt.Fprintf(&b, "%-44s coordinator %s, heard %d, known %d, share %.2f\n", what, v.Coordinator(now).Name, len(v.Heard(now)), len(v.Known()), v.Share(now))
	}
	show("alone", at)
	c.Learn([]Mate{mate("n1", 10), mate("n2", 20)}, at)
	show("an older one is known, not heard", at)
	c.Hear(mate("n1", 10), []Mate{mate("n3", 30)}, at)
	show("the older one is heard", at)
	c.Fail("n1", at.Add(time.Millisecond))
	show("a call to it failed", at.Add(time.Millisecond))
	c.Hear(mate("n1", 10), nil, at.Add(2*time.Millisecond))
	show("it is heard again", at.Add(2*time.Millisecond))
	show("it is silent", at.Add(2*time.Millisecond+HeardFor))
	c.Hear(mate("n1", 40), nil, at.Add(2*time.Second))
	show("it is back after a restart", at.Add(2*time.Second))
	c.Restamp(time.UnixMilli(50))
	show("this one had a break", at.Add(2*time.Second))
	c.Hear(mate("n1", 40).WithLeaving(), nil, at.Add(2*time.Second))
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
		var mates []Mate
		for n := range rapid.IntRange(1, 8).Draw(t, "count") {
			m := mate(fmt.Sprintf("n%d", n), rapid.Int64Range(0, 3).Draw(t, "fitSince"))
			m.IsLeaving = rapid.Bool().Draw(t, "isLeaving")
			mates = append(mates, m)
		}
		chosen := ""
		for _, self := range mates {
			table := NewTable(self)
			table.Commands().Learn(rapid.Permutation(mates).Draw(t, "known"), at.Add(-time.Minute))
			for _, m := range rapid.Permutation(mates).Draw(t, "heard") {
				table.Commands().Hear(m, nil, at)
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

// Guards against an instance that takes hearsay of a dead one for a sign of life.
func TestHearsayIsNoContact(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	v := View{self: mate("n2", 20)}
	v = v.WithHeard(mate("n1", 10), at).WithKnown([]Mate{mate("n1", 5)}, at.Add(time.Hour))
	is.Equal(len(v.Heard(at.Add(time.Hour))), 0)
	is.Equal(v.Known(), []Mate{mate("n1", 10)}) // what it said itself goes first
}

// Guards against a large site in which some instances don't stay in touch with
// the coordinator of the others, and against messages to instances that are dead.
func TestCouncil(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var all []Mate
	for n := range 60 {
		m := mate(fmt.Sprintf("n%02d", n), int64(n))
		m.IsStrong = n%2 == 1
		all = append(all, m)
	}
	for _, self := range []Mate{all[0], all[1], all[40]} {
		table := NewTable(self)
		c := table.Commands()
		c.Learn(all, at)
		var names []string
		for _, m := range table.Queries().View().Council(at) {
			names = append(names, m.Name)
		}
		is.Equal(strings.Join(names, " "), "n01 n03 n05 n07 n09")
	}
	table := NewTable(all[40])
	table.Commands().Learn(all, at)
	table.Commands().Fail("n01", at)
	is.Equal(table.Queries().View().Council(at.Add(time.Second))[0].Name, "n03")
	is.Equal(table.Queries().View().Council(at.Add(failedFor))[0].Name, "n01") // tried again
}
