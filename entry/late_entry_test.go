package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
)

// entryStep is a record of a server that an instance receives, and whether the server may
// get work after it.
type entryStep struct {
	what     string
	value    string
	isUsable bool
}

func serverEntry(state string, fields string) string {
	return fmt.Sprintf(`{"service":"models","address":"10.0.0.1:80","zone":"a","version":"v1","slots":4,"coldRemainingMs":0,"state":%q%s}`, state, fields)
}

// Guards against a server that gets work again after it was draining or removed, because
// the store executed an earlier write late: the entry arrives in a read of the store, a
// snapshot, or from another instance.
func TestLateEntryIsIgnored(t *testing.T) {
	t.Parallel()
	steps := []entryStep{
		{"ready", serverEntry("ready", `,"sequence":4,"born":5`), true},
		{"a heartbeat", serverEntry("ready", `,"sequence":6,"born":5`), true},
		{"a late heartbeat", serverEntry("ready", `,"sequence":5,"born":5`), true},
		{"draining", serverEntry("draining", `,"sequence":7,"born":5`), false},
		{"a late entry", serverEntry("ready", `,"sequence":6,"born":5`), false},
		{"draining is never revoked", serverEntry("ready", `,"sequence":8,"born":5`), false},
		{"another process", serverEntry("ready", `,"sequence":1,"born":9`), true},
		{"a late entry of the earlier process", serverEntry("ready", `,"sequence":9,"born":5`), true},
		{"removed", "", false},
		{"a late entry after the removal", serverEntry("ready", `,"sequence":1,"born":9`), false},
		{"a late entry of the first process after the removal", serverEntry("ready", `,"sequence":9,"born":5`), false},
		{"listed again", serverEntry("ready", `,"sequence":2,"born":9`), true},
		{"an incomplete entry of another writer", serverEntry("draining", ""), true},
		{"another incomplete entry", serverEntry("ready", `,"born":12`), true},
		{"an incomplete entry for a server that is draining", serverEntry("draining", `,"sequence":3,"born":9`), false},
		{"it is still draining", serverEntry("ready", ""), false},
	}
	for name, add := range map[string]func(i *Instance, record feed.Record){
		"read": func(i *Instance, r feed.Record) {
			i.addRead(platform.ServerStream, feed.Batch{End: r.Offset + 1, Records: []feed.Record{r}}, time.Now())
		},
		"snapshot": func(i *Instance, r feed.Record) {
			records := []feed.Record{r}
			if r.IsRemoved {
				records = nil
			}
			i.feeds.Commands().ApplySnapshot(platform.ServerStream, feed.Batch{End: r.Offset + 1, Records: records}, time.Now(), func(fresh []feed.Record) { i.applyRecords(platform.ServerStream, fresh) })
		},
		"reply of another instance": func(i *Instance, r feed.Record) {
			i.applyReply(heartbeat{
				Positions: []position{{Stream: platform.ServerStream, End: r.Offset + 1}},
				Missing:   []streamRecords{{Stream: platform.ServerStream, From: r.Offset, End: r.Offset + 1, Records: []feed.Record{r}}},
			}, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			i := newIdleInstance(1)
			late := 0
			i.feeds.OnLate = func(string, feed.Record) { late++ }
			for n, step := range steps {
				add(i, feed.Record{Key: "s1", Offset: uint64(n + 1), Value: []byte(step.value), IsRemoved: step.value == ""})
				if _, isUsable := i.fleet.Queries().Server("s1", time.Now()); isUsable != step.isUsable {
					t.Errorf("%s: usable %v", step.what, isUsable)
				}
			}
			is.Equal(i.feeds.Queries().State(platform.ServerStream).End, uint64(len(steps)+1))
			is.Equal(late, 5)
		})
	}
}

// Guards against a restarted instance that trusts a late write in its snapshot of the store,
// although a neighbour knows that the server was removed.
func TestRestartedInstanceAsksForRemovals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	neighbour, restarted := newIdleInstance(1), newIdleInstance(1)
	old := feed.Record{Key: "s1", Offset: 1, Value: []byte(serverEntry("ready", `,"sequence":2,"born":5`))}
	late := feed.Record{Key: "s1", Offset: 3, Value: []byte(serverEntry("ready", `,"sequence":1,"born":5`))}
	neighbour.addRead(platform.ServerStream, feed.Batch{End: 4, Records: []feed.Record{old, {Key: "s1", Offset: 2, IsRemoved: true}, late}}, time.Now())
	restarted.feeds.Commands().ApplySnapshot(platform.ServerStream, feed.Batch{End: 4, Records: []feed.Record{late}}, time.Now(), func(fresh []feed.Record) { restarted.applyRecords(platform.ServerStream, fresh) })
	isUsable := func() bool {
		_, ok := restarted.fleet.Queries().Server("s1", time.Now())
		return ok
	}
	is.True(isUsable())
	message := restarted.newHeartbeat(false)
	message.WantsRecords, message.Positions = true, withoutServers(message.Positions)
	reply, err := neighbour.handleHeartbeat(message)
	is.NoErr(err)
	restarted.applyReply(reply, time.Now())
	is.True(!isUsable())
}

// Guards against a restarted server that gets no work, because a late notice says that its
// earlier process is leaving.
func TestLateLeavingNotice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdleInstance(1)
	i.addRead(platform.ServerStream, feed.Batch{End: 2, Records: []feed.Record{{Key: "s1", Offset: 1, Value: []byte(serverEntry("ready", `,"sequence":1,"born":9`))}}}, time.Now())
	isUsableAfter := func(started int64) bool {
		leaving := fleet.Process{ServerID: "s1", Address: "10.0.0.1:80", StartedUnixMilli: started}
		_, err := i.applyNotices([]notice{{Kind: leavingNotice, Leaving: &leaving}})
		is.NoErr(err)
		_, isUsable := i.fleet.Queries().Server("s1", time.Now())
		return isUsable
	}
	is.True(isUsableAfter(5))
	is.True(!isUsableAfter(9))
}

// leavingServer returns an instance with a server that has said that it is leaving, whose
// entry was removed before, and the late write of the entry.
func leavingServer() (*Instance, feed.Record) {
	i := newIdleInstance(1)
	entry := feed.Record{Key: "s1", Offset: 1, Value: []byte(serverEntry("ready", `,"sequence":1,"born":5`))}
	i.addRead(platform.ServerStream, feed.Batch{End: 3, Records: []feed.Record{entry, {Key: "s1", Offset: 2, IsRemoved: true}}}, time.Now())
	i.recordLeaving(fleet.Process{ServerID: "s1", Address: "10.0.0.1:80", StartedUnixMilli: 5}, fromAnswer)
	return i, feed.Record{Key: "s1", Offset: 3, Value: []byte(serverEntry("ready", `,"sequence":2,"born":5`))}
}

// Guards against a new coordinator that offers a server which has told its predecessors
// that it is leaving, because the store executed a write of the server's entry late.
func TestNewCoordinatorLearnsWhoLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i, late := leavingServer()
	coordinator := newIdleInstance(1)
	i.sendPlacements(membership.Instance{Name: "n9", Address: "n9:1"})
	sent := <-i.notices.queue
	is.Equal(sent.to.Name, "n9")
	_, err := coordinator.applyNotices([]notice{sent.notice})
	is.NoErr(err)
	coordinator.addRead(platform.ServerStream, feed.Batch{End: 4, Records: []feed.Record{late}}, time.Now())
	is.Equal(len(coordinator.fleet.Queries().Usable(time.Now())["models"]), 0)
}

// Guards against a restarted instance that sends requests to a server which has told others
// that it is leaving, because the store executed a write of the server's entry late.
func TestRestartedInstanceLearnsWhoLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	neighbour, late := leavingServer()
	neighbour.addRead(platform.ServerStream, feed.Batch{End: 4, Records: []feed.Record{late}}, time.Now())
	restarted := newIdleInstance(1)
	message := restarted.newHeartbeat(false)
	message.WantsRecords, message.Positions = true, withoutServers(message.Positions)
	reply, err := neighbour.handleHeartbeat(message)
	is.NoErr(err)
	restarted.applyReply(reply, time.Now())
	listed, isUsable := restarted.fleet.Queries().Server("s1", time.Now())
	is.Equal(listed.ID, "s1")
	is.True(!isUsable)
}
