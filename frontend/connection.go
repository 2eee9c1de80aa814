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

const (
	// HeadTimeout is the time in which the head of a request should arrive.
	HeadTimeout = 5 * time.Second
	// stalledHead is the time after which a connection may be replaced although a part of a
	// request has arrived.
	stalledHead = 100 * time.Millisecond
)

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
	// readingSince is when the state became reading, and readAt when bytes were last read in
	// that state, in nanoseconds since openedAt.
	readingSince, readAt atomic.Int64
	// isMultiplexed reports that the connection has streams of HTTP/2.
	isMultiplexed atomic.Bool
	// serving counts the connections in the serving state; nil doesn't.
	serving *atomic.Int64
	// head counts the memory of the head that arrives; nil for connections without HTTP.
	head *headMeter
}

// startReading records that a part of a request was read. It reports false if the
// connection was closed.
func (c *conn) startReading() bool {
	now := int64(time.Since(c.openedAt))
	c.readAt.Store(now)
	if c.state.Load() == idleState {
		c.readingSince.Store(now)
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
	if c.head != nil {
		// The head of a request whose handler didn't call Begin.
		c.head.take().End(time.Now())
	}
}

func (c *conn) countServing(change int64) {
	if c.serving != nil {
		c.serving.Add(change)
	}
}

// claimIdle marks the connection as closed if no part of a request has arrived, and reports
// whether it did. A close with unread bytes would reset the connection.
func (c *conn) claimIdle() bool {
	c.receiving.Lock()
	defer c.receiving.Unlock()
	return !c.hasUnread() && c.state.CompareAndSwap(idleState, closedState)
}

// claimStalled marks the connection as closed if the head of a request is slow to arrive, and
// reports whether it did.
func (c *conn) claimStalled() bool {
	c.receiving.Lock()
	defer c.receiving.Unlock()
	isStalled := c.elapsedSince(&c.readingSince) > stalledHead
	return isStalled && !c.hasUnread() && c.state.CompareAndSwap(readingState, closedState)
}

// closeIdle closes the connection if no part of a request has arrived, or if no more of its
// head has for headTimeout. It reports false if a request is arriving. It leaves connections
// of HTTP/2 to http.Server.Shutdown, which announces their close.
func (c *conn) closeIdle(headTimeout time.Duration) bool {
	if c.isMultiplexed.Load() {
		return true
	}
	if !c.claimIdle() && !c.claimOverdue(headTimeout) {
		return c.state.Load() > readingState
	}
	_ = c.TCPConn.Close()
	return true
}

// claimOverdue marks the connection as closed if no more of the head of a request has arrived
// for a time, and reports whether it did.
func (c *conn) claimOverdue(headTimeout time.Duration) bool {
	c.receiving.Lock()
	defer c.receiving.Unlock()
	isOverdue := c.elapsedSince(&c.readAt) > headTimeout
	return isOverdue && !c.hasUnread() && c.state.CompareAndSwap(readingState, closedState)
}

// elapsedSince returns the time since a time in nanoseconds since openedAt.
func (c *conn) elapsedSince(at *atomic.Int64) time.Duration {
	return time.Since(c.openedAt) - time.Duration(at.Load())
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

// closeReading closes the connection if a part of a head has arrived, and reports whether it
// did. If only the read failed, net/http would take the part of a line for a wrong header and
// answer with 400, after which clients don't send the request again.
func (c *conn) closeReading() bool {
	if !c.state.CompareAndSwap(readingState, closedState) {
		return false
	}
	_ = c.TCPConn.Close()
	return true
}

// interrupt ends what the connection does. While a body is received, the read fails, so
// that the handler can refuse the request.
func (c *conn) interrupt(phase intake.Phase) {
	if phase == intake.Receiving {
		if !c.closeReading() {
			_ = c.SetReadDeadline(past)
		}
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
	if c.head != nil && c.state.Load() == readingState && !c.isMultiplexed.Load() {
		if err := c.head.add(data[:n]); err != nil {
			c.closeReading()
			return 0, err
		}
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
	if c.head != nil {
		c.head.close()
	}
	c.account.Disconnect(c.Connection)
	return c.TCPConn.Close()
}
