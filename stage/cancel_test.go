package stage_test

import (
	"context"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"lycheecrank.example/request"
	"lycheecrank.example/stage"
	"lycheecrank.example/standin/work"
)

// Guards against an answer that waits for a frozen engine to confirm a Cancel call
// and so exceeds the deadline. The Cancel call must be sent nevertheless.
func TestCancelOfFrozenEngine(t *testing.T) {
	r := newRig(t, request.Generate, work.Limits{})
	cancelled, release := make(chan request.Identity, 1), make(chan struct{})
	r.client.Engine = func(string) stage.Engine {
		return stage.Engine{
			Execute: func(ctx context.Context, _ request.Step, _ func(stage.EngineMessage) error) error {
				httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
				<-ctx.Done()
				return ctx.Err()
			},
			Cancel: func(_ context.Context, id request.Identity) (bool, error) {
				cancelled <- id
				<-release
				return true, nil
			},
		}
	}
	answered := make(chan stage.Execution, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var calling sync.WaitGroup
	calling.Go(func() { answered <- r.client.Execute(ctx, r.step(), r.backend(), nil) })
	id := await(t, cancelled, "the engine received no Cancel call")
	e := await(t, answered, "Execute waits for the Cancel call to return")
	close(release)
	if id != r.step().Identity() || e.Failure == nil || e.Failure.Reason != request.ReasonCancelled || !e.Failure.Sent {
		t.Errorf("%+v, %+v", id, e.Failure)
	}
}

func await[T any](t *testing.T, c <-chan T, message string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal(message)
	}
	panic("unreachable")
}
