package backend_test

import (
	"testing"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

const ms = time.Millisecond

// Each case names the failure that it guards against.
var warmthCases = []struct {
	name   string
	guards string
	play   func(h *history)
}{
	{"ramp", "a cold server that gets its full limit before steps have succeeded at lower limits", func(h *history) {
		h.send(3, 0)
		h.finish(1, "a", success(100*ms)) // as many successes as the limit, but no report
		h.wait(time.Second)
		h.report("a", 100*ms, backend.Report{Incarnation: "incarnation1"})
		h.send(3, 0)
		h.finish(1, "a", success(100*ms)) // half as many successes as the limit
		h.finish(1, "a", success(100*ms))
		h.send(9, 0)
		h.finish(4, "a", success(100*ms))
		h.send(9, 0)
	}},
	{"reportFirst", "a limit that is raised by reports without successes", func(h *history) {
		h.wait(time.Second)
		for range 3 {
			h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
		}
		h.send(3, 0)
	}},
	{"coldUnderLoad", "new steps for a server that has turned cold, before its steps in flight are below the cold limit", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(9, 0)
		h.wait(time.Second)
		h.finish(1, "a", failure(request.ReasonServerCold))
		h.wait(time.Second)
		h.finish(6, "a", success(2*time.Second)) // steps that were sent while the server was warm
		h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
		h.send(2, 0)
		h.finish(1, "a", success(2*time.Second))
		h.send(2, 0)
	}},
	{"restart", "an undetected restart at the same address, or steps in flight of the previous incarnation that are no longer counted", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(4, 0)
		h.wait(time.Second)
		h.report("a", 0, backend.Report{Incarnation: "incarnation2"})
		h.send(2, 0)
		h.finish(3, "a", failure(request.ReasonServerFailed))
		h.send(2, 0)
		h.finish(1, "a", failure(request.ReasonServerFailed))
		h.wait(time.Second)
		h.send(2, 0)
		h.finish(1, "a", backend.Observation{ResponseTime: 100 * ms, Incarnation: "incarnation2"})
		h.report("a", 0, backend.Report{Incarnation: "incarnation2"})
		h.send(3, 0)
	}},
	{"lateReports", "applying a warm report from before the server was found cold, or an outdated report", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.wait(10 * time.Second)
		h.report("a", 0, backend.Report{Incarnation: "incarnation1", Cold: true})
		h.wait(time.Second)
		h.report("a", 2*time.Second, backend.Report{Incarnation: "incarnation1"}) // measured before the server was found cold
		h.send(1, 0)
		h.finish(1, "a", success(100*ms))
		h.report("a", 6*time.Second, backend.Report{Incarnation: "incarnation1", Cold: true, Leaving: true}) // outdated
		h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
		h.wait(20 * time.Second) // no reports
		h.send(9, 0)
	}},
	{"falseReports", "a limit that warm reports alone raise again after steps failed because the server is cold", func(h *history) {
		h.makeWarm("a", 100*ms)
		for range 3 {
			h.send(9, 0)
			h.finish(1, "a", failure(request.ReasonServerCold))
			h.wait(time.Second)
			h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
		}
	}},
	{"futureReports", "applying reports of a server whose clock is ahead, which seem newer than they are", func(h *history) {
		h.send(1, 0)
		h.report("a", -time.Hour, backend.Report{Incarnation: "incarnation1"})
		h.finish(1, "a", success(100*ms))
		h.send(2, 0)
		h.wait(time.Second)
		h.report("a", 0, backend.Report{Incarnation: "incarnation1", Leaving: true})
	}},
	{"reorderedReports", "a delayed report that clears the leaving state of a server", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.report("a", 0, backend.Report{Incarnation: "incarnation1", Leaving: true})
		h.report("a", time.Second, backend.Report{Incarnation: "incarnation1"})
		h.send(2, 0)
		h.wait(time.Second)
		h.report("a", 0, backend.Report{Incarnation: "incarnation1"}) // no longer leaving
		h.send(2, 0)
	}},
	{"slow", "a server that has become slow and keeps its full limit", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(9, 0)
		h.finish(1, "a", success(250*ms)) // noise
		h.finish(1, "a", success(400*ms))
		h.send(2, 0)
		h.wait(100 * ms)
		h.finish(6, "a", success(500*ms)) // sent before the first slow response
		h.send(2, 0)
		h.finish(1, "a", success(400*ms))
		h.wait(time.Second)
		h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
		h.send(2, 0)
	}},
	{"stall", "a healthy server that loses its limit for good because a short stall of the machine delayed its steps in flight", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(3, 0)
		h.finish(3, "a", success(400*ms))
		h.wait(100 * ms)
		h.permission.AllowCold = false // the lease has expired
		h.send(2, 0)
		h.finish(1, "a", success(100*ms))
		h.send(9, 0)
	}},
	{"slowWithoutLease", "a server that gets no steps until the lease returns although its reports show that it is warm again, or that gets them after too few reports", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.permission.AllowCold = false
		h.send(1, 0)
		h.finish(1, "a", success(400*ms))
		h.wait(100 * ms)
		h.send(1, 0)
		h.finish(1, "a", success(400*ms))
		h.send(1, 0)
		h.report("a", 200*ms, backend.Report{Incarnation: "incarnation1"}) // measured before the server was found cold
		for range 3 {
			h.wait(time.Second)
			h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
		}
		h.send(2, 0)
		h.finish(2, "a", failure(request.ReasonServerCold))
		for range 4 {
			h.wait(time.Second)
			h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
		}
		h.send(1, 0)
	}},
	{"frozen", "repeated steps for a frozen server, whose only symptom is steps that miss their deadlines", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(2, 0)
		h.wait(time.Second)
		h.finish(1, "a", backend.Observation{Reason: request.ReasonDeadlinePassed, ResponseTime: time.Second})
		h.finish(1, "a", backend.Observation{Reason: request.ReasonDeadlinePassed, ResponseTime: time.Second})
		h.send(1, 0)
		h.wait(200 * ms)
		h.send(1, 0)
		h.finish(1, "a", backend.Observation{Reason: request.ReasonDeadlinePassed, ResponseTime: time.Second})
		h.wait(200 * ms)
		h.send(1, 0) // the backoff has doubled
		h.wait(300 * ms)
		h.send(1, 0)
	}},
	{"shortDeadline", "a healthy server that is treated as frozen because a step had a short deadline", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(1, 0)
		h.finish(1, "a", backend.Observation{Reason: request.ReasonDeadlinePassed, ResponseTime: 90 * ms})
	}},
	{"failures", "a server that stays warm after repeated failures, or is marked as cold after a single one", func(h *history) {
		h.makeWarm("a", 100*ms)
		for range 3 {
			h.wait(time.Second)
			h.send(1, 0)
			h.finish(1, "a", failure(request.ReasonServerFailed))
		}
		h.wait(time.Second)
		h.send(2, 0)
	}},
	{"cancelled", "cancelled steps that mark a healthy server as cold", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(4, 0)
		h.finish(4, "a", failure(request.ReasonCancelled))
	}},
	{"leaving", "steps for a server that is taken out, or leaving according to the list of instances or its own report", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.table.Commands().SetListedLeaving("a", true)
		h.send(1, 0)
		h.table.Commands().SetListedLeaving("a", false)
		h.send(1, 0)
		h.report("a", 0, backend.Report{Incarnation: "incarnation1", Leaving: true})
		h.send(1, 0)
		h.report("a", 0, backend.Report{Incarnation: "incarnation1"})
		out := newSpec("a")
		out.TakenOut = true
		h.table.Commands().Sync([]backend.Spec{out}, h.now)
		h.send(1, 0)
	}},
	{"removed", "steps for a server that was deleted with steps in flight, and steps that are no longer counted when it is added again", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(3, 0)
		h.table.Commands().Sync(nil, h.now)
		h.record("deleted")
		h.table.Commands().SetListedLeaving("a", false) // the list of instances is independent of the catalogue
		h.send(1, 0)
		h.table.Commands().Sync([]backend.Spec{newSpec("a")}, h.now)
		h.send(9, 0)
	}},
	{"moved", "a server with a new address that inherits the warmth of the previous one", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.send(2, 0)
		moved := newSpec("a")
		moved.Address = "b:1"
		h.table.Commands().Sync([]backend.Spec{moved}, h.now)
		h.send(2, 0)
		h.finish(2, "a", success(100*ms))
		h.send(2, 0)
	}},
	{"lowerClasses", "a server that gets steps of a class below its lowest one", func(h *history) {
		h.send(1, 2)
		h.send(1, 1)
	}},
	{"permission", "steps above the share of a new owner, or for a cold server without the permission for cold servers", func(h *history) {
		h.permission = backend.Permission{WarmLimitDivisor: 2}
		h.send(1, 0)
		h.permission.AllowCold = true
		h.makeWarm("a", 100*ms)
		h.permission.AllowCold = false
		h.send(9, 0)
		h.permission.WarmLimitDivisor = 0
		h.send(1, 0)
	}},
	{"allCold", "full limits for servers when their data centre returns", func(h *history) {
		h.makeWarm("a", 100*ms)
		h.table.Commands().MarkAllCold(h.now)
		h.send(9, 0)
	}},
	{"unusedSlot", "a slot that is not freed if its step was not sent", func(h *history) {
		h.send(1, 0)
		h.table.Commands().CancelReservation("a")
		h.send(1, 0)
	}},
}

// Guards against the failures named by the cases.
func TestWarmth(t *testing.T) {
	for _, c := range warmthCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory(newSpec("a"))
			c.play(h)
			assertGolden(t, "warmth_"+c.name, "guards against "+c.guards+"\n"+h.out.String())
		})
	}
}

// Guards against selecting servers by name or by load alone: a fast server must get
// more steps than a slow one, a server to avoid none unless all others are full,
// and one in backoff none.
func TestChoice(t *testing.T) {
	h := newHistory(newSpec("fast"), newSpec("middle"), newSpec("slow"))
	for i, name := range []string{"fast", "middle", "slow"} {
		took := 100 * ms << i
		h.table.Commands().ApplyReport(name, backend.Report{MeasuredAt: h.now.Add(ms)}, h.now.Add(ms))
		for range 15 {
			h.table.Commands().Reserve("p", 0, allExcept(name), h.permission, h.now)
			h.table.Commands().Release(name, backend.Observation{SentAt: h.now, ResponseTime: took}, h.now)
		}
	}
	h.record("warm")
	h.send(4, 0)
	h.send(6, 0)
	h.send(4, 0, "fast", "middle")
	h.send(20, 0, "slow")
	h.finish(1, "fast", failure(request.ReasonServerFailed))
	h.send(1, 0)
	h.finish(1, "slow", success(400*ms))
	h.send(1, 0)
	assertGolden(t, "choice", h.out.String())
}

func allExcept(name string) []string {
	var others []string
	for _, n := range []string{"fast", "middle", "slow"} {
		if n != name {
			others = append(others, n)
		}
	}
	return others
}
