package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/counter"
	"lycheecrank.example/lock"
)

// dialledConn is a connection that this instance dialled. It opens exchanges.
type dialledConn struct {
	*connection
	counters *counter.Set
	// openLock is held from the numbering of an exchange until its first message is
	// queued, so that exchange numbers increase on the wire.
	openLock chan struct{}

	mu *lock.Ranked
	// The fields below are guarded by mu.
	exchanges    map[uint64]*outboundExchange
	lastExchange uint64
	// busySince is when the number of open exchanges last rose from 0.
	busySince time.Time
	// isExpecting reports that this side expects a message.
	isExpecting bool
	silence     silence
	// watchdog checks the silence while a message is expected. The writer cannot check
	// it, because a frozen peer may block it.
	watchdog     *time.Timer
	lastPing     time.Time
	lastReceived time.Time
}

// outboundExchange is the opening side of an exchange.
type outboundExchange struct {
	id    uint64
	ready chan struct{}
	// The fields below are guarded by the mutex of the connection.
	inbox []message
	// credit is the number of bytes that the peer may still send.
	credit     int64
	isAnswered bool
}

func newDialledConn(c *connection, counters *counter.Set) *dialledConn {
	now := time.Now()
	d := &dialledConn{
		connection:   c,
		counters:     counters,
		openLock:     make(chan struct{}, 1),
		mu:           lock.New(lock.RankPeer, "peer outbound"),
		exchanges:    map[uint64]*outboundExchange{},
		lastPing:     now,
		lastReceived: now,
	}
	c.heartbeat, c.handle = d.checkPing, d.handleMessage
	d.watchdog = time.AfterFunc(c.peerTimeout, d.checkPeerTimeout)
	return d
}

// run runs the connection until it fails and returns the cause.
func (d *dialledConn) run() error {
	defer d.watchdog.Stop()
	return d.connection.run()
}

// expectMessage starts the peer timeout if no message is expected yet. The caller
// holds the lock.
func (d *dialledConn) expectMessage(now time.Time) {
	if !d.isExpecting {
		d.isExpecting = true
		d.silence.restart(now)
		d.watchdog.Reset(d.peerTimeout / silenceIntervals)
	}
}

// checkPeerTimeout fails the connection if an expected message is overdue.
func (d *dialledConn) checkPeerTimeout() {
	d.mu.Lock()
	isOverdue := false
	if d.isExpecting {
		var next time.Duration
		next, isOverdue = d.silence.check(time.Now(), d.peerTimeout)
		d.watchdog.Reset(next)
	}
	d.mu.Unlock()
	if isOverdue {
		d.fail(ErrPeerTimeout)
	}
}

// openExchange adds an exchange and starts to expect a message of the peer.
func (d *dialledConn) openExchange() *outboundExchange {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.exchanges) == 0 {
		d.busySince = now
	}
	d.expectMessage(now)
	d.lastExchange++
	x := &outboundExchange{id: d.lastExchange, ready: make(chan struct{}, 1), credit: window}
	d.exchanges[x.id] = x
	return x
}

// closeExchange removes an exchange. Messages that were not read or that arrive
// later are dropped and counted.
func (d *dialledConn) closeExchange(x *outboundExchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.exchanges, x.id)
	for _, m := range x.inbox {
		d.counters.Add(d.dropCounter(m))
	}
	x.inbox = nil
}

// drainInbox removes and returns the messages that have arrived.
func (d *dialledConn) drainInbox(x *outboundExchange) []message {
	d.mu.Lock()
	defer d.mu.Unlock()
	messages := x.inbox
	x.inbox = nil
	return messages
}

// grantCredit allows the peer to send more pieces of an exchange.
func (d *dialledConn) grantCredit(x *outboundExchange, bytes int64) {
	d.mu.Lock()
	x.credit += bytes
	d.mu.Unlock()
	d.enqueueControl(message{Type: creditType, Exchange: x.id, Credit: &creditBody{Bytes: bytes}})
}

// checkPing returns when the next ping is due and whether one is due now.
func (d *dialledConn) checkPing(now time.Time) (time.Duration, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := later(d.lastPing, d.lastReceived).Add(idlePing)
	if len(d.exchanges) > 0 {
		due = later(d.lastPing, d.busySince).Add(d.busyPingInterval())
	}
	isPingDue := !now.Before(due)
	if isPingDue {
		d.lastPing = now
		due = now.Add(d.busyPingInterval())
		d.expectMessage(now)
	}
	return due.Sub(now), isPingDue, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// handleMessage adds a message to the inbox of its exchange.
func (d *dialledConn) handleMessage(m message) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReceived = time.Now()
	d.isExpecting = false
	switch m.Type {
	case pongType:
		return nil
	case digestType, recordsType, takenType, pieceType, endType, failureType, cancelledType, replyType:
	default:
		return eris.Wrapf(ErrMessageUnexpected, "%s is not allowed from the accepting side", m.Type)
	}
	x, ok := d.exchanges[m.Exchange]
	if !ok || x.isAnswered {
		d.counters.Add(d.dropCounter(m))
		return nil
	}
	if m.Type == pieceType {
		if x.credit <= 0 {
			return eris.Wrap(ErrMessageUnexpected, "piece exceeds the granted credit")
		}
		x.credit -= windowCost(m.Piece.Data)
	} else {
		x.isAnswered = true
	}
	x.inbox = append(x.inbox, m)
	select {
	case x.ready <- struct{}{}:
	default:
	}
	return nil
}

// dropCounter returns the name of the counter for a message without an open
// exchange.
func (d *dialledConn) dropCounter(m message) string {
	switch {
	case m.Exchange > d.lastExchange:
		return "foreignDropped"
	case m.Type == pieceType:
		return "latePieceDropped"
	}
	return "lateAnswerDropped"
}
