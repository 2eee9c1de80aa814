package frontend_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/frontend"
	"lycheecrank.example/intake"
)

// shortHeaders is a request without the end of its head, whose headers take about 250 KB
// once they are parsed.
func shortHeaders() string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: shop.example\r\n")
	for n := range 2000 {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	return b.String()
}

// Guards against heads of legal size that take many times their size once they are parsed,
// and against memory of a head that is never released: its client leaves, its handler
// doesn't count requests, or the next request comes on the same connection.
func TestHeadsAreCounted(t *testing.T) {
	is := is.New(t)
	arrived := make(chan bool)
	s := newSite(t, func(f *frontend.Frontend) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/uncounted" {
				return
			}
			counted, err := f.Begin(r)
			if err != nil {
				return
			}
			defer func() { counted.End(time.Now()) }()
			if len(r.Header) > 1000 {
				arrived <- true
				<-arrived
			}
		})
	})
	used := func() int64 { return s.table.Queries().Status().UsedBytes }
	const parsedBytes = 150 << 10 // 2000 headers take more

	unfinished := s.send(shortHeaders())
	s.await(parsedBytes)
	is.NoErr(unfinished.Close())
	s.awaitRelease()

	conn := s.send(shortHeaders() + "\r\n")
	<-arrived
	is.True(used() > parsedBytes)
	arrived <- true
	reader := bufio.NewReader(conn)
	for range 200 {
		res, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.True(used() < parsedBytes)
		_, err = fmt.Fprint(conn, "GET /uncounted HTTP/1.1\r\nHost: shop.example\r\nX-Long: "+strings.Repeat("x", 1000)+"\r\n\r\n")
		is.NoErr(err)
	}
	is.NoErr(conn.Close())
}

// Guards against an answer that says that a request was wrong, where its head found no room:
// its client wouldn't send it again.
func TestHeadWithoutRoomGetsNoAnswer(t *testing.T) {
	is := is.New(t)
	s := newSite(t, readBody)
	const heads = 40 // some of them have room
	var conns []net.Conn
	for range heads {
		conns = append(conns, s.send(shortHeaders()))
	}
	closed := 0
	for _, conn := range conns {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * intake.Patience)))
		answer, err := io.ReadAll(conn)
		is.Equal(string(answer), "")
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			closed++
		}
	}
	is.True(closed > 0)
	counts := s.table.Counters.Values()
	is.True(counts["refused"]+counts["shed"] > 0)
}
