package backend_test

import (
	"testing"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// Guards against a warm server that restarts behind its address and gets its full
// load until an answer names the new incarnation, and against one that is given
// up for a lost connection.
func TestConnectionLost(t *testing.T) {
	h := newHistory(server("a"))
	h.warm("a", 100*time.Millisecond)
	h.send(2, 0)
	h.wait(time.Second)
	h.lose("a:1")
	h.end(1, "a", failed(request.ReasonServerFailed))
	h.wait(time.Second)
	h.send(2, 0)
	h.end(1, "a", succeeded(100*time.Millisecond))
	h.send(2, 0)
	h.report("a", 1500*time.Millisecond, backend.Report{Incarnation: "life1"})
	h.end(1, "a", succeeded(100*time.Millisecond))
	h.send(3, 0)
	h.end(3, "a", succeeded(100*time.Millisecond))

	h.lose("b:1")
	h.wait(time.Second)
	h.lose("a:1")
	h.wait(2 * time.Second)
	h.report("a", time.Second, backend.Report{Incarnation: "life1"})

	h.lose("a:1")
	h.wait(time.Second)
	h.send(2, 0)
	h.end(1, "a", backend.Observation{Responded: 100 * time.Millisecond, Incarnation: "life2"})
	h.send(2, 0)

	h.rights = backend.Rights{WarmShare: 2}
	h.note("the right to cold servers has ended")
	assertGolden(t, "connection_lost", h.out.String())
}

// lose ends a connection of the server at an address.
func (h *history) lose(address string) {
	h.table.Commands().ConnectionLost(address, h.now)
	h.note("a connection to %s was lost", address)
}
