package frontend_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/frontend"
)

// emptyGet is a request without a body.
const emptyGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// answerAll returns a handler that answers each request that may be served, and calls a
// function with the error of one that may not.
func answerAll(onClosed func(err error)) func(f *frontend.Frontend) http.Handler {
	return func(f *frontend.Frontend) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			counted, err := f.Begin(r)
			defer func() { counted.End(time.Now()) }()
			if err != nil {
				onClosed(err)
				return
			}
			_, _ = fmt.Fprint(w, "answer")
		})
	}
}

// Guards against a request that is served although its connection was closed as idle while
// the request was read, so that its client gets no answer.
func TestIdleCloseSparesRequests(t *testing.T) {
	const rounds, connections = 20, 60
	var served atomic.Int64
	var f *frontend.Frontend
	s := newSite(t, func(front *frontend.Frontend) http.Handler {
		f = front
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			counted, err := front.Begin(r)
			defer func() { counted.End(time.Now()) }()
			if err == nil {
				served.Add(1)
			}
			_, _ = fmt.Fprint(w, "answer")
		})
	})
	for range rounds {
		conns := make([]net.Conn, connections)
		for n := range conns {
			conns[n] = s.send(emptyGet)
			_ = s.answer(conns[n]).Body.Close()
		}
		served.Store(0)
		answered := atomic.Int64{}
		var group errgroup.Group
		for _, conn := range conns {
			group.Go(func() error {
				_, _ = fmt.Fprint(conn, emptyGet)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					answered.Add(1)
					_ = res.Body.Close()
				}
				return nil
			})
		}
		group.Go(func() error {
			f.CloseIdle(time.Now(), frontend.HeadTimeout)
			return nil
		})
		_ = group.Wait()
		if served.Load() != answered.Load() {
			t.Fatalf("%d requests were served, %d answered", served.Load(), answered.Load())
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// Guards against a close as idle that resets connections whose requests have arrived at the
// machine and weren't read yet.
func TestIdleCloseSparesUnreadRequests(t *testing.T) {
	const rounds, connections = 10, 60
	var f *frontend.Frontend
	// No connection is replaced, although those of earlier rounds may not be closed yet.
	s := newSiteWith(t, rounds*connections, func(front *frontend.Frontend) http.Handler {
		f = front
		return answerAll(func(error) {})(front)
	}, nil)
	for range rounds {
		conns := make([]net.Conn, connections)
		for n := range conns {
			conns[n] = s.send(emptyGet)
			_ = s.answer(conns[n]).Body.Close()
		}
		for _, conn := range conns {
			_, _ = fmt.Fprint(conn, emptyGet)
		}
		f.CloseIdle(time.Now(), frontend.HeadTimeout)
		for _, conn := range conns {
			_ = s.answer(conn).Body.Close() // fails the test without an answer
			_ = conn.Close()
		}
	}
}

// Guards against a connection that is replaced for a new one, at the limit of connections,
// before the answer to its request is written.
func TestReplacementSparesUnwrittenAnswers(t *testing.T) {
	is := is.New(t)
	var s *site
	isFirst := true
	s = newSiteWith(t, 1, func(f *frontend.Frontend) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			counted, err := f.Begin(r)
			if err != nil {
				return
			}
			_, _ = fmt.Fprint(w, "answer") // written when the handler returns
			counted.End(time.Now())
			if isFirst {
				isFirst = false
				_ = s.send(emptyGet)
				for len(s.table.Counters.Values()) == 0 { // a connection was refused or replaced
					<-time.After(time.Millisecond)
				}
			}
		})
	}, nil)
	is.Equal(s.answer(s.send(emptyGet)).StatusCode, http.StatusOK)
}

// Guards against a request that is served although its connection was closed while the
// request was in the buffer of net/http, as the second of two that are sent together.
func TestClosedConnectionIsNotServed(t *testing.T) {
	closed := make(chan error, 1)
	s := newSiteWith(t, 10, answerAll(func(err error) { closed <- err }), func(f *frontend.Frontend, state http.ConnState) {
		if state == http.StateIdle {
			f.CloseIdle(time.Now(), frontend.HeadTimeout)
		}
	})
	s.send(emptyGet + emptyGet)
	is.New(t).True(errors.Is(<-closed, frontend.ErrClosed))
}
