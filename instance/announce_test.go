package instance

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against an answer to a request that began before a planned stop and doesn't say that
// its connection closes, so that its caller uses the connection while it is being closed.
func TestAnswerOfEarlierRequestAnnouncesClose(t *testing.T) {
	for name, write := range map[string]func(w http.ResponseWriter){
		"nothing": func(http.ResponseWriter) {},
		"head":    func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
		"body":    func(w http.ResponseWriter) { _, _ = io.WriteString(w, "body") },
		"stream":  func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := &Instance{}
			server := httptest.NewServer(i.announceClose(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				i.isLeaving.Store(true)
				write(w)
			})))
			defer server.Close()
			res, err := http.Get(server.URL)
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			is.True(res.Close)
		})
	}
}
