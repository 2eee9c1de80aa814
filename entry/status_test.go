package entry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/standin/site"
)

// Guards against a client that gets no answer, or one with a status that HTTP doesn't have,
// because that is the status of a faulty server's answer.
func TestServerWithInvalidStatus(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s.start("n1")
	var b strings.Builder
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, path := range []string{"/order/1", "/lookup/1", "/chat/1"} {
			// Servers get no requests for a while after a failure.
			s.setFault("registry", site.Fault{})
			s.setFault("models", site.Fault{})
			s.waitFor("the servers are in use again", func() bool {
				got, _, _ := s.instances[0].send("POST", path, "key-1")
				return got == 200
			})
			f := site.Fault{Raw: "HTTP/1.1 " + status + " Trouble\r\nAttempt-Id: {id}\r\nResponse-Seal: seal\r\nContent-Length: 5\r\n\r\nfiled"}
			s.setFault("registry", f)
			s.setFault("models", f)
			got, body, _ := s.instances[0].send("POST", path, "key-1")
			fmt.Fprintf(&b, "%s %-9s %d %v\n", status, path, got, strings.Contains(body, "filed"))
		}
	}
	goldie.New(t).Assert(t, "invalid_status", []byte(b.String()))
}
