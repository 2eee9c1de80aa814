package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/feed"
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
		return Server{ID: id, Pool: "models", Address: address, DataCentre: dc, EntryPosition: feed.Position{Offset: offset}}
	}
	c.Apply([]Change{{Server: server("s1", "10.0.0.1:1", "a", 1)}})
	c.Apply([]Change{{Server: server("s2", "10.0.0.2:1", "b", 2)}})
	c.Apply([]Change{{Server: Server{ID: "other", Pool: "plain", Address: "10.0.0.9:1", DataCentre: "a", EntryPosition: feed.Position{Offset: 3}}}})
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
	c.Apply([]Change{{Server: Server{ID: "s3", Pool: "plain", Address: "10.0.0.2:1", DataCentre: "b", EntryPosition: feed.Position{Offset: 6}}}})
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
		changes = append(changes, Change{Server: Server{ID: id, Pool: "models", Address: id + ":1", EntryPosition: feed.Position{Offset: uint64(n)}}})
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

// Guards against new work for a process that said that it is leaving or wants no requests,
// whichever of its statement, its entry and the removal of its entry comes first; and
// against a new process that gets none because of an earlier one.
func TestStatements(t *testing.T) {
	var b strings.Builder
	at := time.Unix(1000, 0)
	for _, row := range []struct {
		what  string
		steps string
	}{
		{"said while listed", "list leave"},
		{"a heartbeat after it", "list leave list"},
		{"the entry comes back after a removal", "list leave remove list"},
		{"removed and back at once", "list leave remove+list"},
		{"said after the removal", "list remove leave list"},
		{"said before the first entry", "leave list"},
		{"the entry lapses and comes back", "list leave lapse list"},
		{"replaced at its address and back", "list leave replace list"},
		{"a later process", "list leave remove later"},
		{"a later process without a removal", "list leave later"},
		{"said after the later process is listed", "list later leave"},
		{"the earlier process is back after the later one", "list leave later list"},
		{"pause while listed", "list pause"},
		{"pause, removed and back", "list pause remove list"},
		{"pause after the removal", "list remove pause list"},
		{"pause and a later process", "list pause later"},
		{"no start time: said while listed", "unnamed leaveUnnamed"},
		{"no start time: the entry comes back", "unnamed leaveUnnamed remove unnamed"},
		{"no start time: listed much later", "unnamed leaveUnnamed remove wait unnamed"},
	} {
		table := NewTable()
		c, q := table.Commands(), table.Queries()
		now := at
		entry := func(started int64) Server {
			return Server{ID: "s1", Pool: "models", Address: "10.0.0.1:1", StartedUnixMilli: started}
		}
		removal := Change{Server: Server{ID: "s1"}, IsRemoved: true}
		for step := range strings.FieldsSeq(row.steps) {
			switch step {
			case "list":
				c.Apply([]Change{{Server: entry(1)}})
			case "later":
				c.Apply([]Change{{Server: entry(2)}})
			case "unnamed":
				c.Apply([]Change{{Server: entry(0)}})
			case "remove":
				c.Apply([]Change{removal})
			case "remove+list":
				c.Apply([]Change{removal, {Server: entry(1)}})
			case "lapse":
				c.Apply([]Change{{Server: Server{ID: "s1"}, LapsedAt: now}})
			case "replace":
				c.Apply([]Change{{Server: Server{ID: "s2", Pool: "models", Address: "10.0.0.1:1", EntryPosition: feed.Position{Offset: 1}}}, {Server: Server{ID: "s2"}, IsRemoved: true}})
			case "leave":
				c.MarkLeaving(entry(1).Process(), now)
			case "leaveUnnamed":
				c.MarkLeaving(entry(0).Process(), now)
			case "pause":
				c.Pause(entry(1).Process(), now.Add(time.Minute), now)
			case "wait":
				now = now.Add(unnamedLeavingPeriod)
			}
		}
		_, isUsable := q.Server("s1", now)
		_, isUsableLater := q.Server("s1", now.Add(time.Minute))
		fmt.Fprintf(&b, "%-48s usable %-5v after a minute %v\n", row.what, isUsable, isUsableLater)
	}
	goldie.New(t).Assert(t, "statements", []byte(b.String()))
}

// Guards against a statement that is reported as new again and again, and against a pause
// that outlasts its time.
func TestStatementIsNewOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable()
	c, q := table.Commands(), table.Queries()
	entry := Server{ID: "s1", Pool: "models", Address: "10.0.0.1:1", StartedUnixMilli: 1}
	c.Apply([]Change{{Server: entry}})
	c.Pause(entry.Process(), now.Add(time.Second), now)
	_, ok := q.Server("s1", now)
	is.True(!ok)
	is.Equal(q.Paused("models", now), []string{"s1"})
	is.Equal(len(q.Usable(now)["models"]), 1) // the pause concerns this instance alone, which checks it before each send
	_, ok = q.Server("s1", now.Add(time.Second))
	is.True(ok)
	is.True(c.MarkLeaving(entry.Process(), now))
	is.True(!c.MarkLeaving(entry.Process(), now)) // known
	is.Equal(q.Leaving(now.Add(recentPeriod)), []Process{entry.Process()})
	c.Apply([]Change{{Server: entry, IsRemoved: true}})
	is.Equal(q.Leaving(now), []Process{entry.Process()})
	is.Equal(len(q.Leaving(now.Add(recentPeriod))), 0)
}

// Guards against statements that grow without bound, and against one of a listed process
// that is forgotten for newer ones.
func TestStatementsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable()
	c, q := table.Commands(), table.Queries()
	entry := Server{ID: "s1", Pool: "models", Address: "10.0.0.1:1", StartedUnixMilli: 1}
	departed := Process{ServerID: "d0", Address: "10.0.0.2:1", StartedUnixMilli: 1}
	c.Apply([]Change{{Server: entry}})
	c.MarkLeaving(entry.Process(), now)
	for n := range maxStatements {
		departed.ServerID = fmt.Sprint("d", n)
		c.MarkLeaving(departed, now.Add(time.Duration(n+1)))
	}
	is.Equal(len(table.current.Load().statements), maxStatements)
	_, ok := q.Server("s1", now)
	is.True(!ok)
	is.True(!c.MarkLeaving(departed, now)) // the newest is kept
}
