package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// Guards against new work for a server that is draining, gone, in an evacuated data
// centre, or replaced by another server at its address, and against the loss of a
// server whose entry only lapsed while the store was unavailable.
func TestUsable(t *testing.T) {
	at := time.Unix(1000, 0)
	var b strings.Builder
	table := NewTable()
	c, q := table.Commands(), table.Queries()
	show := func(what string, now time.Time) {
		var ids []string
		for _, s := range q.Usable(now)["models"] {
			ids = append(ids, s.ID)
		}
		fmt.Fprintf(&b, "%-46s %s\n", what, strings.Join(ids, " "))
	}
	server := func(id, address, dc string, offset uint64) Server {
		return Server{ID: id, Pool: "models", Address: address, DataCentre: dc, Offset: offset}
	}
	c.Apply([]Change{{Server: server("s1", "10.0.0.1:1", "a", 1)}})
	c.Apply([]Change{{Server: server("s2", "10.0.0.2:1", "b", 2)}})
	c.Apply([]Change{{Server: Server{ID: "other", Pool: "plain", Address: "10.0.0.9:1", DataCentre: "a", Offset: 3}}})
	show("two servers and one of another pool", at)
	leaving := server("s1", "10.0.0.1:1", "a", 4)
	leaving.IsDraining = true
	c.Apply([]Change{{Server: leaving}})
	show("the first is draining", at)
	c.Apply([]Change{{Server: server("s1", "10.0.0.1:1", "a", 5)}})
	show("the first is back", at)
	c.SetEvacuated("b", true)
	show("data centre b is evacuated", at)
	c.SetEvacuated("b", false)
	show("data centre b is no longer evacuated", at)
	c.Apply([]Change{{Server: Server{ID: "s3", Pool: "plain", Address: "10.0.0.2:1", DataCentre: "b", Offset: 6}}})
	show("another pool has the address of the second", at)
	c.Apply([]Change{{Server: Server{ID: "s1"}, LapsedAt: at}})
	show("the entry of the first lapsed", at.Add(lapseGracePeriod-time.Millisecond))
	show("it is still missing", at.Add(lapseGracePeriod))
	c.Apply([]Change{{Server: server("s1", "10.0.0.1:1", "a", 7)}})
	show("it is listed again", at.Add(lapseGracePeriod))
	c.Apply([]Change{{Server: Server{ID: "s1"}, IsRemoved: true}})
	c.Apply([]Change{{Server: Server{ID: "s1"}, LapsedAt: at}})
	show("it is removed", at)
	c.Apply([]Change{
		{Server: server("s4", "10.0.0.4:1", "a", 8)},
		{Server: server("s5", "10.0.0.4:1", "a", 9)},
		{Server: Server{ID: "s5"}, IsRemoved: true},
		{Server: server("s6", "10.0.0.6:1", "a", 10)},
	})
	show("changes in one step", at)
	goldie.New(t).Assert(t, "usable", []byte(b.String()))
}

// Guards against copying the list for each of many entries that arrive together, which
// takes all the processor time of the instances when a large site starts.
func TestManyChangesAtOnce(t *testing.T) {
	is := is.New(t)
	const count = 2000
	var changes []Change
	for n := range count {
		id := fmt.Sprint("s", n)
		changes = append(changes, Change{Server: Server{ID: id, Pool: "models", Address: id + ":1", Offset: uint64(n)}})
	}
	l := List{}.WithChanges(changes)
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			l = l.WithChanges(changes)
		}
	}).AllocedBytesPerOp()
	is.Equal(len(l.servers), count)
	is.True(allocated < 2000*count) // bytes: a few copies, not one for each change
}

// Guards against new work for a server that said that it is leaving, when its entry comes
// back after a removal, and against a new process that gets none.
func TestLeavingOutlastsRemoval(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable()
	c, q := table.Commands(), table.Queries()
	entry := Server{ID: "s1", Pool: "models", Address: "10.0.0.1:1", StartedUnixMilli: 1}
	isUsable := func() bool {
		_, ok := q.Server("s1", now)
		return ok
	}
	c.Apply([]Change{{Server: entry}})
	is.True(isUsable())
	is.True(c.MarkLeaving("s1"))
	is.True(!c.MarkLeaving("s1")) // known
	is.True(!isUsable())
	c.Apply([]Change{{Server: entry}})
	is.True(!isUsable())
	c.Apply([]Change{{Server: entry, IsRemoved: true}, {Server: entry}})
	is.True(!isUsable())
	entry.StartedUnixMilli = 2
	c.Apply([]Change{{Server: entry}})
	is.True(isUsable())
	c.Pause("s1", now.Add(time.Second))
	is.True(!isUsable())
	_, ok := q.Server("s1", now.Add(time.Second))
	is.True(ok)
	is.Equal(q.Paused("models", now), []string{"s1"})
	is.Equal(len(q.Usable(now)["models"]), 1) // the pause concerns this instance alone, which checks it before each send
}
