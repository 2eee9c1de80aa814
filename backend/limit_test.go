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

// move is one random event in a pool of two servers.
type move struct {
	kind        string
	server      string
	rank        int
	permission  backend.Permission
	report      backend.Report
	age         time.Duration
	observation backend.Observation
	flag        bool
	wait        time.Duration
}

func (m move) String() string {
	switch m.kind {
	case "send":
		return fmt.Sprintf("send rank %d with %+v", m.rank, m.permission)
	case "end":
		return fmt.Sprintf("end %s %q %s %s", m.server, m.observation.Reason, m.observation.ResponseTime, m.observation.Incarnation)
	case "report":
		return fmt.Sprintf("report %s cold %t leaving %t %s age %s", m.server, m.report.Cold, m.report.Leaving, m.report.Incarnation, m.age)
	case "wait":
		return "wait " + m.wait.String()
	}
	return fmt.Sprintf("%s %s %t", m.kind, m.server, m.flag)
}

var reasons = []request.Reason{
	"", "", "", "", "", "", "", "", "", "", request.ReasonServerCold, request.ReasonServerFailed, request.ReasonServerUnreachable,
	request.ReasonDeadlinePassed, request.ReasonCancelled, request.ReasonResultInvalid,
}

// incarnations are mostly equal, so that servers become warm.
var incarnations = append(slices.Repeat([]string{"1"}, 40), "2", "")

var moves = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
	return move{
		kind: rapid.SampledFrom([]string{
			"send", "send", "send", "send", "send", "send", "send", "send", "end", "end", "end", "end", "end", "end",
			"report", "report", "report", "wait", "wait", "wait", "listed", "takenOut", "deleted", "allCold",
		}).Draw(t, "kind"),
		server:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"),
		rank:       rapid.IntRange(0, 2).Draw(t, "rank"),
		permission: backend.Permission{AllowCold: rapid.Float64().Draw(t, "cold") < 0.8, WarmLimitDivisor: rapid.SampledFrom([]int{1, 1, 1, 2, 0}).Draw(t, "share")},
		report: backend.Report{
			Incarnation: rapid.SampledFrom(incarnations).Draw(t, "incarnation"),
			Cold:        rapid.Float64().Draw(t, "reportsCold") < 0.1,
			Leaving:     rapid.Float64().Draw(t, "reportsLeaving") < 0.05,
		},
		age: rapid.SampledFrom([]time.Duration{0, 0, 0, time.Second, 3 * time.Second, 7 * time.Second}).Draw(t, "age"),
		observation: backend.Observation{
			Reason:       rapid.SampledFrom(reasons).Draw(t, "reason"),
			ResponseTime: rapid.SampledFrom([]time.Duration{100 * ms, 110 * ms, 120 * ms, 90 * ms, 100 * ms, 105 * ms, time.Second}).Draw(t, "responded"),
			Incarnation:  rapid.SampledFrom(incarnations).Draw(t, "answered"),
		},
		flag: rapid.Float64().Draw(t, "flag") < 0.2,
		wait: rapid.SampledFrom([]time.Duration{ms, 300 * ms, time.Second, 6 * time.Second}).Draw(t, "wait"),
	}
}), 60, 160)

// serverModel is the test's own model of a server, which is independent of the
// rules of the package.
type serverModel struct {
	spec    backend.Spec
	sent    []time.Time
	deleted bool
	listed  bool
	// leaving is the value in the most recently measured report, whose time is
	// lastReportAt.
	leaving      bool
	lastReportAt time.Time
	// coldSince is when the server was last found cold. successes counts the steps
	// that were sent later and succeeded, and reportedWarm is set by a warm report
	// that was measured later.
	coldSince    time.Time
	successes    int
	reportedWarm bool
}

func (k *serverModel) markCold(now time.Time) {
	k.coldSince, k.successes, k.reportedWarm = now, 0, false
}

// isProvenWarm reports whether, after it was last cold, the server has completed as
// many steps as its cold limit and has reported warm.
func (k *serverModel) isProvenWarm() bool {
	return k.successes >= k.spec.ColdInFlight && k.reportedWarm
}

// variant changes inputs of the table to break one rule, which shows that the check
// can fail. The zero value changes nothing.
type variant struct {
	permission  func(backend.Permission) backend.Permission
	report      func(r backend.Report, now time.Time) backend.Report
	observation func(backend.Observation) backend.Observation
	rank        func(int) int
	spec        func(backend.Spec) backend.Spec
}

func apply[T any](change func(T) T, v T) T {
	if change == nil {
		return v
	}
	return change(v)
}

func (v variant) specs(servers map[string]*serverModel) []backend.Spec {
	var specs []backend.Spec
	for _, n := range []string{"a", "b"} {
		if k := servers[n]; !k.deleted {
			specs = append(specs, apply(v.spec, k.spec))
		}
	}
	return specs
}

// violation applies moves to a table and describes the first step that must not
// have been sent, or returns "".
func violation(played []move, v variant) string {
	now := start
	table := backend.NewTable(event.Discard())
	commands := table.Commands()
	servers := map[string]*serverModel{"a": {spec: newSpec("a")}, "b": {spec: newSpec("b")}}
	servers["a"].spec.MaxInFlight, servers["b"].spec.MaxInFlight = 4, 4
	servers["b"].spec.ColdInFlight, servers["b"].spec.LowestRank = 2, 2
	commands.Sync(v.specs(servers), now)
	for i, m := range played {
		k := servers[m.server]
		switch m.kind {
		case "send":
			s, ok := commands.Reserve("p", apply(v.rank, m.rank), nil, apply(v.permission, m.permission), now)
			if !ok {
				continue
			}
			k = servers[s.Name]
			k.sent = append(k.sent, now)
			if fault := k.limitViolation(m); fault != "" {
				return fmt.Sprintf("move %d: a step for %s %s; moves: %v", i, s.Name, fault, played[:i+1])
			}
		case "end":
			if len(k.sent) > 0 {
				m.observation.SentAt = k.sent[0]
				k.sent = k.sent[1:]
				k.observe(m.observation, now)
				commands.Release(m.server, apply(v.observation, m.observation), now)
			}
		case "report":
			m.report.MeasuredAt = now.Add(-m.age)
			k.applyReport(m.report, now)
			r := m.report
			if v.report != nil {
				r = v.report(r, now)
			}
			commands.ApplyReport(m.server, r, now)
		case "wait":
			now = now.Add(m.wait)
		case "listed":
			k.listed = m.flag
			commands.SetListedLeaving(m.server, m.flag)
		case "takenOut", "deleted":
			k.applyEdit(m, now)
			commands.Sync(v.specs(servers), now)
		case "allCold":
			servers["a"].markCold(now)
			servers["b"].markCold(now)
			commands.MarkAllCold(now)
		}
	}
	return ""
}

// applyEdit changes the configuration of a server.
func (k *serverModel) applyEdit(m move, now time.Time) {
	if m.kind == "takenOut" {
		k.spec.TakenOut = m.flag
		return
	}
	if k.deleted && !m.flag && len(k.sent) == 0 {
		// The table may have dropped the state of the server.
		*k = serverModel{spec: k.spec, coldSince: now}
	}
	k.deleted = m.flag
}

// observe applies failures that show a cold server, and successes.
func (k *serverModel) observe(o backend.Observation, now time.Time) {
	switch o.Reason {
	case request.ReasonServerCold, request.ReasonServerUnreachable:
		k.markCold(now)
	case "":
		if !o.SentAt.Before(k.coldSince) {
			k.successes++
		}
	}
}

// applyReport applies a load report unless it is outdated or out of order.
func (k *serverModel) applyReport(r backend.Report, now time.Time) {
	if now.Sub(r.MeasuredAt) > 5*time.Second {
		return
	}
	if r.MeasuredAt.Before(k.lastReportAt) {
		return
	}
	k.lastReportAt, k.leaving = r.MeasuredAt, r.Leaving
	if r.Cold && k.isProvenWarm() {
		k.markCold(now)
	}
	if !r.Cold && r.MeasuredAt.After(k.coldSince) {
		k.reportedWarm = true
	}
}

// limitViolation returns the reason why a step must not have been sent, or "". The step is
// already contained in sent.
func (k *serverModel) limitViolation(m move) string {
	switch {
	case k.deleted || k.listed || k.leaving || k.spec.TakenOut:
		return "that is leaving"
	case m.rank > k.spec.LowestRank:
		return "that doesn't serve its class"
	case len(k.sent) > k.spec.MaxInFlight:
		return "above its limit"
	case !k.isProvenWarm() && !m.permission.AllowCold:
		return "that is cold, without permission"
	case !k.isProvenWarm() && len(k.sent) > k.spec.ColdInFlight:
		return "above its cold limit"
	case !m.permission.AllowCold && m.permission.WarmLimitDivisor == 0:
		return "without any permission"
	case !m.permission.AllowCold && len(k.sent) > k.spec.MaxInFlight/m.permission.WarmLimitDivisor:
		return "above the share of its limit"
	}
	return ""
}

// Guards against sending a step to a server above its limit, above its cold limit
// before it is proven warm, without permission, or while it is leaving, in any
// order of steps, reports and edits.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if found := violation(moves.Draw(t, "moves"), variant{}); found != "" {
			t.Fatal(found)
		}
	})
}

// The check of TestLimits must detect each variant, which breaks one rule, in some
// sequence of moves. Guards against a check that passes whatever the code does.
func TestLimitsVariants(t *testing.T) {
	variants := []struct {
		name    string
		shows   string
		variant variant
	}{
		{"cold failures are ignored", "above its cold limit", variant{observation: func(o backend.Observation) backend.Observation {
			if o.Reason == request.ReasonServerCold {
				o.Reason = request.ReasonCancelled
			}
			return o
		}}},
		{"successes of steps sent earlier are counted", "above its cold limit", variant{observation: func(o backend.Observation) backend.Observation {
			o.SentAt = start.Add(time.Hour)
			return o
		}}},
		{"reports of any age are applied", "above its cold limit", variant{report: func(r backend.Report, now time.Time) backend.Report {
			r.MeasuredAt = now
			return r
		}}},
		{"the permission for cold servers is ignored", "without permission", variant{permission: func(p backend.Permission) backend.Permission {
			p.AllowCold = true
			return p
		}}},
		{"a new owner uses full limits", "above the share", variant{permission: func(p backend.Permission) backend.Permission {
			p.WarmLimitDivisor = min(p.WarmLimitDivisor, 1)
			return p
		}}},
		{"classes are ignored", "doesn't serve its class", variant{rank: func(int) int { return 0 }}},
		{"taken-out servers are used", "that is leaving", variant{spec: func(s backend.Spec) backend.Spec {
			s.TakenOut = false
			return s
		}}},
		{"the cold limit is too large", "above its", variant{spec: func(s backend.Spec) backend.Spec {
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
			t.Fatalf("no step %s in %d sequences of moves", v.shows, seeds)
		})
	}
}
