package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

// dialLimit bounds one connection attempt. Data centres are a few milliseconds
// apart, so one second covers the retransmission of a lost packet.
const dialLimit = time.Second

// Client opens exchanges with other instances, over one connection to each. Set
// the exported fields before the first call; the methods are then safe for
// concurrent use.
type Client struct {
	// Self identifies this instance in the handshake.
	Self Hello
	// Dial connects to an address before its context ends.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnConnected is called with each new connection; it may be nil.
	OnConnected func(address string, peer Hello)
	// PeerTimeout is the longest wait for an expected message of the peer; 0 means
	// 3 s.
	PeerTimeout time.Duration
	Logger      *event.Logger
	Counters    *counter.Set

	commands Commands
	queries  Queries
	running  sync.WaitGroup
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewClient returns a client that dials TCP and discards its log.
func NewClient(self Hello) *Client {
	table := NewTable()
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		Self:     self,
		Dial:     dialTCP,
		Logger:   event.Discard(),
		Counters: &counter.Set{},
		commands: Commands{table},
		queries:  Queries{table},
		ctx:      ctx,
		cancel:   cancel,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Queries returns the queries on the links of the client.
func (c *Client) Queries() Queries { return c.queries }

// Close closes all connections and waits for their goroutines. Open exchanges
// fail as they do when a connection breaks.
func (c *Client) Close() {
	open := c.commands.close()
	c.cancel()
	for _, o := range open {
		o.fail(ErrClosed)
	}
	c.running.Wait()
}

// ResetBackoff ends the backoff of an address, so that the next exchange connects at
// once. It is called when a message of the instance at that address has arrived.
func (c *Client) ResetBackoff(address string) { c.commands.resetBackoff(address, time.Now()) }

// connect returns the connection to an address and dials if there is none. Its
// errors are failures with Sent false and either ReasonPeerUnreachable or the
// reason of the ended context.
func (c *Client) connect(ctx context.Context, address string) (*dialledConn, error) {
	for {
		link, ok := c.commands.startDial(address, time.Now(), func() {
			c.running.Go(func() { c.runConnection(address) })
		})
		switch {
		case !ok:
			return nil, request.Refuse(request.ReasonPeerUnreachable, "peer client is closed")
		case link.conn != nil && !link.conn.isDone():
			return link.conn, nil
		case link.conn != nil:
			c.commands.recordLoss(address, link.conn, link.conn.cause, time.Now())
			continue
		case link.dialling == nil:
			wait := time.Until(link.RetryAt)
			detail := fmt.Sprintf("connection to %s failed %d times in a row, last error: %s", address, link.Failures, link.LastError)
			return nil, request.Refuse(request.ReasonPeerUnreachable, detail).WithRetryAfter(wait)
		}
		select {
		case <-link.dialling:
		case <-ctx.Done():
			return nil, contextFailure(ctx, false)
		}
	}
}

// contextFailure returns the failure of an exchange whose context has ended.
func contextFailure(ctx context.Context, sent bool) request.Failure {
	reason := request.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = request.ReasonDeadlinePassed
	}
	return request.Refuse(reason, ctx.Err().Error()).WithSent(sent)
}

// runConnection dials an address and runs the connection until it fails.
func (c *Client) runConnection(address string) {
	conn, hello, err := c.dial(address)
	if err != nil {
		c.commands.recordFailure(address, err, time.Now())
		c.Counters.Add("dialFailed")
		c.report(address, err)
		return
	}
	if !c.commands.recordConnected(address, conn, hello, time.Now()) {
		conn.fail(ErrClosed)
	}
	c.Logger.Write(event.PeerConnected, hello.Instance, hello.DataCentre)
	if c.OnConnected != nil {
		c.OnConnected(address, hello)
	}
	err = conn.run()
	c.commands.recordLoss(address, conn, err, time.Now())
	if !errors.Is(err, ErrClosed) {
		c.report(hello.Instance, err)
	}
}

func (c *Client) dial(address string) (*dialledConn, Hello, error) {
	ctx, cancel := context.WithTimeout(c.ctx, dialLimit)
	defer cancel()
	n, err := c.Dial(ctx, address)
	if err != nil {
		return nil, Hello{}, eris.Wrap(err, "dial")
	}
	conn := newConnection(n, c.PeerTimeout)
	stop := context.AfterFunc(c.ctx, func() { conn.fail(ErrClosed) })
	defer stop()
	hello, err := conn.handshake(c.Self)
	if err != nil {
		conn.fail(err)
		return nil, Hello{}, err
	}
	return newDialledConn(conn, c.Counters), hello, nil
}

func (c *Client) report(peer string, err error) {
	if reason, ok := frameErrorCounter(err); ok {
		c.Counters.Add(reason)
		c.Logger.Write(event.PeerFrameRefused, peer, err)
		return
	}
	c.Logger.Write(event.PeerLost, peer, err)
}
