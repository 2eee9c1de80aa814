package frontend

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lycheecrank.example/intake"
)

// A connection becomes
//   - reading with the first byte that is read of a request,
//   - serving when its handler begins,
//   - idle again when the answer is written,
//   - closed when this side closes it; no request is read or served after that.
const (
	idleState int32 = iota
	readingState
	servingState
	closedState
)

// HeadTimeout is the time in which the head of a request should arrive.
const HeadTimeout = 5 * time.Second

// conn is a counted connection. It embeds the TCP connection, so that net/http finds its
// optional methods.
type conn struct {
	*net.TCPConn
	*intake.Connection
	account  intake.Commands
	openedAt time.Time
	// state decides between a request and a close: net/http takes a connection for idle
	// until it has parsed the head of a request, and the account from the end of the handler
	// on, when the answer may not be written.
	state atomic.Int32
	// readingSince is when the state became reading, in nanoseconds since openedAt.
	readingSince atomic.Int64
	// serving counts the connections in the serving state; nil doesn't.
	serving *atomic.Int64
}

// startReading records that a part of a request was read. It reports false if the
// connection was closed.
func (c *conn) startReading() bool {
	if c.state.Load() == idleState {
		c.readingSince.Store(int64(time.Since(c.openedAt)))
		c.state.CompareAndSwap(idleState, readingState)
	}
	return c.state.Load() != closedState
}

// startServing records that a request is served. It reports false if the connection was
// closed.
func (c *conn) startServing() bool {
	for {
		switch state := c.state.Load(); {
		case state == closedState:
			return false
		case state == servingState:
			return true
		case c.state.CompareAndSwap(state, servingState):
			c.countServing(1)
			return true
		}
	}
}

// endRequest records that the answer is written. The beginning of the next request may be
// in the buffer of net/http; if the connection is closed then, it isn't served.
func (c *conn) endRequest() {
	if c.state.CompareAndSwap(servingState, idleState) {
		c.countServing(-1)
	}
}

func (c *conn) countServing(change int64) {
	if c.serving != nil {
		c.serving.Add(change)
	}
}

// claimIdle marks the connection as closed unless a request is served, and reports whether
// it did.
func (c *conn) claimIdle() bool {
	return c.state.CompareAndSwap(idleState, closedState) || c.state.CompareAndSwap(readingState, closedState)
}

// closeIdle closes the connection if no part of a request has arrived, or if the rest of its
// head is overdue.
func (c *conn) closeIdle(now time.Time) {
	isClaimed := false
	switch c.state.Load() {
	case idleState:
		// A close with unread bytes would reset the connection.
		isClaimed = !c.hasUnread() && c.state.CompareAndSwap(idleState, closedState)
	case readingState:
		isOverdue := now.Sub(c.openedAt)-time.Duration(c.readingSince.Load()) > HeadTimeout
		isClaimed = isOverdue && c.state.CompareAndSwap(readingState, closedState)
	}
	if isClaimed {
		_ = c.TCPConn.Close()
	}
}

// hasUnread reports whether bytes have arrived that weren't read.
func (c *conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, _ = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// interrupt ends what the connection does. While a body is received, the read fails, so
// that the handler can refuse the request.
func (c *conn) interrupt(phase intake.Phase) {
	if phase == intake.Receiving {
		_ = c.SetReadDeadline(past)
		return
	}
	c.end()
	_ = c.TCPConn.Close()
}

// end closes the state of the connection.
func (c *conn) end() {
	if c.state.Swap(closedState) == servingState {
		c.countServing(-1)
	}
}

// Read counts the bytes read as progress. It returns none of a connection that was closed
// as idle.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.AddMoved(n)
	if n > 0 && !c.startReading() {
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
	c.end()
	c.account.Disconnect(c.Connection)
	return c.TCPConn.Close()
}
