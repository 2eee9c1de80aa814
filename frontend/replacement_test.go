package frontend_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/frontend"
)

// Guards against a kept connection that is replaced at the limit of connections although its
// next request has arrived and another connection is idle.
func TestReplacementSparesArrivedRequests(t *testing.T) {
	const rounds = 200
	is := is.New(t)
	var f *frontend.Frontend
	s := newSiteWith(t, 2, func(front *frontend.Frontend) http.Handler {
		f = front
		return answerAll(func(error) {})(front)
	}, nil)
	cut := 0
	for range rounds {
		busy, idle := s.send(emptyGet), s.send(emptyGet)
		_ = s.answer(busy).Body.Close()
		_ = s.answer(idle).Body.Close()
		for f.Serving() > 0 { // until both are idle
			<-time.After(time.Millisecond)
		}
		_, _ = fmt.Fprint(busy, emptyGet)
		next := s.send(emptyGet)
		_ = s.answer(next).Body.Close()
		_ = busy.SetReadDeadline(time.Now().Add(5 * time.Second))
		if res, err := http.ReadResponse(bufio.NewReader(busy), nil); err == nil {
			_ = res.Body.Close()
		} else {
			cut++
		}
		_, _, _ = busy.Close(), idle.Close(), next.Close()
		for s.table.Queries().Status().Connections["client"] > 0 {
			<-time.After(time.Millisecond)
		}
	}
	is.Equal(cut, 0)
}

// Guards against a connection that is closed as idle although a whole request has arrived,
// because a stray line end after an earlier request was read long before.
func TestIdleCloseSparesRequestsAfterStrayBytes(t *testing.T) {
	const rounds, headTimeout = 100, 20 * time.Millisecond
	is := is.New(t)
	var f *frontend.Frontend
	s := newSite(t, func(front *frontend.Frontend) http.Handler {
		f = front
		return answerAll(func(error) {})(front)
	})
	for range rounds {
		conn := s.send(emptyGet)
		_ = s.answer(conn).Body.Close()
		_, err := fmt.Fprint(conn, "\r\n")
		is.NoErr(err)
		<-time.After(2 * headTimeout)
		_, err = fmt.Fprint(conn, emptyGet)
		is.NoErr(err)
		f.CloseIdle(time.Now(), headTimeout)
		_ = s.answer(conn).Body.Close() // fails the test without an answer
		is.NoErr(conn.Close())
	}
}

// Guards against the end of a drain that cuts off requests which were read and whose handler
// hasn't begun.
func TestFinalCloseSparesArrivedRequests(t *testing.T) {
	const connections = 60
	is := is.New(t)
	var f *frontend.Frontend
	var closed []error
	s := newSite(t, func(front *frontend.Frontend) http.Handler {
		f = front
		return answerAll(func(err error) { closed = append(closed, err) })(front)
	})
	for range 20 {
		conns := make([]*bufio.Reader, connections)
		for n := range conns {
			conn := s.send("")
			conns[n] = bufio.NewReader(conn)
			defer func() { _ = conn.Close() }()
			_, err := fmt.Fprint(conn, emptyGet)
			is.NoErr(err)
		}
		for s.table.Queries().Status().Connections["client"] < connections {
			<-time.After(time.Millisecond)
		}
		for f.CloseIdle(time.Now(), time.Second) > 0 || f.Serving() > 0 {
			<-time.After(time.Millisecond)
		}
		is.Equal(len(closed), 0)
		for _, r := range conns {
			res, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_ = res.Body.Close()
		}
		for s.table.Queries().Status().Connections["client"] > 0 {
			f.CloseIdle(time.Now(), 0)
		}
	}
}
