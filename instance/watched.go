package instance

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// watchedDialer returns a dial function for backend servers that calls onLost when a
// connection fails or is closed by the server. A lost connection reveals the restart
// of a server before a response contains its new incarnation.
func watchedDialer(onLost func(address string)) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn, onLost: func() { onLost(address) }}, nil
	}
}

// watchedConn is a connection to a backend server. The HTTP client reads from it
// continuously, also between calls.
type watchedConn struct {
	net.Conn
	onLost func()
}

// Read calls onLost after a read error, unless this side closed the connection or the
// read timed out. The call precedes the return, so that onLost runs before the caller
// of a step gets the error.
func (c *watchedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.onLost()
	}
	return n, err
}

// onConnectionLost records that a connection to the backend server at an address was
// lost.
func (i *Instance) onConnectionLost(address string) {
	i.backendCommands.MarkConnectionLost(address, time.Now())
}
