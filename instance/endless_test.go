package instance

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/stage"
)

// Guards against a backend server that sends the head of an answer without end, which the
// caller would keep.
func TestHeadWithoutEnd(t *testing.T) {
	is := is.New(t)
	const (
		// socketBytes is what the sockets of a loopback connection hold.
		socketBytes  = 8 << 20
		endlessBytes = 64 << 20
	)
	var written atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for written.Load() < endlessBytes {
			n, err := io.WriteString(conn, strings.Repeat("X-Filler: aaaaaaaaaaaaaaaa\r\n", 1000))
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	transport := newBackendClient(func(string) {}).Transport.(*http.Transport)
	is.Equal(transport.MaxResponseHeaderBytes, int64(stage.MaxHeadBytes)) // the default is 10 MB
	_, err := (&http.Client{Transport: transport}).Get(server.URL)
	is.True(err != nil)
	is.True(written.Load() < stage.MaxHeadBytes+socketBytes)
}
