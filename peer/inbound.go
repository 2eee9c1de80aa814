package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/intake"
	"lycheecrank.example/lock"
	"lycheecrank.example/request"
)

// maxExchanges and maxInputBytes bound the exchanges that one peer may have open
// on a connection and the total size of their inputs.
const (
	maxExchanges  = 1024
	maxInputBytes = 64 << 20
	// freeInputBytes is the size up to which an input is not counted against the memory of
	// the process. Heartbeats and notices between instances are smaller, and never refused.
	freeInputBytes = 64 << 10
)

// acceptedConn is a connection that this instance accepted. It answers the exchanges
// that the peer opens.
type acceptedConn struct {
	*connection
	server *Server
	peer   Hello
	// inputs accounts for the inputs of the open exchanges; nil doesn't.
	inputs *intake.Request
	// ctx ends with the connection.
	ctx     context.Context
	running sync.WaitGroup

	mu *lock.Ranked
	// The fields below are guarded by mu.
	exchanges map[uint64]*inboundExchange
	// awaited counts the exchanges whose answer the peer still waits for.
	awaited int
	// inputBytes is the total size of the inputs of the open exchanges.
	inputBytes   int
	lastExchange uint64
	lastReceived time.Time
	silence      silence
	// isStopping refuses new exchanges.
	isStopping bool
}

// inboundExchange is the answering side of an exchange.
type inboundExchange struct {
	id     uint64
	ctx    context.Context
	cancel context.CancelFunc
	// creditAdded signals that credit was added.
	creditAdded chan struct{}
	inputBytes  int
	// isCancelled reports that the peer has cancelled the exchange.
	isCancelled atomic.Bool
	// The fields below are guarded by the mutex of the connection.
	credit    int64
	isAwaited bool
}

func newAcceptedConn(ctx context.Context, c *connection, s *Server, peer Hello) *acceptedConn {
	a := &acceptedConn{
		connection:   c,
		server:       s,
		peer:         peer,
		ctx:          ctx,
		mu:           lock.New(lock.RankPeer, "peer inbound"),
		exchanges:    map[uint64]*inboundExchange{},
		lastReceived: time.Now(),
	}
	a.silence.restart(a.lastReceived)
	c.heartbeat, c.handle = a.checkIdle, a.handleMessage
	return a
}

// checkIdle closes the connection of a frozen peer. A working peer pings every
// second while it waits for an answer, but not after it has cancelled.
func (a *acceptedConn) checkIdle(now time.Time) (time.Duration, bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next, isOver := a.silence.check(now, a.peerTimeout)
	if a.awaited == 0 {
		next = a.lastReceived.Add(idleLimit).Sub(now)
		isOver = next <= 0
	}
	if isOver {
		return 0, false, ErrPeerTimeout
	}
	return next, false, nil
}

// handleMessage processes a message on the goroutine of the reader and never
// blocks.
func (a *acceptedConn) handleMessage(m message) error {
	a.mu.Lock()
	a.lastReceived = time.Now()
	a.silence.restart(a.lastReceived)
	a.mu.Unlock()
	switch m.Type {
	case pingType:
		a.enqueueControl(message{Type: pongType})
	case cancelType:
		a.cancelExchange(m.Exchange)
	case creditType:
		a.addCredit(m.Exchange, m.Credit.Bytes)
	case executeType, digestType, fetchType, recordsType, cancelRequestType, askType:
		return a.startExchange(m)
	default:
		return eris.Wrapf(ErrMessageUnexpected, "%s is not allowed from the dialling side", m.Type)
	}
	return nil
}

func (a *acceptedConn) startExchange(m message) error {
	x, err := a.openExchange(m)
	if refused, ok := errors.AsType[request.Failure](err); ok {
		a.enqueueControl(message{Type: failureType, Exchange: m.Exchange, Failure: asFailureBody(refused)})
		return nil
	}
	if err != nil {
		return err
	}
	a.wakeWriter()
	a.running.Go(func() {
		defer a.closeExchange(x)
		a.sendReply(x, a.server.handleExchange(a, x, m))
	})
	return nil
}

// openExchange adds an exchange. It returns a request.Failure if too many are open or the
// server stops. Exchange numbers must increase, so that no message can belong to two
// exchanges.
func (a *acceptedConn) openExchange(m message) (*inboundExchange, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Exchange <= a.lastExchange {
		return nil, eris.Wrapf(ErrMessageUnexpected, "exchange number %d is not above the last one, %d", m.Exchange, a.lastExchange)
	}
	a.lastExchange = m.Exchange
	switch {
	case a.isStopping:
		return nil, request.Refuse(request.ReasonLeaving, "the instance is shutting down")
	case len(a.exchanges) >= maxExchanges, a.inputBytes > maxInputBytes:
		return nil, a.refuseExchange()
	}
	inputBytes := 0
	if m.Execute != nil {
		inputBytes = len(m.Execute.Input)
	}
	if m.Ask != nil {
		inputBytes = len(m.Ask.Data)
	}
	if inputBytes > freeInputBytes && !a.inputs.TryGrow(int64(inputBytes)) {
		return nil, a.refuseExchange()
	}
	ctx, cancel := context.WithCancel(a.ctx)
	x := &inboundExchange{id: m.Exchange, ctx: ctx, cancel: cancel, creditAdded: make(chan struct{}, 1), credit: window, isAwaited: true}
	x.inputBytes = inputBytes
	a.exchanges[x.id] = x
	a.awaited++
	a.inputBytes += x.inputBytes
	return x, nil
}

func (a *acceptedConn) refuseExchange() request.Failure {
	a.server.counters.Add("exchangeLimit")
	return request.Refuse(request.ReasonQueueFull, "too many open exchanges from one peer")
}

// stopTimeout bounds the time in which the last answers are written after the server stops.
const stopTimeout = 200 * time.Millisecond

// stop refuses new exchanges, and closes the connection when the answers to the open ones
// are written. A peer that gets no answer can't tell whether its step has run.
func (a *acceptedConn) stop() {
	time.AfterFunc(stopTimeout, func() { a.fail(ErrClosed) })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isStopping = true
	a.closeIfAnswered()
}

// closeIfAnswered closes the connection after the last answer if the server stops. The caller
// holds the lock.
func (a *acceptedConn) closeIfAnswered() {
	if a.isStopping && len(a.exchanges) == 0 {
		a.closeWhenWritten()
	}
}

func (a *acceptedConn) closeExchange(x *inboundExchange) {
	x.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.exchanges, x.id)
	a.inputBytes -= x.inputBytes
	if x.inputBytes > freeInputBytes {
		a.inputs.Shrink(int64(x.inputBytes))
	}
	a.stopAwaiting(x)
	a.closeIfAnswered()
}

func (a *acceptedConn) cancelExchange(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if x := a.exchanges[id]; x != nil {
		x.isCancelled.Store(true)
		x.cancel()
		a.stopAwaiting(x)
	}
}

// stopAwaiting records that the peer no longer waits for an answer. The caller
// holds the lock.
func (a *acceptedConn) stopAwaiting(x *inboundExchange) {
	if x.isAwaited {
		x.isAwaited = false
		a.awaited--
	}
}

func (a *acceptedConn) addCredit(id uint64, bytes int64) {
	a.mu.Lock()
	x := a.exchanges[id]
	if x != nil {
		// Credit beyond the window would allow an unbounded amount of unread data.
		x.credit = min(window, x.credit+max(0, min(bytes, window)))
	}
	a.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case x.creditAdded <- struct{}{}:
	default:
	}
}

// spendCredit deducts bytes from the credit. It reports false if there is no
// credit.
func (a *acceptedConn) spendCredit(x *inboundExchange, bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if x.credit <= 0 {
		return false
	}
	x.credit -= bytes
	return true
}

// sendPiece waits for credit and for space in the queue.
func (a *acceptedConn) sendPiece(ctx context.Context, x *inboundExchange, p request.Piece) error {
	m := message{Type: pieceType, Exchange: x.id, Piece: &pieceBody{Attempt: p.Attempt, Number: p.Number, Data: p.Data}}
	data, err := m.encode()
	if err != nil {
		return err
	}
	for !a.spendCredit(x, windowCost(p.Data)) {
		select {
		case <-x.creditAdded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return a.enqueue(ctx, &queuedMessage{data: data})
}

// sendReply sends the last message of an exchange unless the peer has cancelled it.
func (a *acceptedConn) sendReply(x *inboundExchange, m message) {
	if x.isCancelled.Load() {
		return
	}
	m.Exchange = x.id
	data, err := m.encode()
	if err != nil {
		failed := request.Refuse(request.ReasonResultInvalid, err.Error()).WithSent(true)
		data, err = message{Type: failureType, Exchange: x.id, Failure: asFailureBody(failed)}.encode()
	}
	if err != nil {
		a.fail(err)
		return
	}
	// An error means that the connection has ended.
	_ = a.enqueue(context.WithoutCancel(x.ctx), &queuedMessage{data: data})
}
