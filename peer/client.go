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

// dialLimit bounds one attempt to connect. Data centres are a few milliseconds
// apart, so a second covers one lost packet.
const dialLimit = time.Second

// Client opens exchanges with other instances over one connection to each. Set
// the exported fields before the first call; concurrent calls are safe then.
type Client struct {
	// Self is the hello of this instance.
	Self Hello
	// Dial connects to an address within the time of its context.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Connected is told about each new connection; it may be nil.
	Connected func(address string, peer Hello)
	// SilenceLimit is how long a peer may owe a message; 0 stands for 3 s.
	SilenceLimit time.Duration
	Logger       *event.Logger
	Counters     *counter.Set

	commands Commands
	queries  Queries
	running  sync.WaitGroup
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewClient returns a client that dials TCP and logs nothing.
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

// Queries reads the links of the client.
func (c *Client) Queries() Queries { return c.queries }

// Close closes all connections and waits for their goroutines. Exchanges that
// are open fail as on a broken connection.
func (c *Client) Close() {
	open := c.commands.close()
	c.cancel()
	for _, o := range open {
		o.fail(ErrClosed)
	}
	c.running.Wait()
}

// Forgive lets the next exchange with an address connect at once, such as after
// a message of the instance there.
func (c *Client) Forgive(address string) { c.commands.forgive(address, time.Now()) }

// connect returns the connection to an address. Its errors are failures with
// ReasonPeerUnreachable, or the reason of the ended context, and nothing sent.
func (c *Client) connect(ctx context.Context, address string) (*outbound, error) {
	for {
		link, ok := c.commands.begin(address, time.Now(), func() {
			c.running.Go(func() { c.serve(address) })
		})
		switch {
		case !ok:
			return nil, request.Refuse(request.ReasonPeerUnreachable, "client closed")
		case link.conn != nil && !link.conn.isDone():
			return link.conn, nil
		case link.conn != nil:
			c.commands.lost(address, link.conn, link.conn.cause, time.Now())
			continue
		case link.dialling == nil:
			wait := time.Until(link.RetryAt)
			detail := fmt.Sprintf("%s failed %d times, last with: %s", address, link.Failures, link.Cause)
			return nil, request.Refuse(request.ReasonPeerUnreachable, detail).WithRetryAfter(wait)
		}
		select {
		case <-link.dialling:
		case <-ctx.Done():
			return nil, ended(ctx, false)
		}
	}
}

// ended returns the failure of an exchange whose context has ended.
func ended(ctx context.Context, sent bool) request.Failure {
	reason := request.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = request.ReasonDeadlinePassed
	}
	return request.Refuse(reason, ctx.Err().Error()).WithSent(sent)
}

// serve dials an address and runs the connection until it fails.
func (c *Client) serve(address string) {
	o, hello, err := c.dial(address)
	if err != nil {
		c.commands.failed(address, err, time.Now())
		c.Counters.Add("dialFailed")
		c.report(address, err)
		return
	}
	if !c.commands.connected(address, o, hello, time.Now()) {
		o.fail(ErrClosed)
	}
	c.Logger.Write(event.PeerConnected, hello.Instance, hello.DataCentre)
	if c.Connected != nil {
		c.Connected(address, hello)
	}
	err = o.run()
	c.commands.lost(address, o, err, time.Now())
	if !errors.Is(err, ErrClosed) {
		c.report(hello.Instance, err)
	}
}

func (c *Client) dial(address string) (*outbound, Hello, error) {
	ctx, cancel := context.WithTimeout(c.ctx, dialLimit)
	defer cancel()
	n, err := c.Dial(ctx, address)
	if err != nil {
		return nil, Hello{}, eris.Wrap(err, "dial")
	}
	conn := newConnection(n, c.SilenceLimit)
	stop := context.AfterFunc(c.ctx, func() { conn.fail(ErrClosed) })
	defer stop()
	hello, err := conn.greet(c.Self)
	if err != nil {
		conn.fail(err)
		return nil, Hello{}, err
	}
	return newOutbound(conn, c.Counters), hello, nil
}

func (c *Client) report(peer string, err error) {
	if reason, ok := refusal(err); ok {
		c.Counters.Add(reason)
		c.Logger.Write(event.PeerFrameRefused, peer, err)
		return
	}
	c.Logger.Write(event.PeerLost, peer, err)
}
