package instance

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// watchedDialer returns a function that connects to backend servers and tells
// lost when one of them ends a connection. A server that has restarted behind its
// address shows this before any answer names its new incarnation.
func watchedDialer(lost func(address string)) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: c, lost: func() { lost(address) }}, nil
	}
}

// watchedConn is a connection to a backend server. The HTTP client reads from it
// all the time, between calls as well.
type watchedConn struct {
	net.Conn
	lost func()
}

// Read reports an end that is neither from this side nor a timeout before the
// caller of a step can see it.
func (c *watchedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lost()
	}
	return n, err
}

// connectionLost takes a connection that a backend server has ended.
func (i *Instance) connectionLost(address string) {
	i.backendCommands.MarkConnectionLost(address, time.Now())
}
