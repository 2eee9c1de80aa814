package backend_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// history records what a table makes of a sequence of events.
type history struct {
	out    strings.Builder
	table  *backend.Table
	rights backend.Rights
	now    time.Time
	// sent holds when the steps that are in flight were sent, by server.
	sent map[string][]time.Time
}

func newHistory(specs ...backend.Spec) *history {
	h := &history{table: backend.NewTable(event.Discard()), rights: backend.Rights{Cold: true, WarmShare: 1}, now: start, sent: map[string][]time.Time{}}
	h.table.Commands().Sync(specs, h.now)
	return h
}

// server returns the entry of a server that bears 8 steps, or 1 in cold start.
func server(name string) backend.Spec {
	return backend.Spec{Name: name, Pool: "p", Address: name + ":1", LowestRank: 1, MaxInFlight: 8, ColdInFlight: 1}
}

func (h *history) note(format string, values ...any) {
	fmt.Fprintf(&h.out, "%6.2fs %s\n", h.now.Sub(start).Seconds(), fmt.Sprintf(format, values...))
	for _, s := range h.table.Queries().All() {
		fmt.Fprintf(&h.out, "         %s %s %d/%d%s", s.Name, s.Warmth, s.InFlight, s.Limit(h.rights), map[bool]string{true: " leaving"}[s.IsLeaving()])
		if s.ServiceTime > 0 {
			fmt.Fprintf(&h.out, " %s", s.ServiceTime.Round(time.Millisecond))
		}
		fmt.Fprintln(&h.out)
	}
}

func (h *history) wait(d time.Duration) { h.now = h.now.Add(d) }

// send tries to send some steps of a rank and notes which servers got them.
func (h *history) send(n, rank int, avoid ...string) {
	var got []string
	for range n {
		if s, ok := h.table.Commands().Reserve("p", rank, avoid, h.rights, h.now); ok {
			got = append(got, s.Name)
			h.sent[s.Name] = append(h.sent[s.Name], h.now)
		}
	}
	h.note("send %d of rank %d: %d sent %s", n, rank, len(got), strings.Join(got, " "))
}

// end ends the oldest steps at a server in the same way.
func (h *history) end(n int, name string, o backend.Observation) {
	for range n {
		o.Sent = h.sent[name][0]
		h.sent[name] = h.sent[name][1:]
		h.table.Commands().Release(name, o, h.now)
	}
	h.note("%d ended at %s: %q after %s", n, name, o.Reason, o.Responded)
}

// report brings a report that was measured some time ago.
func (h *history) report(name string, age time.Duration, r backend.Report) {
	r.MeasuredAt = h.now.Add(-age)
	h.table.Commands().Report(name, r, h.now)
	h.note("%s reports cold %t, leaving %t, %s, %s old", name, r.Cold, r.Leaving, r.Incarnation, age)
}

// warm fills the server by steps until it is warm.
func (h *history) warm(name string, took time.Duration) {
	h.wait(time.Second)
	h.table.Commands().Report(name, backend.Report{Incarnation: "life1", MeasuredAt: h.now}, h.now)
	for range 15 {
		h.table.Commands().Reserve("p", 0, nil, h.rights, h.now)
		h.table.Commands().Release(name, backend.Observation{Sent: h.now, Responded: took, Incarnation: "life1"}, h.now)
	}
	h.note("%s was filled by steps", name)
}

func assertGolden(t *testing.T, name, text string) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(text))
}

func succeeded(took time.Duration) backend.Observation {
	return backend.Observation{Responded: took, Incarnation: "life1"}
}

func failed(r request.Reason) backend.Observation { return backend.Observation{Reason: r} }
