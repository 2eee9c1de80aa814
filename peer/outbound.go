package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/counter"
	"lycheecrank.example/lock"
)

// outbound is a connection that this instance dialled. It opens exchanges.
type outbound struct {
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
	// expectedSince is when this side began to expect a message; zero if none is
	// expected.
	expectedSince time.Time
	// watchdog fires when an expected message may have been missing for the peer
	// timeout. The writer cannot check this, because a frozen peer may block it.
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

func newOutbound(c *connection, counters *counter.Set) *outbound {
	now := time.Now()
	o := &outbound{
		connection:   c,
		counters:     counters,
		openLock:     make(chan struct{}, 1),
		mu:           lock.New(lock.RankPeer, "peer outbound"),
		exchanges:    map[uint64]*outboundExchange{},
		lastPing:     now,
		lastReceived: now,
	}
	c.heartbeat, c.handle = o.checkPing, o.handleMessage
	o.watchdog = time.AfterFunc(c.peerTimeout, o.checkPeerTimeout)
	return o
}

// run runs the connection until it fails and returns the cause.
func (o *outbound) run() error {
	defer o.watchdog.Stop()
	return o.connection.run()
}

// expectMessage starts the peer timeout if no message is expected yet. The caller
// holds the lock.
func (o *outbound) expectMessage(now time.Time) {
	if o.expectedSince.IsZero() {
		o.expectedSince = now
		o.watchdog.Reset(o.peerTimeout)
	}
}

// checkPeerTimeout fails the connection if an expected message is overdue.
func (o *outbound) checkPeerTimeout() {
	o.mu.Lock()
	isOverdue := !o.expectedSince.IsZero() && time.Since(o.expectedSince) >= o.peerTimeout
	o.mu.Unlock()
	if isOverdue {
		o.fail(ErrPeerTimeout)
	}
}

// openExchange adds an exchange and starts to expect a message of the peer.
func (o *outbound) openExchange() *outboundExchange {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.exchanges) == 0 {
		o.busySince = now
	}
	o.expectMessage(now)
	o.lastExchange++
	x := &outboundExchange{id: o.lastExchange, ready: make(chan struct{}, 1), credit: window}
	o.exchanges[x.id] = x
	return x
}

// closeExchange removes an exchange. Messages that were not read or that arrive
// later are dropped and counted.
func (o *outbound) closeExchange(x *outboundExchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.exchanges, x.id)
	for _, m := range x.inbox {
		o.counters.Add(o.dropCounter(m))
	}
	x.inbox = nil
}

// drainInbox removes and returns the messages that have arrived.
func (o *outbound) drainInbox(x *outboundExchange) []message {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages := x.inbox
	x.inbox = nil
	return messages
}

// grantCredit allows the peer to send more pieces of an exchange.
func (o *outbound) grantCredit(x *outboundExchange, bytes int64) {
	o.mu.Lock()
	x.credit += bytes
	o.mu.Unlock()
	o.enqueueControl(message{Type: creditType, Exchange: x.id, Credit: &creditBody{Bytes: bytes}})
}

// checkPing returns when the next ping is due and whether one is due now.
func (o *outbound) checkPing(now time.Time) (time.Duration, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	due := later(o.lastPing, o.lastReceived).Add(idlePing)
	if len(o.exchanges) > 0 {
		due = later(o.lastPing, o.busySince).Add(o.busyPingInterval())
	}
	isPingDue := !now.Before(due)
	if isPingDue {
		o.lastPing = now
		due = now.Add(o.busyPingInterval())
		o.expectMessage(now)
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
func (o *outbound) handleMessage(m message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastReceived = time.Now()
	o.expectedSince = time.Time{}
	switch m.Type {
	case pongType:
		return nil
	case digestType, recordsType, takenType, pieceType, endType, failureType, cancelledType, replyType:
	default:
		return eris.Wrapf(ErrMessageUnexpected, "%s is not allowed from the accepting side", m.Type)
	}
	x, ok := o.exchanges[m.Exchange]
	if !ok || x.isAnswered {
		o.counters.Add(o.dropCounter(m))
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
func (o *outbound) dropCounter(m message) string {
	switch {
	case m.Exchange > o.lastExchange:
		return "foreignDropped"
	case m.Type == pieceType:
		return "latePieceDropped"
	}
	return "lateAnswerDropped"
}
