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

func newInstance(name string, eligibleSince int64) Instance {
	return Instance{Name: name, Address: name + ":1", DataCentre: "a", EligibleSince: eligibleSince}
}

// Guards against a coordinator that is unreachable, leaving or just restarted, and
// against a share of the limits of all instances that doesn't shrink for an instance
// that is cut off.
func TestCoordinator(t *testing.T) {
	at := time.Unix(1000, 0)
	var b strings.Builder
	table := NewTable(newInstance("n2", 20))
	c, q := table.Commands(), table.Queries()
	show := func(what string, now time.Time) {
		v := q.View()
		fmt.Fprintf(&b, "%-44s coordinator %s, reachable %d, known %d, share %.2f\n", what, v.Coordinator(Scope{}, now).Name, len(v.Reachable(now)), len(v.Known()), v.ReachableShare(Scope{}, now))
	}
	show("alone", at)
	c.AddKnown([]Instance{newInstance("n1", 10), newInstance("n2", 20)}, at)
	show("an older one is known without contact", at)
	c.RecordContact(newInstance("n1", 10), at)
	c.RecordSightings([]Instance{newInstance("n3", 30)}, at)
	show("contact with the older one", at)
	c.RecordFailure("n1", at.Add(time.Millisecond))
	show("a call to it failed", at.Add(time.Millisecond))
	c.RecordContact(newInstance("n1", 10), at.Add(2*time.Millisecond))
	show("another contact with it", at.Add(2*time.Millisecond))
	show("its last contact is too old", at.Add(2*time.Millisecond+contactTimeout))
	c.RecordContact(newInstance("n1", 40), at.Add(2*time.Second))
	show("contact with it after a restart", at.Add(2*time.Second))
	c.ResetEligibility(time.UnixMilli(50))
	show("this instance had a break", at.Add(2*time.Second))
	c.RecordContact(newInstance("n1", 40).WithLeaving(), at.Add(2*time.Second))
	show("the other instance is leaving", at.Add(2*time.Second))
	c.MarkLeaving()
	show("both instances are leaving", at.Add(2*time.Second))
	c.RemoveStale(at.Add(2*time.Second + staleAfter))
	show("all other instances are stale", at.Add(2*time.Second+staleAfter))
	goldie.New(t).Assert(t, "coordinator", []byte(b.String()))
}

// Guards against two coordinators among instances that all reach each other, whatever
// their views contained before.
func TestReachableInstancesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		var instances []Instance
		for n := range rapid.IntRange(1, 8).Draw(t, "count") {
			m := newInstance(fmt.Sprintf("n%d", n), rapid.Int64Range(0, 3).Draw(t, "eligibleSince"))
			m.IsLeaving = rapid.Bool().Draw(t, "isLeaving")
			instances = append(instances, m)
		}
		chosen := ""
		for _, self := range instances {
			table := NewTable(self)
			table.Commands().AddKnown(rapid.Permutation(instances).Draw(t, "known"), at.Add(-time.Minute))
			for _, m := range rapid.Permutation(instances).Draw(t, "contacts") {
				table.Commands().RecordContact(m, at)
			}
			c := table.Queries().View().Coordinator(Scope{}, at).Name
			if chosen == "" {
				chosen = c
			}
			if c != chosen {
				t.Fatalf("%s chose %s, another one %s", self.Name, c, chosen)
			}
		}
	})
}

// Guards against a dead instance that counts as reachable because other instances still
// list it.
func TestKnownIsNotReachable(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	v := View{self: newInstance("n2", 20)}
	v = v.WithContact(newInstance("n1", 10), at).WithKnown([]Instance{newInstance("n1", 5)}, at.Add(time.Hour))
	is.Equal(len(v.Reachable(at.Add(time.Hour))), 0)
	is.Equal(v.Known(), []Instance{newInstance("n1", 10)}) // its own description takes precedence
}

// Guards against instances of a large site that choose another coordinator because they
// have no contact with the common one, and against messages to dead instances.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var all []Instance
	for n := range 60 {
		m := newInstance(fmt.Sprintf("n%02d", n), int64(n))
		m.IsPreferred = n%2 == 1
		all = append(all, m)
	}
	for _, self := range []Instance{all[0], all[1], all[40]} {
		table := NewTable(self)
		c := table.Commands()
		c.AddKnown(all, at)
		var names []string
		for _, m := range table.Queries().View().Candidates(Scope{}, at) {
			names = append(names, m.Name)
		}
		is.Equal(strings.Join(names, " "), "n01 n03 n05 n07 n09")
	}
	table := NewTable(all[40])
	table.Commands().AddKnown(all, at)
	table.Commands().RecordFailure("n01", at)
	is.Equal(table.Queries().View().Candidates(Scope{}, at.Add(time.Second))[0].Name, "n03")
	is.Equal(table.Queries().View().Candidates(Scope{}, at.Add(failureBackoff))[0].Name, "n01") // a candidate again
}

// Guards against a reply that replaces what an instance said about itself by the older
// description that a third one gave.
func TestReplyKeepsDescription(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	table := NewTable(newInstance("n2", 20))
	c := table.Commands()
	c.RecordContact(newInstance("n1", 10).WithLeaving(), at)
	c.RecordReply(newInstance("n1", 10), at.Add(time.Second))
	is.Equal(table.Queries().View().Coordinator(Scope{}, at.Add(time.Second)).Name, "n2")
	c.RecordReply(newInstance("n0", 5), at.Add(time.Second))
	is.Equal(table.Queries().View().Coordinator(Scope{}, at.Add(time.Second)).Name, "n0")
	c.AddKnown([]Instance{newInstance("n0", 50)}, at.Add(time.Second)) // it restarted
	is.Equal(table.Queries().View().Coordinator(Scope{}, at.Add(time.Second)).Name, "n2")
	c.AddKnown([]Instance{newInstance("n0", 5)}, at.Add(time.Second)) // older news
	is.Equal(table.Queries().View().Coordinator(Scope{}, at.Add(time.Second)).Name, "n2")
}

// Guards against requests for a data centre that was found to be cut off a moment ago,
// and against one that is avoided for long after a failure.
func TestRecentFailure(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	other := Scope{Contains: func(dataCentre string) bool { return dataCentre == "b" }}
	distant := newInstance("n1", 10)
	distant.DataCentre = "b"
	table := NewTable(newInstance("n2", 20))
	c := table.Commands()
	hasFailed := func(after time.Duration) bool { return table.Queries().View().HasRecentFailure(other, at.Add(after)) }
	c.RecordContact(distant, at)
	is.True(!hasFailed(0))
	c.RecordFailure("n1", at.Add(time.Millisecond))
	is.True(hasFailed(2 * time.Millisecond))
	is.True(!hasFailed(time.Millisecond + failureBackoff))
	c.RecordContact(distant, at.Add(3*time.Millisecond))
	is.True(!hasFailed(4 * time.Millisecond))
	own := Scope{Contains: func(dataCentre string) bool { return dataCentre == "a" }}
	c.RecordFailure("n1", at.Add(5*time.Millisecond))
	is.True(!table.Queries().View().HasRecentFailure(own, at.Add(6*time.Millisecond)))
}

// Guards against a site whose instances all forget those that they know from others at the
// same moment, staleAfter after the start, and against a failed instance that lists keep
// alive between others.
func TestInstancesKnownFromOthers(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	first, second := View{self: newInstance("n1", 10)}, View{self: newInstance("n2", 20)}
	for round := range 40 {
		now := at.Add(time.Duration(round) * time.Second)
		if round < 10 {
			first = first.WithContact(newInstance("n3", 30), now) // n3 fails after 9 s
		}
		first = first.WithContact(newInstance("n4", 40), now).WithContact(second.Self(), now).WithKnown(second.Sightings(now), now).WithoutStale(now)
		second = second.WithContact(first.Self(), now).WithKnown(first.Sightings(now), now).WithoutStale(now)
		is.Equal(second.Size(), len(first.Known())+1)
		is.Equal(second.Size() == 4, now.Sub(at) < 9*time.Second+staleAfter)
	}
}

// Guards against a failed instance that is never forgotten because its entry in the store
// is read again and again while it can't be reached.
func TestEntryIsNoSighting(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	entries := []Instance{newInstance("n1", 10), newInstance("n2", 20)}
	table := NewTable(entries[0])
	c := table.Commands()
	c.AddKnown(entries, at)
	c.RecordContact(entries[1], at.Add(10*time.Second))
	c.AddKnown(entries, at.Add(15*time.Second))
	c.AddKnown(entries, at.Add(30*time.Second))
	c.RemoveStale(at.Add(10*time.Second + staleAfter))
	is.Equal(table.Queries().View().Size(), 1)
	c.RecordContact(entries[1], at)
	c.AddKnown([]Instance{newInstance("n2", 21)}, at.Add(15*time.Second)) // it restarted
	c.RemoveStale(at.Add(staleAfter))
	is.Equal(table.Queries().View().Size(), 2)
}
