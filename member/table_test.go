package member_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/member"
)

func newInstance(name, incarnation string) member.Instance {
	return member.Instance{Name: name, Incarnation: incarnation, DataCentre: "espoo", Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"}
}

// Guards against a lagging list that hides a reachable instance, brings back an
// unreachable one, or undoes a leaving mark.
func TestContactOverridesList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := member.NewTable()
		c, q := table.Commands(), table.Queries()
		var out strings.Builder
		show := func(step string) {
			fmt.Fprintf(&out, "%s\n", step)
			for _, i := range q.All() {
				fmt.Fprintf(&out, "  %s/%s %s leaving=%t reachable=%t\n", i.Name, i.Incarnation, i.DataCentre, i.IsLeaving, i.IsReachable)
			}
			for _, i := range q.Candidates("espoo") {
				fmt.Fprintf(&out, "  candidate in espoo: %s\n", i.Name)
			}
		}
		a, b := newInstance("a", "a1"), newInstance("b", "b1")
		both := []member.Instance{a, b, b}

		show("at the start")
		c.ReplaceList(both, time.Now())
		show("the list names a and b")
		c.MarkUnreachable("b")
		c.ReplaceList(both, time.Now())
		show("a call to b failed, the list still names it")
		c.MarkReachable(b, time.Now())
		show("b answers again")
		time.Sleep(9 * time.Second)
		c.ReplaceList([]member.Instance{a}, time.Now())
		show("b has gone from the list, contact 9 s old")
		time.Sleep(time.Second)
		c.ReplaceList([]member.Instance{a}, time.Now())
		show("b has gone from the list, contact 10 s old")
		c.MarkLeaving("a", "a0")
		show("an earlier incarnation of a is leaving")
		c.MarkLeaving("a", "a1")
		c.ReplaceList(both, time.Now())
		show("a announced its shutdown, the list doesn't show it")
		c.MarkReachable(newInstance("a", "a2"), time.Now())
		c.ReplaceList(both, time.Now())
		show("a has restarted, the list shows the former incarnation")
		time.Sleep(10 * time.Second)
		c.ReplaceList(both, time.Now())
		show("contact with the new incarnation is 10 s old")
		c.MarkUnreachable("unknown")
		c.MarkLeaving("unknown", "u1")
		c.MarkReachable(newInstance("c", "c1"), time.Now())
		show("an unlisted instance answers")
		goldie.New(t).Assert(t, "contact", []byte(out.String()))
	})
}

// Guards against a change that alters a list which a reader already holds.
func TestListIsImmutable(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	first := member.List{}.WithPlatformList([]member.Instance{newInstance("a", "a1"), newInstance("b", "b1")}, now)
	before := fmt.Sprint(first.All(), first.InDataCentre("espoo"))
	first.WithContact(newInstance("aa", "1"), now).WithoutContact("a").WithLeaving("b", "b1")
	is.Equal(fmt.Sprint(first.All(), first.InDataCentre("espoo")), before)
	i, ok := first.ByName("b")
	is.True(ok)
	is.Equal(i.Incarnation, "b1")
	_, ok = first.ByName("c")
	is.True(!ok)
}

func BenchmarkReplaceList350(b *testing.B) {
	var listed []member.Instance
	for n := range 350 {
		i := newInstance(fmt.Sprintf("instance-%03d", n), "1")
		i.DataCentre = fmt.Sprintf("dc-%d", n%8)
		listed = append(listed, i)
	}
	c := member.NewTable().Commands()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		c.ReplaceList(listed, now)
	}
}
