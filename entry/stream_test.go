package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"

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
