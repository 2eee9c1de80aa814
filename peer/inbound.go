package peer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/lock"
	"lycheecrank.example/request"
)

// maxExchanges and maxInputBytes bound the exchanges that one peer may have open
// on a connection and the total size of their inputs.
const (
	maxExchanges  = 1024
	maxInputBytes = 64 << 20
)

// inbound is a connection that this instance accepted. It answers the exchanges
// that the peer opens.
type inbound struct {
	*connection
	server *Server
	peer   Hello
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
}

// inboundExchange is the answering side of an exchange.
type inboundExchange struct {
	id     uint64
	ctx    context.Context
	cancel context.CancelFunc
	// creditAdded signals that credit was added.
	creditAdded chan struct{}
	inputBytes  int
	// The fields below are guarded by the mutex of the connection.
	credit    int64
	isAwaited bool
}

func newInbound(ctx context.Context, c *connection, s *Server, peer Hello) *inbound {
	i := &inbound{
		connection:   c,
		server:       s,
		peer:         peer,
		ctx:          ctx,
		mu:           lock.New(lock.RankPeer, "peer inbound"),
		exchanges:    map[uint64]*inboundExchange{},
		lastReceived: time.Now(),
	}
	c.heartbeat, c.handle = i.checkIdle, i.handleMessage
	return i
}

// checkIdle closes the connection of a frozen peer. A working peer pings every
// second while it waits for an answer, but not after it has cancelled.
func (i *inbound) checkIdle(now time.Time) (time.Duration, bool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	limit := idleLimit
	if i.awaited > 0 {
		limit = i.peerTimeout
	}
	remaining := i.lastReceived.Add(limit).Sub(now)
	if remaining <= 0 {
		return 0, false, ErrPeerTimeout
	}
	return remaining, false, nil
}

// handleMessage processes a message on the goroutine of the reader and never
// blocks.
func (i *inbound) handleMessage(m message) error {
	i.mu.Lock()
	i.lastReceived = time.Now()
	i.mu.Unlock()
	switch m.Type {
	case pingType:
		i.enqueueControl(message{Type: pongType})
	case cancelType:
		i.cancelExchange(m.Exchange)
	case creditType:
		i.addCredit(m.Exchange, m.Credit.Bytes)
	case executeType, digestType, fetchType, recordsType, cancelRequestType, askType:
		return i.startExchange(m)
	default:
		return eris.Wrapf(ErrMessageUnexpected, "%s is not allowed from the dialling side", m.Type)
	}
	return nil
}

func (i *inbound) startExchange(m message) error {
	a, err := i.openExchange(m)
	if err != nil {
		return err
	}
	if a == nil {
		i.server.counters.Add("exchangeLimit")
		refused := request.Refuse(request.ReasonQueueFull, "too many open exchanges from one peer")
		i.enqueueControl(message{Type: failureType, Exchange: m.Exchange, Failure: asFailureBody(refused)})
		return nil
	}
	i.wakeWriter()
	i.running.Go(func() {
		defer i.closeExchange(a)
		i.sendReply(a, i.server.handleExchange(i, a, m))
	})
	return nil
}

// openExchange adds an exchange; it returns nil if too many are open. Exchange
// numbers must increase, so that no message can belong to two exchanges.
func (i *inbound) openExchange(m message) (*inboundExchange, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if m.Exchange <= i.lastExchange {
		return nil, eris.Wrapf(ErrMessageUnexpected, "exchange number %d is not above the last one, %d", m.Exchange, i.lastExchange)
	}
	i.lastExchange = m.Exchange
	if len(i.exchanges) >= maxExchanges || i.inputBytes > maxInputBytes {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(i.ctx)
	a := &inboundExchange{id: m.Exchange, ctx: ctx, cancel: cancel, creditAdded: make(chan struct{}, 1), credit: window, isAwaited: true}
	if m.Execute != nil {
		a.inputBytes = len(m.Execute.Input)
	}
	if m.Ask != nil {
		a.inputBytes = len(m.Ask.Data)
	}
	i.exchanges[a.id] = a
	i.awaited++
	i.inputBytes += a.inputBytes
	return a, nil
}

func (i *inbound) closeExchange(a *inboundExchange) {
	a.cancel()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.exchanges, a.id)
	i.inputBytes -= a.inputBytes
	i.stopAwaiting(a)
}

func (i *inbound) cancelExchange(id uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a := i.exchanges[id]; a != nil {
		a.cancel()
		i.stopAwaiting(a)
	}
}

// stopAwaiting records that the peer no longer waits for an answer. The caller
// holds the lock.
func (i *inbound) stopAwaiting(a *inboundExchange) {
	if a.isAwaited {
		a.isAwaited = false
		i.awaited--
	}
}

func (i *inbound) addCredit(id uint64, bytes int64) {
	i.mu.Lock()
	a := i.exchanges[id]
	if a != nil {
		// Credit beyond the window would allow an unbounded amount of unread data.
		a.credit = min(window, a.credit+max(0, min(bytes, window)))
	}
	i.mu.Unlock()
	if a == nil {
		return
	}
	select {
	case a.creditAdded <- struct{}{}:
	default:
	}
}

// spendCredit deducts bytes from the credit. It reports false if there is no
// credit.
func (i *inbound) spendCredit(a *inboundExchange, bytes int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.credit <= 0 {
		return false
	}
	a.credit -= bytes
	return true
}

// sendPiece waits for credit and for space in the queue.
func (i *inbound) sendPiece(ctx context.Context, a *inboundExchange, p request.Piece) error {
	m := message{Type: pieceType, Exchange: a.id, Piece: &pieceBody{Attempt: p.Attempt, Number: p.Number, Data: p.Data}}
	data, err := m.encode()
	if err != nil {
		return err
	}
	for !i.spendCredit(a, windowCost(p.Data)) {
		select {
		case <-a.creditAdded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return i.enqueue(ctx, &outgoing{data: data})
}

// sendReply sends the last message of an exchange unless it was cancelled.
func (i *inbound) sendReply(a *inboundExchange, m message) {
	if a.ctx.Err() != nil {
		return
	}
	m.Exchange = a.id
	data, err := m.encode()
	if err != nil {
		failed := request.Refuse(request.ReasonResultInvalid, err.Error()).WithSent(true)
		data, err = message{Type: failureType, Exchange: a.id, Failure: asFailureBody(failed)}.encode()
	}
	if err != nil {
		i.fail(err)
		return
	}
	// An error means that the peer no longer waits for the answer.
	_ = i.enqueue(a.ctx, &outgoing{data: data})
}
