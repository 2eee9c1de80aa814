package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/intake"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

// acceptBackoff is the delay after a failed accept, for example when file
// descriptors run out.
const acceptBackoff = 50 * time.Millisecond

// errPanicked is the failure of an exchange whose handler panicked: it may have had effects.
var errPanicked = errors.New("internal error of the instance")

// maxHelloBytes bounds the first message of a connection, whose sender is not yet known.
// The three names in it have a few hundred characters at most.
const maxHelloBytes = 4 << 10

// Server answers the exchanges of other instances. Set the exported fields before
// Serve. The functions are called concurrently.
type Server struct {
	// Self identifies this instance in the handshake.
	Self Hello
	// Execute dispatches a step. Its context ends when the peer cancels, when the
	// connection is lost and at the deadline of the step. The sink is nil if the
	// peer did not request pieces; otherwise it blocks while the peer does not grant
	// credit.
	Execute func(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error)
	// Digest returns the digest of this instance.
	Digest func() Digest
	// ApplyDigest applies the digest of a peer.
	ApplyDigest func(from Hello, d Digest)
	// Records returns records of a stream after an offset, in ascending order of
	// offset.
	Records func(stream string, after uint64) []provider.Record
	// ApplyRecords applies consecutive records pushed by a peer. They may have been
	// applied before, and the first one need not follow the last applied one.
	ApplyRecords func(stream string, records []provider.Record)
	// CancelRequest cancels a request and reports whether it was in flight.
	CancelRequest func(workspace, requestID string) bool
	// Ask answers a query; the subject names its kind, for example "heartbeat". Nil
	// rejects all queries. Its errors are sent to the peer as failures.
	Ask func(ctx context.Context, from Hello, subject string, data []byte) ([]byte, error)
	// PeerTimeout is the longest wait for an expected message of the peer; 0 means
	// 3 s.
	PeerTimeout time.Duration
	// Logger may be nil.
	Logger *event.Logger
	// Counters counts rejected frames by reason; it may be nil.
	Counters *counter.Set
	// Track adds the messages (intake.Receiving) or the inputs (intake.Serving) of a
	// connection to the account of memory; nil doesn't account for them.
	Track func(n net.Conn, phase intake.Phase) *intake.Request

	logger   *event.Logger
	counters *counter.Set
}

// Serve accepts connections until the context ends. It then closes the listener
// and the connections, waits for their exchanges and returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.logger, s.counters = s.Logger, s.Counters
	if s.logger == nil {
		s.logger = event.Discard()
	}
	if s.counters == nil {
		s.counters = &counter.Set{}
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		n, err := l.Accept()
		switch {
		case err == nil:
			running.Go(func() { s.serveConnection(ctx, n) })
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "accept")
		default:
			s.counters.Add("acceptFailed")
			pause(ctx, acceptBackoff)
		}
	}
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serveConnection runs one connection until it fails.
func (s *Server) serveConnection(ctx context.Context, n net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newConnection(n, s.PeerTimeout)
	c.frames.Limit = maxHelloBytes
	// The peer sees the close of its connection only after its frame was counted.
	c.onFailure = s.countFrameError
	stop := context.AfterFunc(ctx, func() { c.fail(ErrClosed) })
	peer, err := c.handshake(s.Self)
	stop()
	if err != nil {
		c.fail(err)
		s.report(n, "", err)
		return
	}
	s.logger.Write(event.PeerConnected, peer.Instance, peer.DataCentre)
	a := newAcceptedConn(ctx, c, s, peer)
	if s.Track != nil {
		messages := s.Track(n, intake.Receiving)
		a.inputs = s.Track(n, intake.Serving)
		defer func() { messages.End(time.Now()) }()
		defer func() { a.inputs.End(time.Now()) }()
		c.frames.Reserve = func(bytes int64) error { return reserveMessage(ctx, messages, bytes, c.peerTimeout) }
	}
	c.frames.Limit = 0
	stop = context.AfterFunc(ctx, a.stop)
	err = a.run()
	stop()
	cancel()
	a.running.Wait()
	s.report(n, peer.Instance, err)
}

// reserveMessage accounts for the buffer of a message. It waits for less than the timeout
// after which the peer takes a connection for broken.
func reserveMessage(ctx context.Context, messages *intake.Request, bytes int64, timeout time.Duration) error {
	if bytes < 0 {
		messages.Shrink(-bytes)
		return nil
	}
	return messages.Grow(ctx, bytes, timeout/2)
}

// countFrameError counts a rejected frame by its reason. It ignores other errors.
func (s *Server) countFrameError(err error) {
	if reason, ok := frameErrorCounter(err); ok {
		s.counters.Add(reason)
	}
}

// report logs why a connection failed.
func (s *Server) report(n net.Conn, peer string, err error) {
	if _, ok := frameErrorCounter(err); ok {
		s.logger.Write(event.PeerFrameRefused, n.RemoteAddr().String(), err)
		return
	}
	if peer != "" && !errors.Is(err, ErrClosed) {
		s.logger.Write(event.PeerLost, peer, err)
	}
}

// handleExchange performs the operation that the first message of an exchange
// requests and returns the last message of the exchange.
func (s *Server) handleExchange(a *acceptedConn, x *inboundExchange, m message) (last message) {
	defer func() {
		if cause := recover(); cause != nil {
			s.logger.WritePanic("exchange with "+a.peer.Instance, cause)
			s.counters.Add("panics")
			last = message{Type: failureType, Failure: asFailureBody(request.AsFailure(errPanicked))}
		}
	}()
	switch m.Type {
	case digestType:
		s.ApplyDigest(a.peer, *m.Digest)
		d := s.Digest()
		return message{Type: digestType, Digest: &d}
	case fetchType:
		records := firstBatch(s.Records(m.Fetch.Stream, m.Fetch.After))
		return message{Type: recordsType, Records: &recordsBody{Stream: m.Fetch.Stream, Records: records}}
	case recordsType:
		return s.acceptRecords(m.Records)
	case cancelRequestType:
		found := s.CancelRequest(m.CancelRequest.Workspace, m.CancelRequest.RequestID)
		return message{Type: cancelledType, Cancelled: &cancelledBody{Found: found}}
	case askType:
		return s.answerAsk(x.ctx, a.peer, m.Ask)
	}
	return s.executeStep(a, x, m.Execute)
}

func (s *Server) answerAsk(ctx context.Context, from Hello, body *askBody) message {
	if s.Ask == nil {
		refused := request.Refuse(request.ReasonMalformed, "instance does not answer queries")
		return message{Type: failureType, Failure: asFailureBody(refused)}
	}
	data, err := s.Ask(ctx, from, body.Subject, body.Data)
	if err != nil {
		return message{Type: failureType, Failure: asFailureBody(request.AsFailure(err))}
	}
	return message{Type: replyType, Reply: &replyBody{Data: data}}
}

func (s *Server) acceptRecords(body *recordsBody) message {
	if !isConsecutive(body.Records, 0) {
		s.counters.Add("recordsRefused")
		refused := request.Refuse(request.ReasonMalformed, "records have a gap between them or start at offset 0")
		return message{Type: failureType, Failure: asFailureBody(refused)}
	}
	s.ApplyRecords(body.Stream, body.Records)
	return message{Type: takenType}
}

func (s *Server) executeStep(a *acceptedConn, x *inboundExchange, body *executeBody) message {
	step := body.step(time.Now())
	ctx, cancel := context.WithDeadline(x.ctx, step.Deadline)
	defer cancel()
	var pieces uint32
	var sink request.Sink
	if body.Streamed {
		sink = func(p request.Piece) error {
			if err := a.sendPiece(ctx, x, p); err != nil {
				return err
			}
			pieces++
			return nil
		}
	}
	result, err := s.Execute(ctx, step, sink)
	if _, ok := errors.AsType[request.Failure](err); err != nil && !ok && a.ctx.Err() != nil {
		err = request.Refuse(request.ReasonPeerUnreachable, "the instance is shutting down").WithSent(true)
	}
	if err != nil {
		return message{Type: failureType, Failure: asFailureBody(request.AsFailure(err))}
	}
	return message{Type: endType, End: asEndBody(result, pieces)}
}
