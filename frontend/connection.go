package frontend

import (
	"net"
	"sync/atomic"

	"lycheecrank.example/intake"
)

// The states of a connection.
const (
	// idleState: no byte of a request was read since the last answer.
	idleState int32 = iota
	// busyState: a request is being read or served.
	busyState
	// closedState: the connection was closed by this side.
	closedState
)

// conn is a counted connection. It embeds the TCP connection, so that net/http finds its
// optional methods.
type conn struct {
	*net.TCPConn
	*intake.Connection
	account intake.Commands
	// state decides between a request that is read and a close of the idle connection.
	// net/http takes a connection for idle until it has parsed the head of a request.
	state atomic.Int32
}

// startRequest reports whether a request may be read or served: the connection isn't
// closed, and CloseIdle won't close it before endRequest.
func (c *conn) startRequest() bool {
	return c.state.CompareAndSwap(idleState, busyState) || c.state.Load() == busyState
}

func (c *conn) endRequest() { c.state.CompareAndSwap(busyState, idleState) }

// closeIdle closes the connection unless a part of a request was read.
func (c *conn) closeIdle() {
	if c.state.CompareAndSwap(idleState, closedState) {
		_ = c.TCPConn.Close()
	}
}

// interrupt ends what the connection does. While a body is received, the read fails, so
// that the handler can refuse the request.
func (c *conn) interrupt(phase intake.Phase) {
	if phase == intake.Receiving {
		_ = c.SetReadDeadline(past)
		return
	}
	c.state.Store(closedState)
	_ = c.TCPConn.Close()
}

// Read counts the bytes read as progress. After closeIdle it returns none.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.AddMoved(n)
	if n > 0 && !c.startRequest() {
		return 0, net.ErrClosed
	}
	return n, err
}

// maxWriteBytes is the size of a write after which its progress is counted.
const maxWriteBytes = 64 << 10

// Write counts the bytes written as progress.
func (c *conn) Write(data []byte) (int, error) {
	c.SetWriting(true)
	defer c.SetWriting(false)
	written := 0
	for {
		n, err := c.TCPConn.Write(data[written:min(len(data), written+maxWriteBytes)])
		c.AddMoved(n)
		written += n
		if err != nil || written >= len(data) {
			return written, err
		}
	}
}

// Close closes the connection and removes it from the account.
func (c *conn) Close() error {
	c.state.Store(closedState)
	c.account.Disconnect(c.Connection)
	return c.TCPConn.Close()
}
