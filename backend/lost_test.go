package backend_test

import (
	"testing"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// A server whose connection was lost may have restarted, so it keeps to the cold limit
// until a response or report shows its incarnation. A lost connection alone must not
// mark the server as cold. Guards against full limits and lost warmth in this case.
func TestConnectionLost(t *testing.T) {
	h := newHistory(newSpec("a"))
	h.makeWarm("a", 100*time.Millisecond)
	h.send(2, 0)
	h.wait(time.Second)
	h.loseConnection("a:1")
	h.finish(1, "a", failure(request.ReasonServerFailed))
	h.wait(time.Second)
	h.send(2, 0)
	h.finish(1, "a", success(100*time.Millisecond))
	h.send(2, 0)
	h.report("a", 1500*time.Millisecond, backend.Report{Incarnation: "incarnation1"})
	h.finish(1, "a", success(100*time.Millisecond))
	h.send(3, 0)
	h.finish(3, "a", success(100*time.Millisecond))

	h.loseConnection("b:1")
	h.wait(time.Second)
	h.loseConnection("a:1")
	h.wait(2 * time.Second)
	h.report("a", time.Second, backend.Report{Incarnation: "incarnation1"})

	h.loseConnection("a:1")
	h.wait(time.Second)
	h.send(2, 0)
	h.finish(1, "a", backend.Observation{ResponseTime: 100 * time.Millisecond, Incarnation: "incarnation2"})
	h.send(2, 0)

	h.permission = backend.Permission{WarmLimitDivisor: 2}
	h.record("the permission for cold servers has expired")
	assertGolden(t, "connection_lost", h.out.String())
}

// loseConnection reports a lost connection to the server at an address.
func (h *history) loseConnection(address string) {
	h.table.Commands().MarkConnectionLost(address, h.now)
	h.record("the connection to the server at %s was lost", address)
}
