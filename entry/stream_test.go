package entry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/standin/site"
)

// sealedHead begins a successful answer of an engine.
const sealedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal\r\n"

// Guards against the error of a second engine, its text or its head, in the middle of a
// stream that the first one has begun, and against a stream that ends as if it were
// complete.
func TestErrorAfterBrokenStream(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name  string
		fault site.Fault
	}{
		{"error", site.Fault{Status: 500}},
		{"error text", site.Fault{Raw: "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nResponse-Seal: seal\r\nContent-Length: 15\r\n\r\nid: 3\nerror\n\n\n\n"}},
		{"refusal", site.Fault{IsFull: true}},
		{"text in place of events", site.Fault{Raw: sealedHead + "Content-Length: 14\r\n\r\nengine failed\n"}},
		{"head in the body", site.Fault{Raw: sealedHead + "Connection: close\r\n\r\nHTTP/1.1 500 Internal Server Error\r\n\r\n"}},
		{"nothing, with a length", site.Fault{Raw: sealedHead + "Content-Length: 0\r\n\r\n"}},
		{"nothing, ended by the connection", site.Fault{Raw: sealedHead + "Connection: close\r\n\r\n"}},
		{"events without numbers", site.Fault{Raw: sealedHead + "Connection: close\r\n\r\ndata: engine failed\n\n"}},
		{"other events", site.Fault{Raw: sealedHead + "Connection: close\r\n\r\nid: 9\ndata: 9\n\n"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestSite(t)
			s.start("n1")
			// Whichever engine is first breaks the stream off; the other one has the fault.
			s.setFault("models", site.Fault{CutAfter: 2})
			for _, w := range []string{"models-1", "models-2"} {
				other := s.workers[map[string]string{"models-1": "models-2", "models-2": "models-1"}[w]]
				s.workers[w].OnRun = func() { other.SetFault(row.fault) }
			}
			status, body, _ := s.instances[0].send("POST", "/draft/1", "key-1")
			is.Equal(status, 0) // the client sees that the stream is truncated
			is.True(strings.HasPrefix(wholeStream(), body))
		})
	}
}

// Guards against a success with an empty or short body, framed as whole, after a server
// stopped in the middle of the head of its answer and closed the connection.
func TestCutHead(t *testing.T) {
	t.Parallel()
	const plays = 5
	for range plays {
		outcomes, isServerSilent := playCutHeads(t)
		if !isServerSilent {
			goldie.New(t).Assert(t, "cutHead", []byte(outcomes))
			return
		}
	}
	t.Fatal("a sound server was silent for longer than its limit in each play")
}

// playCutHeads sends requests to servers that stop in the head of their answer. It describes
// what became of each, and reports whether a server exceeded the limit of its silence, as
// sound ones do on a busy machine.
func playCutHeads(t *testing.T) (outcomes string, isServerSilent bool) {
	s := newTestSite(t)
	for _, r := range s.routes {
		r["timeoutMs"] = 20000
	}
	s.configure()
	s.start("n1")
	n := s.instances[0]
	var lines strings.Builder
	send := func(method, path string, length int) {
		status, body, _ := n.send(method, path, "key-1")
		line, _, _ := strings.Cut(strings.TrimSpace(body), " to ")
		_, _ = fmt.Fprintf(&lines, "%s %s, head cut at %d: %d %s\n", method, path, length, status, line)
	}
	whole := sealedHead + "Content-Length: 5\r\n\r\n"
	for _, length := range []int{1, 8, 15, 17, len(sealedHead) - 1, len(sealedHead), len(whole) - 6, len(whole) - 2, len(whole) - 1} {
		s.setFault("registry", site.Fault{Raw: whole[:length]})
		send("POST", "/order/1", length) // it may have run, and there is no answer
		send("POST", "/lookup/1", length)
		s.workers["registry-2"].SetFault(site.Fault{})
		send("GET", "/lookup/1", length)
	}
	s.setFault("models", site.Fault{Raw: whole[:len(whole)-1]})
	send("POST", "/chat/1", len(whole)-1)
	send("POST", "/draft/1", len(whole)-1)
	return lines.String(), n.delivery.Retries.Values()["serverSilent"] > 0
}
