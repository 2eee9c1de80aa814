// Package frontend connects HTTP servers to the account of memory and connections of
// package intake. It counts connections when they are accepted, bodies while they are read
// and answers until they are written. It closes connections as idle such that no request is
// served whose connection is closed.
package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lycheecrank.example/intake"
)

const (
	// maxHeaderBytes is the documented limit of the request line and the headers. net/http
	// allows 4 KB more.
	maxHeaderBytes = 16 << 10
	// maxStreams and receiveBufferBytes bound what a connection of HTTP/2 takes up before a
	// handler reads it. The buffer is the smallest that the protocol has.
	maxStreams         = 100
	receiveBufferBytes = 64 << 10
	// RefusedRetryAfter is the delay before a client retries after its request was refused
	// because memory was short. Shortages end within the time that a request may wait.
	RefusedRetryAfter = intake.Patience
	// smallReadsPerCore is the number of small reads of bodies per second and core that the
	// process admits. One of a full buffer in chunks of a byte takes about 40 µs of
	// processor time, so that they take a fifth of the processor at most.
	smallReadsPerCore = 5000
	// smallReadBurst is the number of small reads that may follow each other at once.
	smallReadBurst = 64
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// ErrClosed is the error of a request that was read from a connection which has been closed
// since. It must not be served: its client wouldn't get the answer.
var ErrClosed = errors.New("connection was closed while a request was read")

// Frontend connects servers to an account. Create it with New.
type Frontend struct {
	account    intake.Commands
	smallReads *rate.Limiter
	// serving is the number of connections of clients that have a request or an answer that
	// isn't written.
	serving atomic.Int64
}

// New returns a front end for an account, in a process that may use a number of processor
// cores; 0 stands for all of the machine.
func New(account intake.Commands, cores float64) *Frontend {
	if cores <= 0 {
		cores = float64(runtime.NumCPU())
	}
	return &Frontend{account: account, smallReads: rate.NewLimiter(rate.Limit(cores*smallReadsPerCore), smallReadBurst)}
}

// Attach makes a server count the connections that it accepts from listeners of Listen.
func (f *Frontend) Attach(server *http.Server) *http.Server {
	server.MaxHeaderBytes = maxHeaderBytes
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: receiveBufferBytes, MaxReceiveBufferPerStream: receiveBufferBytes,
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if counted, ok := c.(*conn); ok {
			return context.WithValue(ctx, connectionKey{}, counted)
		}
		return ctx
	}
	report := server.ConnState
	server.ConnState = func(n net.Conn, state http.ConnState) {
		if counted, ok := n.(*conn); ok && state == http.StateIdle {
			counted.endRequest()
		}
		if report != nil {
			report(n, state)
		}
	}
	return server
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// Begin adds a request to the account. The request must be ended. The error is ErrClosed,
// or that of intake.Connection.Begin.
func (f *Frontend) Begin(r *http.Request) (*intake.Request, error) {
	if f == nil {
		return nil, nil
	}
	counted, ok := r.Context().Value(connectionKey{}).(*conn)
	switch {
	case !ok:
		return nil, nil
	case !counted.startServing():
		return nil, ErrClosed
	}
	if r.ProtoMajor > 1 {
		counted.isMultiplexed.Store(true)
	}
	var head *intake.Request
	if counted.head != nil {
		head = counted.head.take()
	}
	defer func() { head.End(time.Now()) }()
	begun, err := counted.Connection.Begin(r.Context(), time.Now())
	if err == nil && r.ProtoMajor == 1 {
		begun.Adopt(head, headMemory(r))
	}
	return begun, err
}

// CloseIdle closes the connections of clients that have no request, except those that have
// had none yet and were opened at or after a time. Unlike http.Server.Shutdown, it also spares
// those at which a request is arriving whose last bytes came within headTimeout. It returns
// how many it spares.
func (f *Frontend) CloseIdle(openedBefore time.Time, headTimeout time.Duration) (spared int) {
	return f.account.CloseIdle(intake.Clients, openedBefore, headTimeout)
}

// Serving returns the number of connections of clients that have a request, or an answer
// that isn't written.
func (f *Frontend) Serving() int { return int(f.serving.Load()) }

// Track adds a request in a phase without memory to a connection of a listener of Listen.
// Requests of other connections aren't accounted for.
func Track(n net.Conn, phase intake.Phase) *intake.Request {
	c, ok := n.(*conn)
	if !ok {
		return nil
	}
	return c.Connection.Track(phase, time.Now())
}

// Abandon keeps the server from reading the rest of the body of a request that is refused,
// and from using its connection again.
func Abandon(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// A writer without deadlines, as in tests, has no connection to wait for.
	_ = http.NewResponseController(w).SetReadDeadline(past)
}

// IsRefused reports whether the read of a body failed because memory is short.
func IsRefused(r *intake.Request, err error) bool {
	return errors.Is(err, intake.ErrShort) || errors.Is(err, intake.ErrShed) || r.IsShed()
}

// IsOverdue reports whether the read of a body failed because its time was over.
func IsOverdue(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
