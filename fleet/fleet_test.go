package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Guards against new work for a server that is leaving, gone, in an evacuated
// data centre, or whose address another server has taken over; and against the
// loss of a server whose entry only lapsed while the store was away.
func TestUsable(t *testing.T) {
	at := time.Unix(1000, 0)
	var b strings.Builder
	table := NewTable()
	c, q := table.Commands(), table.Queries()
	show := func(what string, now time.Time) {
		var ids []string
		for _, s := range q.Usable("models", now) {
			ids = append(ids, s.ID)
		}
		fmt.Fprintf(&b, "%-46s %s\n", what, strings.Join(ids, " "))
	}
	server := func(id, address, dc string, offset uint64) Server {
		return Server{ID: id, Pool: "models", Address: address, DataCentre: dc, Offset: offset}
	}
	c.Announce(server("s1", "10.0.0.1:1", "a", 1))
	c.Announce(server("s2", "10.0.0.2:1", "b", 2))
	c.Announce(Server{ID: "other", Pool: "plain", Address: "10.0.0.9:1", DataCentre: "a", Offset: 3})
	show("two servers and one of another pool", at)
	leaving := server("s1", "10.0.0.1:1", "a", 4)
	leaving.IsDraining = true
	c.Announce(leaving)
	show("the first is leaving", at)
	c.Announce(server("s1", "10.0.0.1:1", "a", 5))
	show("the first is back", at)
	c.SetEvacuated("b", true)
	show("data centre b is evacuated", at)
	c.SetEvacuated("b", false)
	show("data centre b is taken back", at)
	c.Announce(Server{ID: "s3", Pool: "plain", Address: "10.0.0.2:1", DataCentre: "b", Offset: 6})
	show("another pool has the address of the second", at)
	c.Lapse("s1", at)
	show("the entry of the first lapsed", at.Add(lapseGrace-time.Millisecond))
	show("it is still missing", at.Add(lapseGrace))
	c.Announce(server("s1", "10.0.0.1:1", "a", 7))
	show("it is listed again", at.Add(lapseGrace))
	c.Remove("s1")
	c.Lapse("s1", at)
	show("it is removed", at)
	goldie.New(t).Assert(t, "usable", []byte(b.String()))
}
