package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/lock"
)

const (
	// defaultPeerTimeout is how long a peer may take to send an expected message
	// before it is considered frozen.
	defaultPeerTimeout = 3 * time.Second
	// busyPing is the interval of pings while exchanges are open. Pings distinguish
	// a peer that is still working from a frozen one.
	busyPing = time.Second
	// idlePing is the interval of pings on a connection without exchanges. Gossip
	// with 4 of 350 peers a second uses a connection about every two minutes on
	// average, and more frequent pings would use up most of the 2 KB/s of control
	// traffic allowed per instance.
	idlePing = 5 * time.Minute
	// idleLimit is the silence after which an accepted connection on which no answer is
	// awaited is closed: three idle pings plus 100 s.
	idleLimit = 1000 * time.Second
	// ioBuffer is small because an instance may hold 700 connections in 64 MB.
	// Larger messages bypass the buffer.
	ioBuffer = 4 << 10
	// queuedFrames bounds the frames queued behind the one being written.
	queuedFrames = 16
	// queuedControl bounds the queue of control messages, which are sent without
	// waiting. A peer for which it fills up is not reading.
	queuedControl = 4096
)

// Sentinel errors of connections.
var (
	// ErrPeerTimeout: the peer did not send an expected message within the timeout.
	ErrPeerTimeout = errors.New("peer timed out")
	// ErrPeerNotReading: the peer does not read the messages sent to it.
	ErrPeerNotReading = errors.New("peer does not read its messages")
	// ErrPeerClosed: the peer closed the connection.
	ErrPeerClosed = errors.New("peer closed the connection")
	// ErrClosed: this side closed the connection.
	ErrClosed = errors.New("connection closed")
)

// The states of a queued message.
const (
	queuedState int32 = iota
	startedState
	withdrawnState
)

// queuedMessage is a message queued for the writer.
type queuedMessage struct {
	data  []byte
	state atomic.Int32
}

// startWriting marks the message as being written. It reports false if the
// message was withdrawn.
func (m *queuedMessage) startWriting() bool {
	return m.state.CompareAndSwap(queuedState, startedState)
}

// withdraw prevents the message from being written. It reports false if part of
// the message may have been written.
func (m *queuedMessage) withdraw() bool {
	return m.state.CompareAndSwap(queuedState, withdrawnState) || m.state.Load() == withdrawnState
}

// connection is the transport that both sides share: a reader and a writer. The
// reader never waits for the writer or for an exchange, so that no exchange
// blocks another one.
type connection struct {
	conn net.Conn
	// peerTimeout is the longest wait for an expected message or for a write.
	peerTimeout time.Duration
	// heartbeat checks the connection. It returns whether to send a ping now and the
	// time until the next check, or an error that ends the connection, for example
	// because the peer is frozen.
	heartbeat func(now time.Time) (next time.Duration, isPingDue bool, err error)
	// handle processes each message after the hello. It runs on the goroutine of the
	// reader.
	handle func(m message) error
	// onFailure is called with the cause before a failed connection is closed. It may be
	// nil.
	onFailure func(err error)
	queue     chan *queuedMessage
	wake      chan struct{}
	done      chan struct{}
	once      sync.Once
	cause     error
	frames    FrameReader
	// isClosing makes the writer close the connection when all queued messages are written.
	isClosing atomic.Bool

	controlMu *lock.Ranked
	// control holds the queued control messages, which are sent without waiting.
	control [][]byte
}

// newConnection returns a connection with the given peer timeout; 0 means
// defaultPeerTimeout.
func newConnection(n net.Conn, peerTimeout time.Duration) *connection {
	if peerTimeout == 0 {
		peerTimeout = defaultPeerTimeout
	}
	return &connection{
		conn:        n,
		peerTimeout: peerTimeout,
		queue:       make(chan *queuedMessage, queuedFrames),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		frames:      FrameReader{Reader: bufio.NewReaderSize(n, ioBuffer)},
		controlMu:   lock.New(lock.RankPeer, "peer control"),
	}
}

// busyPingInterval returns the interval of pings while exchanges are open. It is
// well below the peer timeout, because an exchange may take longer than that
// timeout without any other message of the peer.
func (c *connection) busyPingInterval() time.Duration { return min(busyPing, c.peerTimeout/3) }

// handshake exchanges hellos within the peer timeout.
func (c *connection) handshake(self Hello) (Hello, error) {
	// Setting a deadline fails only on a closed connection, and then the read fails too.
	_ = c.conn.SetDeadline(time.Now().Add(c.peerTimeout))
	data, err := message{Type: helloType, Hello: &self}.encode()
	if err != nil {
		return Hello{}, err
	}
	// Both sides send their hello first, so the write must not wait for the peer to
	// read.
	var writing sync.WaitGroup
	var writeErr error
	writing.Go(func() { writeErr = (&FrameWriter{Writer: c.conn}).Write(data) })
	m, err := c.readMessage()
	if err != nil {
		c.fail(err)
	}
	writing.Wait()
	switch {
	case err != nil:
		return Hello{}, err
	case m.Type != helloType:
		return Hello{}, eris.Wrapf(ErrMessageUnexpected, "received %s before hello", m.Type)
	case writeErr != nil:
		return Hello{}, writeErr
	}
	_ = c.conn.SetDeadline(time.Time{})
	return *m.Hello, nil
}

// run reads and writes until the connection fails and returns the cause.
func (c *connection) run() error {
	var group sync.WaitGroup
	group.Go(func() { c.handleWriteError(c.writeLoop()) })
	c.fail(c.readLoop())
	group.Wait()
	return c.cause
}

// handleWriteError ends the connection after a failed write. If the peer closed
// the connection, the reader stays active for answers that the peer had sent
// before.
func (c *connection) handleWriteError(err error) {
	if errors.Is(err, ErrPeerClosed) {
		// Setting a deadline fails only on a closed connection, and then the read fails too.
		_ = c.conn.SetReadDeadline(time.Now().Add(c.peerTimeout))
		return
	}
	c.fail(err)
}

// fail ends the connection and records the cause. Later calls have no effect.
func (c *connection) fail(err error) {
	c.once.Do(func() {
		c.cause = err
		if c.onFailure != nil {
			c.onFailure(err)
		}
		close(c.done)
		_ = c.conn.Close()
	})
}

// isDone reports whether the connection has failed.
func (c *connection) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *connection) readMessage() (message, error) {
	data, err := c.frames.Next()
	switch {
	case errors.Is(err, io.EOF), isPeerClosed(err):
		return message{}, ErrPeerClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return message{}, ErrPeerTimeout
	case err != nil:
		return message{}, err
	}
	return decodeMessage(data)
}

func (c *connection) readLoop() error {
	for {
		m, err := c.readMessage()
		if err != nil {
			return err
		}
		if err := c.handle(m); err != nil {
			return err
		}
	}
}

// enqueue queues a message and waits for space in the queue. After a nil error
// the message may be written at any time until it is withdrawn.
func (c *connection) enqueue(ctx context.Context, m *queuedMessage) error {
	select {
	case c.queue <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return c.cause
	}
}

// enqueueControl queues a control message without waiting. A full queue ends the
// connection.
func (c *connection) enqueueControl(m message) {
	data, err := m.encode()
	if err != nil {
		c.fail(err)
		return
	}
	c.controlMu.Lock()
	isFull := len(c.control) >= queuedControl
	if !isFull {
		c.control = append(c.control, data)
	}
	c.controlMu.Unlock()
	if isFull {
		c.fail(ErrPeerNotReading)
		return
	}
	c.wakeWriter()
}

// closeWhenWritten closes the connection when the messages that are queued have been written.
func (c *connection) closeWhenWritten() {
	c.isClosing.Store(true)
	c.wakeWriter()
}

// drainControl removes and returns the queued control messages.
func (c *connection) drainControl() [][]byte {
	c.controlMu.Lock()
	defer c.controlMu.Unlock()
	control := c.control
	c.control = nil
	return control
}

// wakeWriter makes the writer call heartbeat and send the queued control messages.
func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *connection) writeLoop() error {
	buffer := bufio.NewWriterSize(deadlineWriter{c.conn, c.peerTimeout}, ioBuffer)
	frames := FrameWriter{Writer: buffer}
	ping, err := message{Type: pingType}.encode()
	if err != nil {
		return err
	}
	timer := time.NewTimer(idlePing)
	defer timer.Stop()
	for {
		next, isPingDue, err := c.heartbeat(time.Now())
		if err != nil {
			return err
		}
		if isPingDue {
			if err := frames.Write(ping); err != nil {
				return err
			}
		}
		isClosing := c.isClosing.Load()
		o := c.tryDequeue()
		if o == nil {
			if err := c.writeControl(&frames); err != nil {
				return err
			}
			if err := buffer.Flush(); err != nil {
				return eris.Wrap(err, "write")
			}
			if isClosing {
				return ErrClosed
			}
			timer.Reset(next)
			if o, err = c.dequeue(timer.C); err != nil {
				return err
			}
		}
		if err := c.writeControl(&frames); err != nil {
			return err
		}
		if o == nil || !o.startWriting() {
			continue
		}
		if err := frames.Write(o.data); err != nil {
			return err
		}
	}
}

// writeControl writes the queued control messages. They take precedence over
// other messages.
func (c *connection) writeControl(frames *FrameWriter) error {
	for _, data := range c.drainControl() {
		if err := frames.Write(data); err != nil {
			return err
		}
	}
	return nil
}

// tryDequeue returns a queued message, or nil if there is none.
func (c *connection) tryDequeue() *queuedMessage {
	select {
	case o := <-c.queue:
		return o
	default:
		return nil
	}
}

// dequeue waits for a queued message. It returns nil if control messages are
// queued or the heartbeat is due.
func (c *connection) dequeue(heartbeatDue <-chan time.Time) (*queuedMessage, error) {
	select {
	case o := <-c.queue:
		return o, nil
	case <-heartbeatDue:
		return nil, nil
	case <-c.wake:
		return nil, nil
	case <-c.done:
		return nil, c.cause
	}
}

// isPeerClosed reports whether a read or write failed because the peer closed the
// connection. An error after this side closed the connection is irrelevant,
// because only the first cause is kept.
func isPeerClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrClosedPipe)
}

// deadlineWriter fails a write that the peer does not accept within the timeout.
// The reader of a working peer never blocks, so such a peer is frozen.
type deadlineWriter struct {
	conn    net.Conn
	timeout time.Duration
}

func (d deadlineWriter) Write(data []byte) (int, error) {
	if err := d.conn.SetWriteDeadline(time.Now().Add(d.timeout)); err != nil {
		return 0, err
	}
	n, err := d.conn.Write(data)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, ErrPeerNotReading
	case isPeerClosed(err):
		return n, ErrPeerClosed
	}
	return n, err
}
