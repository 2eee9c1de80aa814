package dispatch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/request"
)

// Guards against a deadline of the caller's context that reaches the call to the
// server as a cancellation: the step would fail as cancelled by the caller, and no
// other server would be tried.
func TestDeadlineOfCallerReachesCallAsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var cause error
		table := dispatch.NewTable()
		free := backend.NewServer(backend.Spec{Name: "s0", Pool: "p", LowestRank: 9, MaxInFlight: 1, ColdInFlight: 1}, time.Now())
		table.Reserve = func(string, int, []string, backend.Permission, time.Time) (backend.Server, bool) { return free, true }
		table.Release = func(string, backend.Observation, time.Time) {}
		table.Capacity = func(string, int, backend.Permission) backend.Capacity { return backend.Capacity{Slots: 1} }
		table.Permission = func(string, time.Time) backend.Permission {
			return backend.Permission{AllowCold: true, WarmLimitDivisor: 1}
		}
		table.MaxQueued = func(string) int { return 1 }
		table.Failures = &counter.Set{}
		table.Execute = func(ctx context.Context, _ dispatch.Assignment) dispatch.Execution {
			<-ctx.Done()
			cause = context.Cause(ctx)
			f := request.Refuse(request.ReasonDeadlinePassed, "").WithSent(true)
			return dispatch.Execution{Failure: &f}
		}
		answered := make(chan error, 1)
		step := request.Step{RequestID: "r", Workspace: "a", Weight: 1, Pool: "p", Deadline: time.Now().Add(time.Hour)}
		var callers sync.WaitGroup
		callers.Go(func() {
			_, err := table.Commands().Do(ctx, step, nil)
			answered <- err
		})
		a, ok := table.Commands().Next(t.Context())
		is.True(ok)
		table.Commands().Run(t.Context(), a)
		callers.Wait()
		is.True(errors.Is(<-answered, request.ReasonDeadlinePassed))
		is.True(errors.Is(cause, context.DeadlineExceeded))
	})
}
