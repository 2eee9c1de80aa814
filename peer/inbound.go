package peer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/lock"
	"lycheecrank.example/request"
)

// maxExchanges and maxOpenBytes bound the exchanges that one peer may have open
// here and their inputs.
const (
	maxExchanges = 1024
	maxOpenBytes = 64 << 20
)

// inbound is a connection that this instance accepted. It answers exchanges.
type inbound struct {
	*connection
	server *Server
	peer   Hello
	// ctx ends with the connection.
	ctx     context.Context
	running sync.WaitGroup

	mu *lock.Ranked
	// The fields below are guarded by mu.
	answers map[uint64]*answer
	// waiting counts the answers that the peer still waits for.
	waiting int
	// openBytes is the size of the inputs of the answers.
	openBytes int
	last      uint64
	received  time.Time
}

// answer is the side of an exchange that answers it.
type answer struct {
	id     uint64
	ctx    context.Context
	cancel context.CancelFunc
	// granted tells that there is new credit.
	granted chan struct{}
	size    int
	// The fields below are guarded by the mutex of the connection.
	credit    int64
	isWaiting bool
}

func newInbound(ctx context.Context, c *connection, s *Server, peer Hello) *inbound {
	i := &inbound{
		connection: c,
		server:     s,
		peer:       peer,
		ctx:        ctx,
		mu:         lock.New(lock.RankPeer, "peer inbound"),
		answers:    map[uint64]*answer{},
		received:   time.Now(),
	}
	c.beat, c.handle = i.check, i.dispatch
	return i
}

// check closes the connection of a frozen peer: a live one pings each second
// while it waits for an answer, and not after it has cancelled.
func (i *inbound) check(now time.Time) (time.Duration, bool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	limit := idleLimit
	if i.waiting > 0 {
		limit = i.silence
	}
	rest := i.received.Add(limit).Sub(now)
	if rest <= 0 {
		return 0, false, ErrSilent
	}
	return rest, false, nil
}

// dispatch takes a message on the reader's goroutine and never waits.
func (i *inbound) dispatch(m message) error {
	i.mu.Lock()
	i.received = time.Now()
	i.mu.Unlock()
	switch m.Type {
	case pingType:
		i.post(message{Type: pongType})
	case cancelType:
		i.cancel(m.Exchange)
	case creditType:
		i.grant(m.Exchange, m.Credit.Bytes)
	case executeType, digestType, fetchType, recordsType, cancelRequestType, askType:
		return i.start(m)
	default:
		return eris.Wrapf(ErrMessageUnexpected, "%s from the dialling side", m.Type)
	}
	return nil
}

func (i *inbound) start(m message) error {
	a, err := i.open(m)
	if err != nil {
		return err
	}
	if a == nil {
		i.server.counters.Add("exchangeLimit")
		refused := request.Refuse(request.ReasonQueueFull, "too many exchanges of one peer")
		i.post(message{Type: failureType, Exchange: m.Exchange, Failure: asFailureBody(refused)})
		return nil
	}
	i.rouse()
	i.running.Go(func() {
		defer i.close(a)
		i.reply(a, i.server.answer(i, a, m))
	})
	return nil
}

// open adds an exchange; nil if there are too many. Numbers must rise, so that
// no message can belong to two exchanges.
func (i *inbound) open(m message) (*answer, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if m.Exchange <= i.last {
		return nil, eris.Wrapf(ErrMessageUnexpected, "exchange %d after %d", m.Exchange, i.last)
	}
	i.last = m.Exchange
	if len(i.answers) >= maxExchanges || i.openBytes > maxOpenBytes {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(i.ctx)
	a := &answer{id: m.Exchange, ctx: ctx, cancel: cancel, granted: make(chan struct{}, 1), credit: window, isWaiting: true}
	if m.Execute != nil {
		a.size = len(m.Execute.Input)
	}
	if m.Ask != nil {
		a.size = len(m.Ask.Data)
	}
	i.answers[a.id] = a
	i.waiting++
	i.openBytes += a.size
	return a, nil
}

func (i *inbound) close(a *answer) {
	a.cancel()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.answers, a.id)
	i.openBytes -= a.size
	i.abandon(a)
}

func (i *inbound) cancel(id uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a := i.answers[id]; a != nil {
		a.cancel()
		i.abandon(a)
	}
}

// abandon notes, under the lock, that the peer no longer waits for an answer.
func (i *inbound) abandon(a *answer) {
	if a.isWaiting {
		a.isWaiting = false
		i.waiting--
	}
}

func (i *inbound) grant(id uint64, bytes int64) {
	i.mu.Lock()
	a := i.answers[id]
	if a != nil {
		// Credit beyond the window would let a stream grow without bound.
		a.credit = min(window, a.credit+max(0, min(bytes, window)))
	}
	i.mu.Unlock()
	if a == nil {
		return
	}
	select {
	case a.granted <- struct{}{}:
	default:
	}
}

// spend takes credit and reports whether there was any.
func (i *inbound) spend(a *answer, bytes int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.credit <= 0 {
		return false
	}
	a.credit -= bytes
	return true
}

// sendPiece waits for credit and for room in the queue.
func (i *inbound) sendPiece(ctx context.Context, a *answer, p request.Piece) error {
	m := message{Type: pieceType, Exchange: a.id, Piece: &pieceBody{Attempt: p.Attempt, Number: p.Number, Data: p.Data}}
	data, err := m.encode()
	if err != nil {
		return err
	}
	for !i.spend(a, cost(p.Data)) {
		select {
		case <-a.granted:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return i.send(ctx, &outgoing{data: data})
}

// reply sends the last message of an exchange unless it was cancelled.
func (i *inbound) reply(a *answer, m message) {
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
	// An error means that the peer no longer waits.
	_ = i.send(a.ctx, &outgoing{data: data})
}
