package frontend_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/frontend"
)

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
			conns[n] = s.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			_ = s.answer(conns[n]).Body.Close()
		}
		served.Store(0)
		answered := atomic.Int64{}
		var group errgroup.Group
		for _, conn := range conns {
			group.Go(func() error {
				_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					answered.Add(1)
					_ = res.Body.Close()
				}
				return nil
			})
		}
		group.Go(func() error {
			f.CloseIdle(time.Now())
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
