package frontend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/frontend"
	"lycheecrank.example/intake"
)

// maxBody is the limit of bodies in these tests.
const maxBody = 4 << 20

// site is a server whose clients are accounted for.
type site struct {
	t       *testing.T
	table   *intake.Table
	address string
}

// newSite starts a server with a handler, with memory for one large body.
func newSite(t *testing.T, handle func(f *frontend.Frontend) http.Handler) *site {
	return newSiteWith(t, 100, handle, nil)
}

// newSiteWith starts a server that takes a number of connections of clients. The function
// onState is called with each change of the state of a connection; nil for none.
func newSiteWith(t *testing.T, connections int, handle func(f *frontend.Frontend) http.Handler, onState func(f *frontend.Frontend, state http.ConnState)) *site {
	table := intake.NewTable(intake.Bounds{Memory: 6 << 20, Reserve: 1 << 20, Connections: [3]int{connections, 1, 1}})
	f := frontend.New(table.Commands(), 0)
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	report := func(_ net.Conn, state http.ConnState) {
		if onState != nil {
			onState(f, state)
		}
	}
	server := f.Attach(&http.Server{Handler: handle(f), ReadHeaderTimeout: frontend.HeadTimeout, ConnState: report})
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = table.Run(ctx) })
	running.Go(func() { _ = server.Serve(f.Listen(l, intake.Clients)) })
	t.Cleanup(func() {
		stop()
		_ = server.Close()
		running.Wait()
		if s := table.Queries().Status(); s.UsedBytes != 0 || s.Connections["client"] != 0 {
			t.Errorf("after the end of all requests the account is %+v", s)
		}
	})
	return &site{t: t, table: table, address: l.Addr().String()}
}

// send opens a connection and sends bytes.
func (s *site) send(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// await waits until requests hold a number of bytes.
func (s *site) await(bytes int64) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for s.table.Queries().Status().UsedBytes < bytes {
		<-ticker.C
	}
}

// awaitRelease waits until requests hold nothing.
func (s *site) awaitRelease() {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for s.table.Queries().Status().UsedBytes > 0 {
		<-ticker.C
	}
}

func (s *site) answer(conn net.Conn) *http.Response {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return res
}

// stalled is a request whose body stops short of its end.
var stalled = fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("b", maxBody-10))

// whole is a request with a body of the largest size.
var whole = stalled + strings.Repeat("b", 10)

func readBody(f *frontend.Frontend) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted, err := f.Begin(r)
		defer func() { counted.End(time.Now()) }()
		if err == nil {
			var body []byte
			if body, err = f.ReadBody(w, r, counted, maxBody, time.Now().Add(time.Minute)); err == nil {
				_, _ = fmt.Fprint(w, len(body))
				return
			}
		}
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case frontend.IsRefused(counted, err):
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusBadRequest)
		}
	})
}

// Guards against a stalled client that keeps the only place for a large body: it is
// refused, and the next client is served, whether the body has a length or chunks.
func TestStalledBodyMakesPlace(t *testing.T) {
	is := is.New(t)
	s := newSite(t, readBody)
	first := s.send(stalled)
	s.await(maxBody)
	second := s.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", maxBody, strings.Repeat("b", maxBody)))
	refused := s.answer(first)
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.True(refused.Close)
	served, err := io.ReadAll(s.answer(second).Body)
	is.NoErr(err)
	is.Equal(string(served), fmt.Sprint(maxBody))
}

// Guards against bodies that lose bytes while their buffer grows, against connections that
// can't be used again, and against a body above the limit that is read.
func TestBodies(t *testing.T) {
	is := is.New(t)
	s := newSite(t, readBody)
	for _, size := range []int{0, 1, intake.FreeBytes - 1, intake.FreeBytes, intake.FreeBytes + 1, 1 << 20, maxBody} {
		conn := s.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)))
		for range 2 {
			data, err := io.ReadAll(s.answer(conn).Body)
			is.NoErr(err)
			is.Equal(string(data), fmt.Sprint(size))
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunk(size))
			is.NoErr(err)
		}
	}
	is.Equal(s.answer(s.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", maxBody+1))).StatusCode, http.StatusRequestEntityTooLarge)
	large := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunk(maxBody+1))
	is.Equal(s.answer(s.send(large)).StatusCode, http.StatusRequestEntityTooLarge)
}

func chunk(size int) string {
	if size == 0 {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size))
}

// Guards against an answer that stays counted after it was discarded, while the request is
// sent again.
func TestDiscardedAnswerIsReleased(t *testing.T) {
	is := is.New(t)
	table := intake.NewTable(intake.Bounds{Memory: 6 << 20, Reserve: 1 << 20, Connections: [3]int{1, 1, 1}})
	connection, _ := table.Commands().Connect(intake.Clients, "a", intake.Control{}, time.Now())
	counted, err := connection.Begin(t.Context(), time.Now())
	is.NoErr(err)
	answer := frontend.NewAnswer(counted)
	for range 2 {
		body := answer.Body(io.NopCloser(strings.NewReader(strings.Repeat("b", 1<<20))), nil)
		_, err := io.ReadAll(body)
		is.NoErr(err)
		used := table.Queries().Status().UsedBytes
		is.True(used >= 1<<20 && used < 5<<18)
		is.NoErr(body.Close())
		is.NoErr(body.Close())
		is.Equal(table.Queries().Status().UsedBytes, int64(intake.BaseBytes))
	}
}

// Guards against a handler of a protocol library that reads without a limit, or executes a
// request that was refused.
func TestHandlerRefuses(t *testing.T) {
	is := is.New(t)
	var executed sync.Map
	s := newSite(t, func(f *frontend.Frontend) http.Handler {
		return f.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			executed.Store(r.URL.Path, true)
			_, _ = fmt.Fprint(w, len(data))
		}), 2*maxBody)
	})
	first := s.send(strings.Replace(stalled, "POST /", "POST /stalled", 1))
	s.await(2 * (maxBody - 10))
	second := s.send(strings.Replace(whole, "POST /", "POST /whole", 1))
	refused := s.answer(first)
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.Header.Get("Retry-After"), "2")
	served, err := io.ReadAll(s.answer(second).Body)
	is.NoErr(err)
	is.Equal(string(served), fmt.Sprint(maxBody))
	_, isExecuted := executed.Load("/stalled")
	is.True(!isExecuted)
}

// Guards against compressed messages that take up much more memory than their bytes, and
// against small ones that stay counted with their largest size.
func TestCompressedMessagesAreCounted(t *testing.T) {
	is := is.New(t)
	used := make(chan int64, 2)
	var table *intake.Table
	s := newSite(t, func(f *frontend.Frontend) http.Handler {
		return f.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			used <- table.Queries().Status().UsedBytes
			frontend.SetDecodedSize(r.Context(), 1000)
			used <- table.Queries().Status().UsedBytes
		}), 1<<20)
	})
	table = s.table
	is.Equal(s.answer(s.send("POST / HTTP/1.1\r\nHost: a\r\nGrpc-Encoding: gzip\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("b", 2000))).StatusCode, http.StatusOK)
	is.True(<-used >= 2<<20)
	is.True(<-used < 200<<10)
}
