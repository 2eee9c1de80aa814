package standin

import (
	"context"
	"net/http"
	"path"
	"time"

	"connectrpc.com/connect"

	"lycheecrank.example/counter"
	"lycheecrank.example/standin/fault"
)

// obedience is the connect interceptor that makes calls obey the fault.
type obedience struct {
	commands *fault.Commands
	queries  *fault.Queries
	counts   *counter.Set
	// cool makes the stand-in cold.
	cool func()
}

func newObedience(name string) *obedience {
	table := fault.NewTable()
	return &obedience{
		commands: fault.NewCommands(table),
		queries:  fault.NewQueries(table),
		counts:   counter.NewSet("standin." + name),
		cool:     func() {},
	}
}

type callKey struct{}

// faultOf returns the fault of the call that a context belongs to.
func faultOf(ctx context.Context) fault.Call {
	c, _ := ctx.Value(callKey{}).(fault.Call)
	return c
}

// WrapUnary makes unary calls obey.
func (o *obedience) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		call, err := o.begin(req.Spec())
		if err != nil {
			return nil, err
		}
		res, err := next(context.WithValue(ctx, callKey{}, call), req)
		if err == nil && call.LoseAnswer {
			panic(http.ErrAbortHandler)
		}
		return res, err
	}
}

// WrapStreamingClient changes nothing, since a stand-in answers calls.
func (o *obedience) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler makes streams obey.
func (o *obedience) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		call, err := o.begin(conn.Spec())
		if err != nil {
			return err
		}
		if call.LoseAnswer {
			conn = silentConn{conn}
		}
		err = next(context.WithValue(ctx, callKey{}, call), conn)
		if err == nil && call.LoseAnswer {
			panic(http.ErrAbortHandler)
		}
		return err
	}
}

// silentConn drops the messages of a stream whose answer is lost.
type silentConn struct {
	connect.StreamingHandlerConn
}

// Send drops a message.
func (silentConn) Send(any) error { return nil }

// begin applies the faults that come before the effect of a call. A frozen or
// delayed call goes on even when its caller has gone, as in a real process that
// was suspended with the request in its buffer.
func (o *obedience) begin(spec connect.Spec) (fault.Call, error) {
	method := path.Base(spec.Procedure)
	o.counts.Add("calls." + method)
	call := o.commands.Take(method)
	if call.Down {
		return call, errDown()
	}
	if call.Freeze {
		select {
		case <-call.Ended:
		case <-o.queries.Stopping():
		}
	}
	if call.Delay > 0 {
		timer := time.NewTimer(call.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-o.queries.Stopping():
		}
	}
	if call.Fail {
		return call, connect.NewError(connect.CodeInternal, errFault)
	}
	if call.Cold {
		o.cool()
	}
	return call, nil
}

// compressMinBytes is the size from which stand-ins compress their answers. Without a
// bound the compression of short messages took 85% of what tests allocate.
const compressMinBytes = 4 << 10

// obey returns the options of the handlers of a stand-in.
func (o *obedience) obey() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithInterceptors(o), connect.WithCompressMinBytes(compressMinBytes))
}

// during applies the current fault to a stream that runs already: it waits
// while the fault freezes the stream and returns an error once the stand-in is
// down. Streams call it between two messages.
func (o *obedience) during(ctx context.Context, method string) (fault.Call, error) {
	for {
		call := o.queries.Running(method)
		switch {
		case call.Down:
			return call, errDown()
		case !call.Freeze:
			return call, nil
		}
		select {
		case <-call.Ended:
		case <-o.queries.Stopping():
			return call, nil
		case <-ctx.Done():
			return call, context.Cause(ctx)
		}
	}
}
