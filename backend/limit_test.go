package backend_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheecrank.example/backend"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

// move is one event in the life of a pool of two servers.
type move struct {
	kind   string
	server string
	rank   int
	rights backend.Rights
	report backend.Report
	age    time.Duration
	seen   backend.Observation
	flag   bool
	wait   time.Duration
}

func (m move) String() string {
	switch m.kind {
	case "send":
		return fmt.Sprintf("send rank %d with %+v", m.rank, m.rights)
	case "end":
		return fmt.Sprintf("end %s %q %s %s", m.server, m.seen.Reason, m.seen.Responded, m.seen.Incarnation)
	case "report":
		return fmt.Sprintf("report %s cold %t leaving %t %s age %s", m.server, m.report.Cold, m.report.Leaving, m.report.Incarnation, m.age)
	case "wait":
		return "wait " + m.wait.String()
	}
	return fmt.Sprintf("%s %s %t", m.kind, m.server, m.flag)
}

var endings = []request.Reason{
	"", "", "", "", "", "", "", "", "", "", request.ReasonServerCold, request.ReasonServerFailed, request.ReasonServerUnreachable,
	request.ReasonDeadlinePassed, request.ReasonCancelled, request.ReasonResultInvalid,
}

// incarnations are nearly always the same, so that servers become warm.
var incarnations = append(slices.Repeat([]string{"1"}, 40), "2", "")

var moves = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
	return move{
		kind: rapid.SampledFrom([]string{
			"send", "send", "send", "send", "send", "send", "send", "send", "end", "end", "end", "end", "end", "end",
			"report", "report", "report", "wait", "wait", "wait", "listed", "takenOut", "deleted", "cool",
		}).Draw(t, "kind"),
		server: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"),
		rank:   rapid.IntRange(0, 2).Draw(t, "rank"),
		rights: backend.Rights{Cold: rapid.Float64().Draw(t, "cold") < 0.8, WarmShare: rapid.SampledFrom([]int{1, 1, 1, 2, 0}).Draw(t, "share")},
		report: backend.Report{
			Incarnation: rapid.SampledFrom(incarnations).Draw(t, "incarnation"),
			Cold:        rapid.Float64().Draw(t, "reportsCold") < 0.1,
			Leaving:     rapid.Float64().Draw(t, "reportsLeaving") < 0.05,
		},
		age: rapid.SampledFrom([]time.Duration{0, 0, 0, time.Second, 3 * time.Second, 7 * time.Second}).Draw(t, "age"),
		seen: backend.Observation{
			Reason:      rapid.SampledFrom(endings).Draw(t, "reason"),
			Responded:   rapid.SampledFrom([]time.Duration{100 * ms, 110 * ms, 120 * ms, 90 * ms, 100 * ms, 105 * ms, time.Second}).Draw(t, "responded"),
			Incarnation: rapid.SampledFrom(incarnations).Draw(t, "answered"),
		},
		flag: rapid.Float64().Draw(t, "flag") < 0.2,
		wait: rapid.SampledFrom([]time.Duration{ms, 300 * ms, time.Second, 6 * time.Second}).Draw(t, "wait"),
	}
}), 60, 160)

// known is what the test itself knows of a server, without the rules of the
// package.
type known struct {
	spec    backend.Spec
	sent    []time.Time
	deleted bool
	listed  bool
	// leaving is what the report says that was measured last, at heardAt.
	leaving bool
	heardAt time.Time
	// coldSince is when the latest sign of a cold start was seen, successes how
	// many steps succeeded since, reportedWarm whether a report that was measured
	// later says warm.
	coldSince    time.Time
	successes    int
	reportedWarm bool
}

func (k *known) cool(now time.Time) { k.coldSince, k.successes, k.reportedWarm = now, 0, false }

// hasShownWarmth reports whether the server has borne a round at its cold limit
// since it was cold and has reported warm.
func (k *known) hasShownWarmth() bool {
	return k.successes >= k.spec.ColdInFlight && k.reportedWarm
}

// variant changes what the table is told, to show that a check can fail. The
// zero value changes nothing.
type variant struct {
	rights func(backend.Rights) backend.Rights
	report func(r backend.Report, now time.Time) backend.Report
	seen   func(backend.Observation) backend.Observation
	rank   func(int) int
	spec   func(backend.Spec) backend.Spec
}

func apply[T any](change func(T) T, v T) T {
	if change == nil {
		return v
	}
	return change(v)
}

func (v variant) specs(servers map[string]*known) []backend.Spec {
	var specs []backend.Spec
	for _, n := range []string{"a", "b"} {
		if k := servers[n]; !k.deleted {
			specs = append(specs, apply(v.spec, k.spec))
		}
	}
	return specs
}

// violation plays moves and returns the first step that must not have been
// sent, or "".
func violation(played []move, v variant) string {
	now := start
	table := backend.NewTable(event.Discard())
	commands := table.Commands()
	servers := map[string]*known{"a": {spec: server("a")}, "b": {spec: server("b")}}
	servers["a"].spec.MaxInFlight, servers["b"].spec.MaxInFlight = 4, 4
	servers["b"].spec.ColdInFlight, servers["b"].spec.LowestRank = 2, 2
	commands.Sync(v.specs(servers), now)
	for i, m := range played {
		k := servers[m.server]
		switch m.kind {
		case "send":
			s, ok := commands.Reserve("p", apply(v.rank, m.rank), nil, apply(v.rights, m.rights), now)
			if !ok {
				continue
			}
			k = servers[s.Name]
			k.sent = append(k.sent, now)
			if fault := k.fault(m); fault != "" {
				return fmt.Sprintf("move %d: a step for %s %s; moves: %v", i, s.Name, fault, played[:i+1])
			}
		case "end":
			if len(k.sent) > 0 {
				m.seen.Sent = k.sent[0]
				k.sent = k.sent[1:]
				k.observe(m.seen, now)
				commands.Release(m.server, apply(v.seen, m.seen), now)
			}
		case "report":
			m.report.MeasuredAt = now.Add(-m.age)
			k.hear(m.report, now)
			r := m.report
			if v.report != nil {
				r = v.report(r, now)
			}
			commands.Report(m.server, r, now)
		case "wait":
			now = now.Add(m.wait)
		case "listed":
			k.listed = m.flag
			commands.SetListedLeaving(m.server, m.flag)
		case "takenOut", "deleted":
			k.edit(m, now)
			commands.Sync(v.specs(servers), now)
		case "cool":
			servers["a"].cool(now)
			servers["b"].cool(now)
			commands.Cool(now)
		}
	}
	return ""
}

// edit changes the entry of a server.
func (k *known) edit(m move, now time.Time) {
	if m.kind == "takenOut" {
		k.spec.TakenOut = m.flag
		return
	}
	if k.deleted && !m.flag && len(k.sent) == 0 {
		// The table may have forgotten the server.
		*k = known{spec: k.spec, coldSince: now}
	}
	k.deleted = m.flag
}

// observe notes the plain signs of a cold start and successes.
func (k *known) observe(o backend.Observation, now time.Time) {
	switch o.Reason {
	case request.ReasonServerCold, request.ReasonServerUnreachable:
		k.cool(now)
	case "":
		if !o.Sent.Before(k.coldSince) {
			k.successes++
		}
	}
}

func (k *known) hear(r backend.Report, now time.Time) {
	if now.Sub(r.MeasuredAt) > 5*time.Second {
		return
	}
	if r.MeasuredAt.Before(k.heardAt) {
		return
	}
	k.heardAt, k.leaving = r.MeasuredAt, r.Leaving
	if r.Cold && k.hasShownWarmth() {
		k.cool(now)
	}
	if !r.Cold && r.MeasuredAt.After(k.coldSince) {
		k.reportedWarm = true
	}
}

// fault returns why a step must not have been sent, or "". The step is in sent
// already.
func (k *known) fault(m move) string {
	switch {
	case k.deleted || k.listed || k.leaving || k.spec.TakenOut:
		return "that is leaving"
	case m.rank > k.spec.LowestRank:
		return "that doesn't serve its class"
	case len(k.sent) > k.spec.MaxInFlight:
		return "past its limit"
	case !k.hasShownWarmth() && !m.rights.Cold:
		return "that is cold, without the right"
	case !k.hasShownWarmth() && len(k.sent) > k.spec.ColdInFlight:
		return "past its cold limit"
	case !m.rights.Cold && m.rights.WarmShare == 0:
		return "without any right"
	case !m.rights.Cold && len(k.sent) > k.spec.MaxInFlight/m.rights.WarmShare:
		return "past the share of its limit"
	}
	return ""
}

// Guards against a server that gets a step past its limit, past its cold limit
// before it has shown that it is warm, without the right, or while it leaves,
// under any order of steps, reports and edits.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := violation(moves.Draw(t, "moves"), variant{}); fault != "" {
			t.Fatal(fault)
		}
	})
}

// Guards against a check of the limits that can't fail: each variant breaks one
// rule, and some history must show it.
func TestLimitsVariants(t *testing.T) {
	variants := []struct {
		name    string
		shows   string
		variant variant
	}{
		{"cold refusals are not heard", "past its cold limit", variant{seen: func(o backend.Observation) backend.Observation {
			if o.Reason == request.ReasonServerCold {
				o.Reason = request.ReasonCancelled
			}
			return o
		}}},
		{"success of earlier work counts", "past its cold limit", variant{seen: func(o backend.Observation) backend.Observation {
			o.Sent = start.Add(time.Hour)
			return o
		}}},
		{"reports of any age count", "past its cold limit", variant{report: func(r backend.Report, now time.Time) backend.Report {
			r.MeasuredAt = now
			return r
		}}},
		{"the lease is not looked at", "without the right", variant{rights: func(r backend.Rights) backend.Rights {
			r.Cold = true
			return r
		}}},
		{"a new owner uses full limits", "past the share", variant{rights: func(r backend.Rights) backend.Rights {
			r.WarmShare = min(r.WarmShare, 1)
			return r
		}}},
		{"classes are not looked at", "doesn't serve its class", variant{rank: func(int) int { return 0 }}},
		{"take-outs are not heard", "that is leaving", variant{spec: func(s backend.Spec) backend.Spec {
			s.TakenOut = false
			return s
		}}},
		{"a larger limit", "past its", variant{spec: func(s backend.Spec) backend.Spec {
			s.ColdInFlight++
			return s
		}}},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			const seeds = 3000
			for seed := range seeds {
				if strings.Contains(violation(moves.Example(seed), v.variant), v.shows) {
					return
				}
			}
			t.Fatalf("no step %s in %d histories", v.shows, seeds)
		})
	}
}
