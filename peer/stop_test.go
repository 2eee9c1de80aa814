package peer_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/request"
)

// Guards against a planned stop that hides from its peers that their steps haven't run: the
// steps are refused at the end of the drain, and the refusals aren't written.
func TestStopWritesRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, c, l := newServer(), newClient(), newPipeListener()
		began := make(chan struct{})
		s.Execute = func(ctx context.Context, _ request.Step, _ request.Sink) (request.Result, error) {
			close(began)
			<-ctx.Done()
			return request.Result{}, request.Refuse(request.ReasonPeerUnreachable, "leaving")
		}
		c.Dial = l.dial
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = s.Serve(ctx, l) })
		running.Go(func() {
			<-began
			time.Sleep(time.Millisecond)
			stop()
		})
		_, err := c.Execute(t.Context(), "b", step("ab"), nil)
		var failure request.Failure
		is.True(errors.As(err, &failure))
		is.True(!failure.Sent) // the server knows that the step hasn't run
		c.Close()
		running.Wait()
	})
}

// Guards against a planned stop that drops the result of a step which has run and whose
// answer is queued.
func TestStopWritesQueuedResults(t *testing.T) {
	const rounds = 100
	is := is.New(t)
	lost := 0
	for range rounds {
		s, c := newServer(), newClient()
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		ctx, stop := context.WithCancel(t.Context())
		s.Execute = func(ctx context.Context, st request.Step, sink request.Sink) (request.Result, error) {
			result, err := echo(ctx, st, sink)
			time.AfterFunc(0, stop) // the drain sees that no step is left
			return result, err
		}
		var running sync.WaitGroup
		running.Go(func() { _ = s.Serve(ctx, l) })
		if _, err := c.Execute(t.Context(), l.Addr().String(), step("ab"), nil); err != nil {
			lost++
		}
		c.Close()
		running.Wait()
		stop()
	}
	is.Equal(lost, 0) // results of steps that have run
}
