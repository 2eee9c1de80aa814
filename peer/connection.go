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
	// silenceLimit is how long a peer may owe a message before it counts as
	// frozen.
	silenceLimit = 3 * time.Second
	// busyPing is the interval of pings while exchanges are open, so that a
	// silent but working peer is told from a frozen one.
	busyPing = time.Second
	// idlePing is the interval of pings on a connection without exchanges. Gossip
	// with 4 of 350 peers a second uses a connection every two minutes or so, and
	// pings more often than that would take most of a node's 2 KB/s for control.
	idlePing = 5 * time.Minute
	// idleLimit closes accepted connections that have missed three idle pings.
	idleLimit = 1000 * time.Second
	// ioBuffer is small because an instance may hold 700 connections in 64 MB;
	// larger messages bypass the buffer.
	ioBuffer = 4 << 10
	// queuedFrames bounds the frames that wait behind the one being written.
	queuedFrames = 16
	// queuedControl bounds the small messages that are sent without waiting. A
	// peer that lets them pile up does not read.
	queuedControl = 4096
)

// Sentinel errors of connections.
var (
	// ErrSilent: the peer owes a message for 3 s.
	ErrSilent = errors.New("peer silent")
	// ErrNotReading: the peer takes no messages.
	ErrNotReading = errors.New("peer does not read")
	// ErrPeerClosed: the peer closed the connection.
	ErrPeerClosed = errors.New("peer closed the connection")
	// ErrClosed: this side closed the connection.
	ErrClosed = errors.New("connection closed")
)

// The states of an outgoing message.
const (
	queuedState int32 = iota
	startedState
	withdrawnState
)

// outgoing is a message on its way to the writer.
type outgoing struct {
	data  []byte
	state atomic.Int32
}

// start claims the message for writing.
func (o *outgoing) start() bool {
	return o.state.CompareAndSwap(queuedState, startedState)
}

// withdraw keeps the message from being written. It reports false if a byte of
// it may have been written.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(queuedState, withdrawnState) || o.state.Load() == withdrawnState
}

// connection is the transport that both sides share: a reader and a writer. The
// reader never waits for the writer or for an exchange, so that no exchange
// holds up another.
type connection struct {
	net net.Conn
	// silence is how long the peer may owe a message.
	silence time.Duration
	// beat returns the time until it wants to be called again, whether a ping is
	// due, or the error that ends the connection.
	beat func(now time.Time) (next time.Duration, ping bool, err error)
	// handle takes each message after the hello, on the reader's goroutine.
	handle func(m message) error
	queue  chan *outgoing
	wake   chan struct{}
	done   chan struct{}
	once   sync.Once
	cause  error
	frames FrameReader

	controlMu *lock.Ranked
	// control holds the messages that are sent without waiting.
	control [][]byte
}

// newConnection returns a connection with a limit of silence; 0 stands for
// silenceLimit.
func newConnection(n net.Conn, silence time.Duration) *connection {
	if silence == 0 {
		silence = silenceLimit
	}
	return &connection{
		net:       n,
		silence:   silence,
		queue:     make(chan *outgoing, queuedFrames),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		frames:    FrameReader{Reader: bufio.NewReaderSize(n, ioBuffer)},
		controlMu: lock.New(lock.RankPeer, "peer control"),
	}
}

// pingEvery returns the interval of pings while exchanges are open. It lies well
// below the limit of silence, since an exchange may take longer than that limit
// without another message of the peer.
func (c *connection) pingEvery() time.Duration { return min(busyPing, c.silence/3) }

// greet exchanges hellos within the limit of silence.
func (c *connection) greet(self Hello) (Hello, error) {
	// Setting a deadline fails only on a closed connection, which reading tells.
	_ = c.net.SetDeadline(time.Now().Add(c.silence))
	data, err := message{Type: helloType, Hello: &self}.encode()
	if err != nil {
		return Hello{}, err
	}
	// Both sides greet first, so the write must not wait for the other's read.
	var writing sync.WaitGroup
	var writeErr error
	writing.Go(func() { writeErr = (&FrameWriter{Writer: c.net}).Write(data) })
	m, err := c.next()
	if err != nil {
		_ = c.net.Close()
	}
	writing.Wait()
	switch {
	case err != nil:
		return Hello{}, err
	case m.Type != helloType:
		return Hello{}, eris.Wrapf(ErrMessageUnexpected, "%s before hello", m.Type)
	case writeErr != nil:
		return Hello{}, writeErr
	}
	_ = c.net.SetDeadline(time.Time{})
	return *m.Hello, nil
}

// run reads and writes until the connection fails and returns the cause.
func (c *connection) run() error {
	var group sync.WaitGroup
	group.Go(func() { c.stopWriting(c.write()) })
	c.fail(c.read())
	group.Wait()
	return c.cause
}

// stopWriting ends the connection after a failed write. If the peer has closed
// it, the reader may still find answers that the peer sent before.
func (c *connection) stopWriting(err error) {
	if errors.Is(err, ErrPeerClosed) {
		// Setting a deadline fails only on a closed connection, which reading tells.
		_ = c.net.SetReadDeadline(time.Now().Add(c.silence))
		return
	}
	c.fail(err)
}

// fail ends the connection; the first cause counts.
func (c *connection) fail(err error) {
	c.once.Do(func() {
		c.cause = err
		close(c.done)
		_ = c.net.Close()
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

func (c *connection) next() (message, error) {
	data, err := c.frames.Next()
	switch {
	case errors.Is(err, io.EOF), isPeerClosed(err):
		return message{}, ErrPeerClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return message{}, ErrSilent
	case err != nil:
		return message{}, err
	}
	return decodeMessage(data)
}

func (c *connection) read() error {
	for {
		m, err := c.next()
		if err != nil {
			return err
		}
		if err := c.handle(m); err != nil {
			return err
		}
	}
}

// send queues a message and waits for room. Without an error the message may be
// written at any time until it is withdrawn.
func (c *connection) send(ctx context.Context, o *outgoing) error {
	select {
	case c.queue <- o:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return c.cause
	}
}

// post queues a small message without waiting.
func (c *connection) post(m message) {
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
		c.fail(ErrNotReading)
		return
	}
	c.rouse()
}

// takeControl returns and removes the control messages.
func (c *connection) takeControl() [][]byte {
	c.controlMu.Lock()
	defer c.controlMu.Unlock()
	control := c.control
	c.control = nil
	return control
}

// rouse makes the writer ask beat again and look for control messages.
func (c *connection) rouse() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *connection) write() error {
	buffer := bufio.NewWriterSize(deadlineWriter{c.net, c.silence}, ioBuffer)
	frames := FrameWriter{Writer: buffer}
	ping, err := message{Type: pingType}.encode()
	if err != nil {
		return err
	}
	timer := time.NewTimer(idlePing)
	defer timer.Stop()
	for {
		next, isPingDue, err := c.beat(time.Now())
		if err != nil {
			return err
		}
		if isPingDue {
			if err := frames.Write(ping); err != nil {
				return err
			}
		}
		o := c.takeReady()
		if o == nil {
			if err := buffer.Flush(); err != nil {
				return eris.Wrap(err, "write")
			}
			timer.Reset(next)
			if o, err = c.take(timer.C); err != nil {
				return err
			}
		}
		if err := c.writeControl(&frames); err != nil {
			return err
		}
		if o == nil || !o.start() {
			continue
		}
		if err := frames.Write(o.data); err != nil {
			return err
		}
	}
}

// writeControl writes the control messages, which go before the others.
func (c *connection) writeControl(frames *FrameWriter) error {
	for _, data := range c.takeControl() {
		if err := frames.Write(data); err != nil {
			return err
		}
	}
	return nil
}

// takeReady returns a waiting message, or nil.
func (c *connection) takeReady() *outgoing {
	select {
	case o := <-c.queue:
		return o
	default:
		return nil
	}
}

// take waits for a message; nil means that there is a control message or that
// it is time for a beat.
func (c *connection) take(beat <-chan time.Time) (*outgoing, error) {
	select {
	case o := <-c.queue:
		return o, nil
	case <-beat:
		return nil, nil
	case <-c.wake:
		return nil, nil
	case <-c.done:
		return nil, c.cause
	}
}

// isPeerClosed reports whether reading or writing failed because the peer has
// closed the connection. After this side has closed it the error does not
// matter, since the first cause counts.
func isPeerClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrClosedPipe)
}

// deadlineWriter fails a write that the peer has not taken within a limit.
// The reader of a live peer never waits, so such a peer is frozen.
type deadlineWriter struct {
	net     net.Conn
	silence time.Duration
}

func (d deadlineWriter) Write(data []byte) (int, error) {
	if err := d.net.SetWriteDeadline(time.Now().Add(d.silence)); err != nil {
		return 0, err
	}
	n, err := d.net.Write(data)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, ErrNotReading
	case isPeerClosed(err):
		return n, ErrPeerClosed
	}
	return n, err
}
