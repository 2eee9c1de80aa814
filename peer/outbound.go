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
	// opening is held from the numbering of an exchange to the queueing of its
	// first message, so that the numbers rise on the wire.
	opening chan struct{}

	mu *lock.Ranked
	// The fields below are guarded by mu.
	exchanges map[uint64]*exchange
	last      uint64
	// busySince is when the oldest of the open exchanges found none open.
	busySince time.Time
	// owedSince is since when the peer owes a message; zero if it owes none.
	owedSince time.Time
	// watchdog fires when the peer may have owed a message for the silence limit.
	// The writer can't watch this, since a frozen peer may block it.
	watchdog *time.Timer
	pinged   time.Time
	received time.Time
}

// exchange is the side of an exchange that opened it.
type exchange struct {
	id    uint64
	ready chan struct{}
	// The fields below are guarded by the mutex of the connection.
	inbox []message
	// credit is what the peer may still send of the window.
	credit     int64
	isAnswered bool
}

func newOutbound(c *connection, counters *counter.Set) *outbound {
	now := time.Now()
	o := &outbound{
		connection: c,
		counters:   counters,
		opening:    make(chan struct{}, 1),
		mu:         lock.New(lock.RankPeer, "peer outbound"),
		exchanges:  map[uint64]*exchange{},
		pinged:     now,
		received:   now,
	}
	c.beat, c.handle = o.check, o.deliver
	o.watchdog = time.AfterFunc(c.silence, o.watch)
	return o
}

// run runs the connection until it fails and returns the cause.
func (o *outbound) run() error {
	defer o.watchdog.Stop()
	return o.connection.run()
}

// owe notes, under the lock, that the peer owes a message.
func (o *outbound) owe(now time.Time) {
	if o.owedSince.IsZero() {
		o.owedSince = now
		o.watchdog.Reset(o.silence)
	}
}

// watch fails the connection of a frozen peer.
func (o *outbound) watch() {
	o.mu.Lock()
	isSilent := !o.owedSince.IsZero() && time.Since(o.owedSince) >= o.silence
	o.mu.Unlock()
	if isSilent {
		o.fail(ErrSilent)
	}
}

// open adds an exchange. From now on the peer owes a message.
func (o *outbound) open() *exchange {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.exchanges) == 0 {
		o.busySince = now
	}
	o.owe(now)
	o.last++
	x := &exchange{id: o.last, ready: make(chan struct{}, 1), credit: window}
	o.exchanges[x.id] = x
	return x
}

// close removes an exchange. Messages that nobody took or that still arrive are
// dropped and counted.
func (o *outbound) close(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.exchanges, x.id)
	for _, m := range x.inbox {
		o.counters.Add(o.dropReason(m))
	}
	x.inbox = nil
}

// take returns the messages that have arrived.
func (o *outbound) take(x *exchange) []message {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages := x.inbox
	x.inbox = nil
	return messages
}

// grant lets the peer send more pieces of an exchange.
func (o *outbound) grant(x *exchange, bytes int64) {
	o.mu.Lock()
	x.credit += bytes
	o.mu.Unlock()
	o.post(message{Type: creditType, Exchange: x.id, Credit: &creditBody{Bytes: bytes}})
}

// check is the heartbeat.
func (o *outbound) check(now time.Time) (time.Duration, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	due := latest(o.pinged, o.received).Add(idlePing)
	if len(o.exchanges) > 0 {
		due = latest(o.pinged, o.busySince).Add(o.pingEvery())
	}
	isPingDue := !now.Before(due)
	if isPingDue {
		o.pinged = now
		due = now.Add(o.pingEvery())
		o.owe(now)
	}
	return due.Sub(now), isPingDue, nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deliver hands a message to its exchange.
func (o *outbound) deliver(m message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.received = time.Now()
	o.owedSince = time.Time{}
	switch m.Type {
	case pongType:
		return nil
	case digestType, recordsType, takenType, pieceType, endType, failureType, cancelledType, replyType:
	default:
		return eris.Wrapf(ErrMessageUnexpected, "%s from the accepting side", m.Type)
	}
	x, ok := o.exchanges[m.Exchange]
	if !ok || x.isAnswered {
		o.counters.Add(o.dropReason(m))
		return nil
	}
	if m.Type == pieceType {
		if x.credit <= 0 {
			return eris.Wrap(ErrMessageUnexpected, "piece outside the window")
		}
		x.credit -= cost(m.Piece.Data)
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

// dropReason names the counter of a message without an open exchange.
func (o *outbound) dropReason(m message) string {
	switch {
	case m.Exchange > o.last:
		return "foreignDropped"
	case m.Type == pieceType:
		return "latePieceDropped"
	}
	return "lateAnswerDropped"
}
