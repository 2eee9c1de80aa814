package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
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
	raw      syscall.RawConn
	account  intake.Commands
	openedAt time.Time
	// receiving is locked while bytes are taken from the socket and recorded in the state, so
	// that closeIdle finds the bytes of a request in one or the other.
	receiving sync.Mutex
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
		isClaimed = c.claimUnused()
	case readingState:
		isOverdue := now.Sub(c.openedAt)-time.Duration(c.readingSince.Load()) > HeadTimeout
		isClaimed = isOverdue && c.state.CompareAndSwap(readingState, closedState)
	}
	if isClaimed {
		_ = c.TCPConn.Close()
	}
}

// claimUnused marks the connection as closed if no part of a request has arrived, and
// reports whether it did. A close with unread bytes would reset the connection.
func (c *conn) claimUnused() bool {
	c.receiving.Lock()
	defer c.receiving.Unlock()
	return !c.hasUnread() && c.state.CompareAndSwap(idleState, closedState)
}

// hasUnread reports whether bytes have arrived that weren't read.
func (c *conn) hasUnread() bool {
	n := 0
	err := c.raw.Control(func(fd uintptr) {
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
	n, isOpen := 0, true
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, isOpen, readErr = c.receive(int(fd), data)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	c.AddMoved(n)
	switch {
	case err != nil:
		// net/http logs read errors of other operations.
		if failed, ok := errors.AsType[*net.OpError](err); ok {
			failed.Op = "read"
		}
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case !isOpen:
		return 0, net.ErrClosed
	case n == 0 && len(data) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive takes bytes that have arrived, and records that it did. It reports whether the
// connection may still be used. The error is syscall.EAGAIN if nothing has arrived.
func (c *conn) receive(fd int, data []byte) (n int, isOpen bool, err error) {
	c.receiving.Lock()
	defer c.receiving.Unlock()
	for {
		n, err = syscall.Read(fd, data)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	n = max(n, 0)
	return n, n == 0 || c.startReading(), err
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
