// Package stage provides typed clients for the backend servers: model engines,
// encoders, retrievers, rerankers and plain services. It verifies that each
// result belongs to its step and is complete.
package stage

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// Client calls the backend servers of all kinds. Concurrent calls are safe.
type Client struct {
	// HTTP is used for all calls; it must not retry requests on its own.
	HTTP *http.Client
	// OnDropped is called for each result or piece that is dropped, with the reason.
	OnDropped func(step request.Step, reason string)
	// Engine, Encoder, Retriever, Reranker and Service return a client for the
	// server at an address.
	Engine    func(address string) Engine
	Encoder   func(address string) UnaryClient
	Retriever func(address string) UnaryClient
	Reranker  func(address string) UnaryClient
	Service   func(address string) UnaryClient

	// cancelCalls runs the Cancel calls to engines; each has the timeout
	// cancelTimeout.
	cancelCalls errgroup.Group
}

// NewClient returns a client that calls backend servers through an HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{
		HTTP:      client,
		OnDropped: func(request.Step, string) {},
		Engine:    func(address string) Engine { return NewEngine(client, "http://"+address) },
		Encoder:   func(address string) UnaryClient { return NewEncoder(client, "http://"+address) },
		Retriever: func(address string) UnaryClient { return NewRetriever(client, "http://"+address) },
		Reranker:  func(address string) UnaryClient { return NewReranker(client, "http://"+address) },
		Service:   func(address string) UnaryClient { return NewService(client, "http://"+address) },
	}
}

// Output is the response of a server to a step. Incarnation identifies one start of
// the server.
type Output struct {
	Identity    request.Identity
	Incarnation string
	Data        []byte
	LengthBytes uint64
	SHA256      []byte
}

// UnaryClient is a client for a server that responds to a step with a single
// message.
type UnaryClient struct {
	Execute func(ctx context.Context, step request.Step) (Output, error)
	// Load requests the load report of the server.
	Load func(ctx context.Context) (backend.Report, error)
}

// Execution is the outcome of executing a step at a server. Failure is nil if the
// result is valid. Incarnation identifies one start of the server.
type Execution struct {
	Result  request.Result
	Failure *request.Failure
	// ResponseTime is the time to the first piece, or to the complete response if
	// there are no pieces.
	ResponseTime time.Duration
	Incarnation  string
}

// Execute runs a step at a server and validates its result.
func (c *Client) Execute(ctx context.Context, step request.Step, server backend.Server, sink request.Sink) Execution {
	call := &call{client: c, step: step, server: server, sink: sink, started: time.Now()}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { call.sent.Store(true) },
	})
	output, err := call.run(ctx)
	if err == nil {
		err = call.check(output)
	}
	e := Execution{ResponseTime: call.responseTime(), Incarnation: output.Incarnation}
	if err != nil {
		f := call.failure(ctx, err)
		e.Failure = &f
		return e
	}
	e.Result = request.Result{
		Identity: step.Identity(), Output: output.Data, Server: server.Name, ExecutionTime: time.Since(call.started),
	}
	return e
}

// Load requests the load report of a server.
func (c *Client) Load(ctx context.Context, kind request.Kind, address string) (backend.Report, error) {
	if kind == request.Generate {
		return c.Engine(address).Load(ctx)
	}
	return c.unaryClient(kind, address).Load(ctx)
}

func (c *Client) unaryClient(kind request.Kind, address string) UnaryClient {
	switch kind {
	case request.Encode:
		return c.Encoder(address)
	case request.Retrieve:
		return c.Retriever(address)
	case request.Rerank:
		return c.Reranker(address)
	default:
		return c.Service(address)
	}
}

// call is the execution of one step at one server. For an engine it may consist of
// several calls: Execute, Resume and Cancel.
type call struct {
	client  *Client
	step    request.Step
	server  backend.Server
	sink    request.Sink
	started time.Time
	// sent is set once a connection is available, because a byte may reach the
	// server from then on.
	sent       atomic.Bool
	firstPiece time.Time
}

func (c *call) run(ctx context.Context) (Output, error) {
	if c.step.Kind == request.Generate {
		return c.generate(ctx)
	}
	return c.client.unaryClient(c.step.Kind, c.server.Address).Execute(ctx, c.step)
}

func (c *call) responseTime() time.Duration {
	if !c.firstPiece.IsZero() {
		return c.firstPiece.Sub(c.started)
	}
	return time.Since(c.started)
}

// errInvalidResult is returned for a result that does not belong to its step or is
// incomplete. OnDropped receives which of the two it is.
var errInvalidResult = errors.New("the result is incomplete or belongs to another attempt")

// check returns an error unless the output belongs to the step and is complete.
func (c *call) check(o Output) error {
	sum := sha256.Sum256(o.Data)
	switch {
	case o.Identity != c.step.Identity():
		return c.dropResult("foreign")
	case o.LengthBytes != uint64(len(o.Data)) || !bytes.Equal(o.SHA256, sum[:]):
		return c.dropResult("truncated")
	}
	return nil
}

// dropResult reports a dropped result and returns errInvalidResult.
func (c *call) dropResult(reason string) error {
	c.client.OnDropped(c.step, reason)
	return errInvalidResult
}

// failure converts an error of a call to a request.Failure.
func (c *call) failure(ctx context.Context, err error) request.Failure {
	f := request.Failure{Reason: request.ReasonServerFailed, Detail: err.Error(), Sent: c.sent.Load(), Server: c.server.Name}
	switch {
	case errors.Is(err, errInvalidResult), isTooLarge(err):
		f.Reason = request.ReasonResultInvalid
	case errors.Is(err, errSinkFailed):
		// The server is not at fault.
		f.Reason = request.ReasonCancelled
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		f.Reason = request.ReasonDeadlinePassed
	case ctx.Err() != nil:
		f.Reason = request.ReasonCancelled
	case !f.Sent:
		f.Reason = request.ReasonServerUnreachable
	case isColdOrOverloaded(err):
		f.Reason = request.ReasonServerCold
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		f.Reason = request.ReasonDeadlinePassed
	}
	return f
}

// isColdOrOverloaded reports whether a server refused a step because it is in cold
// start or overloaded.
func isColdOrOverloaded(err error) bool {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return false
	}
	return ce.Code() == connect.CodeResourceExhausted && !isTooLarge(err) ||
		(ce.Code() == connect.CodeUnavailable && strings.HasPrefix(ce.Message(), "cold"))
}
