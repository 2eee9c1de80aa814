package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// story applies steps to a table and writes what changes.
type story struct {
	table *Table
	out   *strings.Builder
	began time.Time
	// isOwn tells the data centres of the instance's cell.
	isOwn func(dataCentre string) bool
}

func newStory(out *strings.Builder, name string) *story {
	fmt.Fprintf(out, "== %s\n", name)
	return &story{table: NewTable(), out: out, began: time.Now(), isOwn: func(string) bool { return true }}
}

func (s *story) write(format string, args ...any) {
	fmt.Fprintf(s.out, "%6.1f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *story) show(changed []Entry) {
	for _, e := range changed {
		if !e.IsQuarantined() {
			s.write("%s: quarantine ended by %v, generation %d", e.Key(), e.Succeeded, e.Generation)
			continue
		}
		var servers []string
		for _, c := range e.Evidence {
			servers = append(servers, c.Server)
		}
		s.write("%s: quarantined, level %d, crashes of %s", e.Key(), e.Level, strings.Join(servers, " "))
	}
}

func (s *story) crash(server, request string, parts ...string) {
	s.crashIn("a", server, request, parts...)
}

func (s *story) crashIn(dataCentre, server, request string, parts ...string) {
	now := time.Now()
	s.table.Commands().RecordCrash(Crash{Server: server, DataCentre: dataCentre, RequestID: request, Parts: parts, AtUnixMilli: now.UnixMilli()}, now)
	s.show(s.table.Commands().Judge(now, s.isOwn))
}

func (s *story) success(parts ...string) {
	s.show(s.table.Commands().RecordSuccess(parts, time.Now()))
}

// begin records the first event of an answer, end its end.
func (s *story) begin(id string, parts ...string) {
	s.show(s.table.Commands().RecordBegin(id, parts, time.Now()))
}

func (s *story) end(id string, isBroken bool) {
	s.show(s.table.Commands().RecordEnd(id, isBroken, time.Now()))
}

func (s *story) request(id string, parts ...string) {
	now := time.Now()
	verdict, ok := s.table.Queries().Verdict(parts, now)
	switch {
	case !ok:
		s.write("request %s with %v is served", id, parts)
	case verdict.IsProbeDue && s.table.Commands().AdmitProbe(parts, id, func(Entry, time.Duration) bool { return true }, now):
		s.write("request %s with %v is sent as a probe", id, parts)
	default:
		s.write("request %s with %v is refused for %v", id, parts, verdict.RetryAfter)
	}
}

// Guards against requests that crash one engine after the other, against a quarantine of
// parts that sound requests share, and against one that lasts though it is wrong.
func TestQuarantine(t *testing.T) {
	var out strings.Builder
	synctest.Test(t, func(*testing.T) {
		s := newStory(&out, "one part crashes three engines; the others succeed before and in between")
		s.success("first", "second")
		for n := 1; n <= 4; n++ {
			time.Sleep(time.Second)
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "first", "second", "deadly")
			s.success("first", "other")
			s.request("sound", "first", "second")
			s.request("crashing", "first", "second", "deadly")
			s.request("deadly alone", "deadly")
		}

		s = newStory(&out, "no success of any part is known: only requests with all of them are refused")
		for n := 1; n <= 3; n++ {
			time.Sleep(time.Second)
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "first", "second", "deadly")
		}
		s.request("sound", "first", "second")
		s.request("crashing", "first", "second", "deadly")
		s.success("first", "second")
		s.request("sound", "first", "second")
		s.request("deadly alone", "deadly")

		s = newStory(&out, "a part that has succeeded begins to crash engines")
		s.success("first", "second", "deadly")
		for n := 1; n <= 3; n++ {
			time.Sleep(time.Second)
			s.success("first", "second")
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "first", "second", "deadly")
		}

		s = newStory(&out, "the first event comes just before the crash")
		s.success("first", "second")
		for n := 1; n <= 3; n++ {
			id := fmt.Sprintf("r%d", n)
			time.Sleep(time.Second)
			s.begin(id, "first", "second", "deadly")
			s.begin(id, "first", "second", "deadly") // the coordinator is the same instance
			time.Sleep(SettleTime / 2)
			s.end(id, true)
			s.end(id, true)
			s.crash(fmt.Sprintf("e%d", n), id, "first", "second", "deadly")
		}
		s.request("crashing", "first", "second", "deadly")

		s = newStory(&out, "an answer that goes on, or has ended, is a success")
		for n := 1; n <= 3; n++ {
			time.Sleep(time.Second)
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "first", "second")
		}
		s.begin("long", "first")
		time.Sleep(SettleTime / 2)
		s.begin("short", "second")
		time.Sleep(SettleTime / 4)
		s.end("short", false)
		s.request("sound", "first", "second")
		time.Sleep(SettleTime / 4)
		s.begin("another", "first")
		s.request("sound", "first", "second")

		s = newStory(&out, "sixteen sound requests beside the one that crashes the engine, with parts of their own")
		for n := 1; n <= 4; n++ {
			time.Sleep(time.Second)
			for k := range 16 {
				s.success("first", fmt.Sprint("session ", k))
			}
			time.Sleep(time.Second)
			for k := range 16 {
				s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("sound %d.%d", n, k), "first", fmt.Sprint("session ", k))
			}
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "first", "deadly")
		}
		for k := range 16 {
			s.request(fmt.Sprint("sound ", k), "first", fmt.Sprint("session ", k))
		}
		s.request("crashing", "first", "deadly")

		s = newStory(&out, "engines fail together, then again: each time counts once")
		for n := 1; n <= 9; n++ {
			if n == 5 {
				time.Sleep(5 * time.Second)
			}
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "first", "second")
		}
		s.request("sound", "first", "second")

		s = newStory(&out, "several requests with the part at the same moment, whose other parts succeed")
		for n := 1; n <= 8; n++ {
			s.success(fmt.Sprint("first ", n))
		}
		time.Sleep(time.Second)
		for n := 1; n <= 8; n++ {
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), fmt.Sprint("first ", n), "deadly")
		}
		s.request("sound", "first 1")
		s.request("crashing", "first 1", "deadly")

		s = newStory(&out, "several at one engine")
		s.success("first")
		time.Sleep(time.Second)
		for n := 1; n <= 8; n++ {
			s.crash("e1", fmt.Sprintf("r%d", n), "first", "deadly")
		}
		s.request("crashing", "first", "deadly")

		s = newStory(&out, "engines fail together that work on a part which has succeeded before")
		s.success("popular")
		time.Sleep(time.Second)
		s.success("first")
		for n := 1; n <= 8; n++ {
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "first", "popular")
		}
		s.request("sound", "first", "popular")

		s = newStory(&out, "one engine breaks off all its answers")
		for n := 1; n <= 9; n++ {
			time.Sleep(time.Second)
			s.crash("e1", fmt.Sprintf("r%d", n), "first")
		}

		s = newStory(&out, "one request is repeated, and engines crash for another cause")
		for n := 1; n <= 9; n++ {
			time.Sleep(time.Second)
			s.crash(fmt.Sprintf("e%d", n), "r1", "first")
		}

		s = newStory(&out, "crashes of other causes; each part succeeds in between")
		for n := 1; n <= 9; n++ {
			time.Sleep(time.Second)
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "first", "second")
			time.Sleep(time.Second)
			s.success("first", "second")
		}

		s = newStory(&out, "old crashes don't count")
		for n := 1; n <= 3; n++ {
			time.Sleep(40 * time.Second)
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "deadly")
		}

		s = newStory(&out, "crashes in another cell only")
		s.isOwn = func(dataCentre string) bool { return dataCentre == "a" }
		for n := 1; n <= 4; n++ {
			time.Sleep(time.Second)
			s.crashIn("b", fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "deadly")
		}
		time.Sleep(time.Second)
		s.crashIn("a", "e5", "r5", "deadly")

		s = newStory(&out, "probes crash their engines, each after a longer time; then one succeeds")
		for n := 1; n <= 3; n++ {
			time.Sleep(time.Second)
			s.crash(fmt.Sprintf("e%d", n), fmt.Sprintf("r%d", n), "deadly")
		}
		for n := range 3 {
			time.Sleep(firstProbeAfter << n)
			probe := fmt.Sprintf("probe %d", n)
			s.request(probe, "deadly")
			s.request("another", "deadly")
			if n < 2 {
				time.Sleep(time.Second)
				s.crash("x"+probe, probe, "deadly")
				continue
			}
			time.Sleep(probeTimeout)
			s.request("after the time of a lost probe", "deadly")
			s.success("deadly")
		}
		s.request("another", "deadly")
	})
	goldie.New(t).Assert(t, "quarantine", []byte(out.String()))
}

// Guards against instances that end with different entries, whatever the order in which
// they learn of them, and against a quarantine of a part that another instance serves.
func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Now()
		a, b := NewTable(), NewTable()
		for n := range 3 {
			at := now.Add(time.Duration(n) * time.Second)
			a.Commands().RecordCrash(Crash{Server: fmt.Sprint("e", n), RequestID: fmt.Sprint("r", n), Parts: []string{"first", "deadly"}, AtUnixMilli: at.UnixMilli()}, at)
		}
		time.Sleep(3 * time.Second)
		now = time.Now()
		is.Equal(len(a.Commands().Judge(now, func(string) bool { return true })), 1)
		_, ok := a.Queries().Verdict([]string{"first", "deadly"}, now)
		is.True(ok)

		// The other instance has served requests with the first part.
		b.Commands().RecordSuccess([]string{"first"}, now)
		merged := b.Commands().Merge(a.Queries().Fresh(now), now)
		is.True(merged.HasNewCrashes)
		is.Equal(len(merged.Learned), 1)
		is.Equal(len(merged.Corrected), 2) // the end of the first entry, and an entry without the first part
		a.Commands().Merge(b.Queries().Fresh(now), now)
		is.Equal(a.Queries().Digest(), b.Queries().Digest())
		for _, table := range []*Table{a, b} {
			_, ok = table.Queries().Verdict([]string{"first"}, now)
			is.True(!ok)
			_, ok = table.Queries().Verdict([]string{"deadly"}, now)
			is.True(ok)
		}

		// An old version changes nothing, and the old crashes don't count again.
		old := Entry{Parts: []string{"deadly", "first"}, Level: 1, UpdatedUnixMilli: now.UnixMilli()}
		is.Equal(a.Commands().Merge(Update{Entries: []Entry{old}}, now), Merged{})
		is.Equal(len(a.Commands().Judge(now, func(string) bool { return true })), 0)
	})
}

// Guards against memory that grows with the number of crashes and parts.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	now := time.Now()
	for n := range 5_000 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		part := fmt.Sprint("p", n)
		table.Commands().RecordCrash(Crash{Server: fmt.Sprint("e", n), RequestID: fmt.Sprint("r", n), Parts: []string{part}, AtUnixMilli: at.UnixMilli()}, at)
		table.Commands().RecordSuccess([]string{fmt.Sprint("q", n)}, at)
		table.Commands().Merge(Update{Entries: []Entry{{Parts: []string{part}, Level: n % 2, UpdatedUnixMilli: at.UnixMilli()}}}, at)
	}
	is.True(len(table.crashes) <= maxCrashes)
	is.True(len(table.entries) <= maxEntries)
	is.True(len(table.successes.recent)+len(table.successes.older) <= maxSuccesses)
	is.Equal(int(table.quarantined.Load()), len(table.entries)) // those that are quarantined stay
}
