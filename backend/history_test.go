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

// history applies a sequence of events to a table and records its states.
type history struct {
	out        strings.Builder
	table      *backend.Table
	permission backend.Permission
	now        time.Time
	// sent holds the times at which the steps in flight were sent, by server.
	sent map[string][]time.Time
}

func newHistory(specs ...backend.Spec) *history {
	h := &history{table: backend.NewTable(event.Discard()), permission: backend.Permission{AllowCold: true, WarmLimitDivisor: 1}, now: start, sent: map[string][]time.Time{}}
	h.table.Commands().Sync(specs, h.now)
	return h
}

// newSpec returns the configuration of a server with a limit of 8 steps, or 1 while
// it is cold.
func newSpec(name string) backend.Spec {
	return backend.Spec{Name: name, Pool: "p", Address: name + ":1", LowestRank: 1, MaxInFlight: 8, ColdInFlight: 1}
}

// record writes an event and the state of all servers after it.
func (h *history) record(format string, values ...any) {
	fmt.Fprintf(&h.out, "%6.2fs %s\n", h.now.Sub(start).Seconds(), fmt.Sprintf(format, values...))
	for _, s := range h.table.Queries().All() {
		fmt.Fprintf(&h.out, "         %s %s %d/%d%s", s.Name, s.Warmth, s.InFlight, s.Limit(h.permission), map[bool]string{true: " leaving"}[s.IsLeaving()])
		if s.ServiceTime > 0 {
			fmt.Fprintf(&h.out, " %s", s.ServiceTime.Round(time.Millisecond))
		}
		fmt.Fprintln(&h.out)
	}
}

func (h *history) wait(d time.Duration) { h.now = h.now.Add(d) }

// send tries to reserve slots for n steps of a rank and records their servers.
func (h *history) send(n, rank int, avoid ...string) {
	var got []string
	for range n {
		if s, ok := h.table.Commands().Reserve("p", rank, avoid, h.permission, h.now); ok {
			got = append(got, s.Name)
			h.sent[s.Name] = append(h.sent[s.Name], h.now)
		}
	}
	h.record("send %d of rank %d: %d sent %s", n, rank, len(got), strings.Join(got, " "))
}

// finish ends the n oldest steps on a server, all with the same observation.
func (h *history) finish(n int, name string, o backend.Observation) {
	for range n {
		o.SentAt = h.sent[name][0]
		h.sent[name] = h.sent[name][1:]
		h.table.Commands().Release(name, o, h.now)
	}
	h.record("%d ended on %s: %q after %s", n, name, o.Reason, o.ResponseTime)
}

// report applies a load report of a given age.
func (h *history) report(name string, age time.Duration, r backend.Report) {
	r.MeasuredAt = h.now.Add(-age)
	h.table.Commands().ApplyReport(name, r, h.now)
	h.record("%s reports cold %t, leaving %t, %s, %s old", name, r.Cold, r.Leaving, r.Incarnation, age)
}

// makeWarm warms up a server with successful steps.
func (h *history) makeWarm(name string, took time.Duration) {
	h.wait(time.Second)
	h.table.Commands().ApplyReport(name, backend.Report{Incarnation: "incarnation1", MeasuredAt: h.now}, h.now)
	for range 15 {
		h.table.Commands().Reserve("p", 0, nil, h.permission, h.now)
		h.table.Commands().Release(name, backend.Observation{SentAt: h.now, ResponseTime: took, Incarnation: "incarnation1"}, h.now)
	}
	h.record("%s was warmed up", name)
}

func assertGolden(t *testing.T, name, text string) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(text))
}

func success(took time.Duration) backend.Observation {
	return backend.Observation{ResponseTime: took, Incarnation: "incarnation1"}
}

func failure(r request.Reason) backend.Observation { return backend.Observation{Reason: r} }
