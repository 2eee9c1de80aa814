package backend_test

import (
	"testing"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

const ms = time.Millisecond

// Each case says which failure it guards against.
var warmthCases = []struct {
	name   string
	guards string
	play   func(h *history)
}{
	{"ramp", "a cold server that gets its full load before it has shown that it bears a part of it", func(h *history) {
		h.send(3, 0)
		h.end(1, "a", succeeded(100*ms)) // a round of successes without a report
		h.wait(time.Second)
		h.report("a", 100*ms, backend.Report{Incarnation: "life1"})
		h.send(3, 0)
		h.end(1, "a", succeeded(100*ms)) // half of the round
		h.end(1, "a", succeeded(100*ms))
		h.send(9, 0)
		h.end(4, "a", succeeded(100*ms))
		h.send(9, 0)
	}},
	{"reportFirst", "a ramp by reports without successes", func(h *history) {
		h.wait(time.Second)
		for range 3 {
			h.report("a", 0, backend.Report{Incarnation: "life1"})
		}
		h.send(3, 0)
	}},
	{"coldUnderLoad", "new work for a server that has turned cold without warning, before its load is below the cold limit", func(h *history) {
		h.warm("a", 100*ms)
		h.send(9, 0)
		h.wait(time.Second)
		h.end(1, "a", failed(request.ReasonServerCold))
		h.wait(time.Second)
		h.end(6, "a", succeeded(2*time.Second)) // successes of the former warm load
		h.report("a", 0, backend.Report{Incarnation: "life1"})
		h.send(2, 0)
		h.end(1, "a", succeeded(2*time.Second))
		h.send(2, 0)
	}},
	{"restart", "a restart behind the same address that is not noticed, or a load of the former life that is forgotten", func(h *history) {
		h.warm("a", 100*ms)
		h.send(4, 0)
		h.wait(time.Second)
		h.report("a", 0, backend.Report{Incarnation: "life2"})
		h.send(2, 0)
		h.end(3, "a", failed(request.ReasonServerFailed))
		h.send(2, 0)
		h.end(1, "a", failed(request.ReasonServerFailed))
		h.wait(time.Second)
		h.send(2, 0)
		h.end(1, "a", backend.Observation{Responded: 100 * ms, Incarnation: "life2"})
		h.report("a", 0, backend.Report{Incarnation: "life2"})
		h.send(3, 0)
	}},
	{"lateReports", "a report from before the cold start that counts as warm, or one that is too old to count", func(h *history) {
		h.warm("a", 100*ms)
		h.wait(10 * time.Second)
		h.report("a", 0, backend.Report{Incarnation: "life1", Cold: true})
		h.wait(time.Second)
		h.report("a", 2*time.Second, backend.Report{Incarnation: "life1"}) // from before
		h.send(1, 0)
		h.end(1, "a", succeeded(100*ms))
		h.report("a", 6*time.Second, backend.Report{Incarnation: "life1", Cold: true, Leaving: true}) // unknown
		h.report("a", 0, backend.Report{Incarnation: "life1"})
		h.wait(20 * time.Second) // no reports at all
		h.send(9, 0)
	}},
	{"lyingReports", "a report that says warm and takes the place of successes, after refusals that say cold", func(h *history) {
		h.warm("a", 100*ms)
		for range 3 {
			h.send(9, 0)
			h.end(1, "a", failed(request.ReasonServerCold))
			h.wait(time.Second)
			h.report("a", 0, backend.Report{Incarnation: "life1"})
		}
	}},
	{"futureReports", "a server whose clock is ahead, so that its reports from before the cold start seem fresh", func(h *history) {
		h.send(1, 0)
		h.report("a", -time.Hour, backend.Report{Incarnation: "life1"})
		h.end(1, "a", succeeded(100*ms))
		h.send(2, 0)
		h.wait(time.Second)
		h.report("a", 0, backend.Report{Incarnation: "life1", Leaving: true})
	}},
	{"reorderedReports", "a delayed report that makes a leaving server look as if it stayed", func(h *history) {
		h.warm("a", 100*ms)
		h.report("a", 0, backend.Report{Incarnation: "life1", Leaving: true})
		h.report("a", time.Second, backend.Report{Incarnation: "life1"})
		h.send(2, 0)
		h.wait(time.Second)
		h.report("a", 0, backend.Report{Incarnation: "life1"}) // it stays after all
		h.send(2, 0)
	}},
	{"slow", "a server that has become slow and goes on with its full load", func(h *history) {
		h.warm("a", 100*ms)
		h.send(9, 0)
		h.end(1, "a", succeeded(250*ms)) // noise
		h.end(1, "a", succeeded(400*ms))
		h.send(2, 0)
	}},
	{"frozen", "a frozen server, which gives no sign but late steps, and work for it again and again", func(h *history) {
		h.warm("a", 100*ms)
		h.send(2, 0)
		h.wait(time.Second)
		h.end(1, "a", backend.Observation{Reason: request.ReasonDeadlinePassed, Responded: time.Second})
		h.end(1, "a", backend.Observation{Reason: request.ReasonDeadlinePassed, Responded: time.Second})
		h.send(1, 0)
		h.wait(200 * ms)
		h.send(1, 0)
		h.end(1, "a", backend.Observation{Reason: request.ReasonDeadlinePassed, Responded: time.Second})
		h.wait(200 * ms)
		h.send(1, 0) // the block has doubled
		h.wait(300 * ms)
		h.send(1, 0)
	}},
	{"shortDeadline", "a healthy server that counts as frozen because a step had little time", func(h *history) {
		h.warm("a", 100*ms)
		h.send(1, 0)
		h.end(1, "a", backend.Observation{Reason: request.ReasonDeadlinePassed, Responded: 90 * ms})
	}},
	{"failures", "a server that fails again and again and stays warm, or one that is given up for one failure", func(h *history) {
		h.warm("a", 100*ms)
		for range 3 {
			h.wait(time.Second)
			h.send(1, 0)
			h.end(1, "a", failed(request.ReasonServerFailed))
		}
		h.wait(time.Second)
		h.send(2, 0)
	}},
	{"callersAtFault", "a caller that cancels or goes away and makes a healthy server cold", func(h *history) {
		h.warm("a", 100*ms)
		h.send(4, 0)
		h.end(4, "a", failed(request.ReasonCancelled))
	}},
	{"leaving", "work for a server that leaves, by the list or by its own word, or is taken out", func(h *history) {
		h.warm("a", 100*ms)
		h.table.Commands().SetListedLeaving("a", true)
		h.send(1, 0)
		h.table.Commands().SetListedLeaving("a", false)
		h.send(1, 0)
		h.report("a", 0, backend.Report{Incarnation: "life1", Leaving: true})
		h.send(1, 0)
		h.report("a", 0, backend.Report{Incarnation: "life1"})
		out := server("a")
		out.TakenOut = true
		h.table.Commands().Sync([]backend.Spec{out}, h.now)
		h.send(1, 0)
	}},
	{"removed", "work for a server that operators deleted while it was busy, and a load that is forgotten when they enter it again", func(h *history) {
		h.warm("a", 100*ms)
		h.send(3, 0)
		h.table.Commands().Sync(nil, h.now)
		h.note("deleted")
		h.table.Commands().SetListedLeaving("a", false) // the list knows nothing of the catalogue
		h.send(1, 0)
		h.table.Commands().Sync([]backend.Spec{server("a")}, h.now)
		h.send(9, 0)
	}},
	{"moved", "another server under an old name that gets the load of the former one", func(h *history) {
		h.warm("a", 100*ms)
		h.send(2, 0)
		moved := server("a")
		moved.Address = "b:1"
		h.table.Commands().Sync([]backend.Spec{moved}, h.now)
		h.send(2, 0)
		h.end(2, "a", succeeded(100*ms))
		h.send(2, 0)
	}},
	{"lowerClasses", "a server that serves a class below its own", func(h *history) {
		h.send(1, 2)
		h.send(1, 1)
	}},
	{"rights", "work past the share of a new owner, or for a cold server without the lease", func(h *history) {
		h.rights = backend.Rights{WarmShare: 2}
		h.send(1, 0)
		h.rights.Cold = true
		h.warm("a", 100*ms)
		h.rights.Cold = false
		h.send(9, 0)
		h.rights.WarmShare = 0
		h.send(1, 0)
	}},
	{"cool", "servers that are filled at once when their data centre returns", func(h *history) {
		h.warm("a", 100*ms)
		h.table.Commands().Cool(h.now)
		h.send(9, 0)
	}},
	{"returned", "a slot that is lost when nothing was sent", func(h *history) {
		h.send(1, 0)
		h.table.Commands().Return("a")
		h.send(1, 0)
	}},
}

// Guards against the failures that the cases name.
func TestWarmth(t *testing.T) {
	for _, c := range warmthCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory(server("a"))
			c.play(h)
			assertGolden(t, "warmth_"+c.name, "guards against "+c.guards+"\n"+h.out.String())
		})
	}
}

// Guards against a choice by name or by load alone: a fast server must get more
// than a slow one, an avoided one nothing unless all others are full, and a
// blocked one nothing.
func TestChoice(t *testing.T) {
	h := newHistory(server("fast"), server("middle"), server("slow"))
	for i, name := range []string{"fast", "middle", "slow"} {
		took := 100 * ms << i
		h.table.Commands().Report(name, backend.Report{MeasuredAt: h.now.Add(ms)}, h.now.Add(ms))
		for range 15 {
			h.table.Commands().Reserve("p", 0, except(name), h.rights, h.now)
			h.table.Commands().Release(name, backend.Observation{Sent: h.now, Responded: took}, h.now)
		}
	}
	h.note("warm")
	h.send(4, 0)
	h.send(6, 0)
	h.send(4, 0, "fast", "middle")
	h.send(20, 0, "slow")
	h.end(1, "fast", failed(request.ReasonServerFailed))
	h.send(1, 0)
	h.end(1, "slow", succeeded(400*ms))
	h.send(1, 0)
	assertGolden(t, "choice", h.out.String())
}

func except(name string) []string {
	var others []string
	for _, n := range []string{"fast", "middle", "slow"} {
		if n != name {
			others = append(others, n)
		}
	}
	return others
}
