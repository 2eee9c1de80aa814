package entry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

// returnPlay is a store that comes back from an older copy, an instance that reads it, and
// one that gets all records from the first.
type returnPlay struct {
	t                *testing.T
	store            *site.Store
	reader, follower *Instance
	copied           site.Copy
	lines            strings.Builder
}

func newReturnPlay(t *testing.T) *returnPlay {
	p := &returnPlay{t: t, store: site.NewStore()}
	t.Cleanup(p.store.Close)
	p.reader, p.follower = p.newInstance("n1"), p.newInstance("n2")
	return p
}

func (p *returnPlay) newInstance(name string) *Instance {
	i := New(platform.Settings{Name: name, DataCentre: "a", PeerAddress: name + ":1", StoreAddress: p.store.Address()}, io.Discard)
	p.t.Cleanup(func() { _ = i.Logger.Close() })
	return i
}

func (p *returnPlay) configure(version int) {
	p.store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version": version, "services": []map[string]any{{"name": "models"}},
	})
}

func (p *returnPlay) evacuate(isEvacuated bool) {
	if !isEvacuated {
		p.store.Put(platform.OperatorStream, platform.EvacuationPrefix+"a", nil)
		return
	}
	p.store.PutJSON(platform.OperatorStream, platform.EvacuationPrefix+"a", map[string]any{})
}

// announce writes the entry of a server, or removes it if the state is empty.
func (p *returnPlay) announce(id, state string, sequence int) {
	if state == "" {
		p.store.Put(platform.ServerStream, id, nil)
		return
	}
	text := serverEntry(state, fmt.Sprintf(`,"sequence":%d,"born":5`, sequence))
	p.store.Put(platform.ServerStream, id, []byte(strings.Replace(text, "10.0.0.1", "10.0.0."+id, 1)))
}

// save makes the copy from which restore brings the store back.
func (p *returnPlay) save() {
	p.step("saved")
	p.copied = p.store.Copy()
}

func (p *returnPlay) restore() { p.store.Restore(p.copied) }

// read makes an instance read what it lacks from the store.
func (p *returnPlay) read(i *Instance) {
	for _, stream := range streams {
		if _, err := i.readStore(p.t.Context(), stream, 0); err != nil {
			fmt.Fprintf(&p.lines, "  %s: %v\n", stream, err)
		}
	}
}

// exchange makes an instance ask another one for what it lacks.
func (p *returnPlay) exchange(asking, asked *Instance) {
	message := asking.newHeartbeat(false)
	message.WantsRecords = true
	if asking.wantsAllRecords(time.Now()) {
		message.Positions = withoutServers(message.Positions)
		asking.allRecordsUntil.Store(0)
	}
	reply, err := asked.handleHeartbeat(message)
	is.New(p.t).NoErr(err)
	asking.applyReply(reply, time.Now())
}

// step lets both instances follow, and notes what they believe.
func (p *returnPlay) step(what string) {
	p.read(p.reader)
	p.exchange(p.follower, p.reader)
	p.note(what, p.reader, p.follower)
}

func (p *returnPlay) note(what string, instances ...*Instance) {
	fmt.Fprintf(&p.lines, "  %s:", what)
	for _, i := range instances {
		var servers []string
		for _, s := range i.fleet.Queries().Usable(time.Now())["models"] {
			servers = append(servers, s.ID)
		}
		slices.Sort(servers)
		text := fmt.Sprintf("version %d", i.routes.Queries().Current().Version)
		if len(servers) > 0 {
			text += " servers " + strings.Join(servers, ",")
		}
		if i.fleet.Queries().IsEvacuated("a") {
			text += " evacuated"
		}
		fmt.Fprintf(&p.lines, " [%s]", text)
	}
	p.lines.WriteByte('\n')
}

// returnPlays are histories of the store.
var returnPlays = []struct {
	name string
	play func(p *returnPlay)
}{
	{"the configuration is written again", func(p *returnPlay) {
		p.configure(3)
		p.save()
		for _, version := range []int{5, 8, 9} {
			p.configure(version)
		}
		p.step("9 is in force")
		p.restore()
		p.step("back")
		p.configure(9)
		p.step("9 again")
		p.configure(14)
		p.step("14")
	}},
	{"only a newer configuration is written", func(p *returnPlay) {
		p.configure(3)
		p.save()
		p.configure(9)
		p.step("9 is in force")
		p.restore()
		p.step("back")
		p.configure(14)
		p.step("14")
	}},
	{"the stream is longer than before at the first read", func(p *returnPlay) {
		p.configure(3)
		p.save()
		p.configure(9)
		p.step("9 is in force")
		p.restore()
		p.configure(14)
		p.evacuate(true)
		p.evacuate(false)
		p.step("back")
		p.configure(15)
		p.step("15")
	}},
	{"the stream is as long as before at the first read", func(p *returnPlay) {
		p.configure(3)
		p.save()
		p.configure(9)
		p.step("9 is in force")
		p.restore()
		p.configure(14)
		p.step("back")
	}},
	{"the operator writes all lost versions again", func(p *returnPlay) {
		p.configure(3)
		p.save()
		p.configure(8)
		p.configure(9)
		p.step("9 is in force")
		p.restore()
		p.step("back")
		p.configure(8)
		p.step("8 again")
		p.configure(9)
		p.configure(14)
		p.step("14")
	}},
	{"two returns in a row", func(p *returnPlay) {
		p.configure(3)
		p.save()
		p.configure(9)
		p.step("9 is in force")
		p.restore()
		p.step("back")
		p.configure(9)
		p.configure(14)
		p.step("14")
		p.restore()
		p.step("back again")
		p.configure(14)
		p.configure(20)
		p.step("20")
	}},
	{"an evacuation is lost", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.save()
		p.evacuate(true)
		p.step("evacuated")
		p.restore()
		p.step("back")
		p.evacuate(true)
		p.step("again")
		p.evacuate(false)
		p.step("taken back")
	}},
	{"a lost evacuation is taken back before the first read", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.save()
		p.evacuate(true)
		p.step("evacuated")
		p.restore()
		p.evacuate(false)
		p.step("back")
	}},
	{"an evacuation is lost, after an earlier one was taken back", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.evacuate(true)
		p.evacuate(false)
		p.save()
		p.evacuate(true)
		p.step("evacuated")
		p.restore()
		p.step("back")
		p.evacuate(true)
		p.evacuate(false)
		p.step("taken back")
	}},
	{"another instance knows of the lost evacuation, and the reader doesn't", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.evacuate(true)
		p.evacuate(false)
		p.step("taken back")
		p.reader = p.newInstance("n3")
		p.read(p.reader)
		p.save()
		p.evacuate(true)
		p.read(p.follower)
		p.note("read by one", p.follower)
		p.restore()
		p.read(p.reader)
		p.exchange(p.follower, p.reader)
		p.exchange(p.reader, p.follower)
		p.note("back", p.reader, p.follower)
	}},
	{"a server was unlisted for a moment before the copy", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.step("start")
		p.announce("1", "", 0)
		p.announce("1", "ready", 2)
		p.save()
		p.announce("1", "ready", 3)
		p.step("heartbeat")
		p.restore()
		p.step("back")
		p.announce("1", "ready", 4)
		p.step("heartbeat")
		p.restore()
		p.read(p.follower)
		p.note("back again", p.follower)
	}},
	{"the end of an evacuation is lost", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.evacuate(true)
		p.save()
		p.evacuate(false)
		p.step("taken back")
		p.restore()
		p.step("back")
		p.evacuate(false)
		p.step("taken back again")
	}},
	{"a server is new since the copy", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.save()
		p.announce("2", "ready", 1)
		p.step("2 is listed")
		p.restore()
		p.step("back")
		p.announce("2", "ready", 1)
		p.announce("1", "ready", 2)
		p.step("heartbeats")
		p.announce("2", "", 0)
		p.step("2 has left")
	}},
	{"servers left since the copy", func(p *returnPlay) {
		p.configure(3)
		for _, id := range []string{"1", "2", "3"} {
			p.announce(id, "ready", 1)
		}
		p.save()
		p.announce("1", "ready", 2)
		p.announce("1", "", 0)
		p.announce("2", "draining", 2)
		p.step("1 and 2 have left")
		p.restore()
		p.step("back")
		p.announce("3", "ready", 2)
		p.announce("1", "ready", 2)
		p.announce("2", "ready", 1)
		p.step("late heartbeats")
		p.announce("1", "ready", 3)
		p.step("1 is back")
	}},
	{"an instance starts before the configuration is written again", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.announce("2", "ready", 1)
		p.save()
		p.configure(9)
		p.announce("1", "", 0)
		p.evacuate(true)
		p.step("9 is in force")
		p.restore()
		p.step("back")
		started := p.newInstance("n3")
		p.read(started)
		p.exchange(started, p.follower)
		p.note("started", started)
	}},
	{"an instance is cut off, or frozen, over a return", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.announce("2", "ready", 1)
		p.save()
		p.configure(9)
		p.evacuate(true)
		p.announce("1", "", 0)
		p.read(p.reader)
		p.restore()
		p.read(p.reader)
		p.configure(14)
		p.announce("2", "ready", 2)
		p.announce("3", "ready", 1)
		p.note("before it is back", p.reader, p.follower)
		p.step("by another instance")
		p.evacuate(true)
		p.evacuate(false)
		p.step("taken back")
	}},
	{"an instance is cut off over two returns, and reads the store itself", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.announce("2", "ready", 1)
		p.save()
		p.evacuate(true)
		p.step("evacuated")
		p.restore()
		p.evacuate(false)
		p.announce("1", "", 0)
		p.read(p.reader)
		p.restore()
		p.evacuate(true)
		p.evacuate(false)
		p.configure(14)
		p.read(p.reader)
		p.read(p.follower)
		p.note("read", p.reader, p.follower)
		p.exchange(p.follower, p.reader)
		p.note("asked", p.follower)
	}},
	{"an instance reads the store before it hears of what is lost", func(p *returnPlay) {
		p.configure(3)
		p.announce("1", "ready", 1)
		p.save()
		p.configure(9)
		p.evacuate(true)
		p.read(p.reader)
		p.restore()
		p.read(p.follower)
		p.exchange(p.follower, p.reader)
		p.note("the other one still has the earlier era", p.follower)
		p.exchange(p.reader, p.follower)
		p.note("both", p.reader, p.follower)
	}},
}

// Guards against instances that ignore operators and servers after the store has come back
// from an older copy, because they compare offsets of two eras, and against instances that
// return to what the copy holds: an older configuration, servers that have left, or an
// evacuated data centre.
func TestStoreReturn(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for _, r := range returnPlays {
		p := newReturnPlay(t)
		r.play(p)
		fmt.Fprintf(&b, "%s\n%s", r.name, p.lines.String())
	}
	goldie.New(t).Assert(t, "storeReturn", []byte(b.String()))
}

// Guards against an instance that handles all requests by an old configuration after the
// store has come back from an older copy, and reads the store without a pause meanwhile.
func TestRunningInstancesFollowReturnedStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1", "n2")
	isInForce := func(version int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(s.instances, func(n *testInstance) bool { return n.routes.Queries().Current().Version != int64(version) })
		}
	}
	s.waitFor("the first configuration is in force", isInForce(1))
	older := s.store.Copy()
	s.configure()
	s.configure()
	s.waitFor("the lost configuration is in force", isInForce(3))
	s.store.SetDown(true)
	s.waitFor("the store is noticed to be away", func() bool { return s.instances[0].storeCalls.Values()["log-read.503"] > 0 })
	s.store.Restore(older)
	for _, n := range s.instances {
		s.waitFor(n.Settings.Name+" follows the new era", func() bool {
			return n.feeds.Queries().State(platform.OperatorStream).Era == 2 && n.feeds.Queries().State(platform.ServerStream).Era == 2
		})
		is.Equal(n.routes.Queries().Current().Version, int64(3))
	}
	s.workspaces[0]["apiKeys"] = []string{"key-2"}
	s.configure()
	s.waitFor("the new configuration is in force", isInForce(4))
	for _, n := range s.instances {
		status, _, _ := n.send("GET", "/lookup/1", "key-1")
		is.Equal(status, 401)
		status, _, _ = n.send("GET", "/lookup/1", "key-2")
		is.Equal(status, 200)
		is.True(n.storeCalls.Values()["log-newest.200"] < 20)
	}
}
