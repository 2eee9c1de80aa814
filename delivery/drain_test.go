package delivery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/drain"
	"lycheecrank.example/request"
)

// Guards against a request that is sent to a server although its instance exits before the
// answer is expected, and against a failure at the exit that hides whether it may have run.
func TestSendBeforeExit(t *testing.T) {
	for _, path := range []string{"/lookup/1", "/order/1", "/chat/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter()
				r.script = []scriptedAnswer{okAnswer(events(1, 3)), {delay: time.Minute}}
				schedule := drain.Schedule{}
				r.StopSchedule = func() drain.Schedule { return schedule }
				is.True(r.Deliver(t.Context(), r.attempt(path)).Failure == nil) // the service time is known now

				// The shutdown begins after the admission.
				r.OnAdmission = func(Admission) { schedule = drain.Schedule{AnswerBy: time.Now().Add(-time.Millisecond)} }
				result := r.Deliver(t.Context(), r.attempt(path))
				is.Equal(result.Failure.Reason, request.ReasonLeaving)
				is.True(!result.Failure.Sent)
				is.Equal(len(r.sends), 1)

				schedule = drain.Schedule{}
				r.OnAdmission = func(Admission) {}
				ctx, stop := context.WithCancelCause(t.Context())
				time.AfterFunc(100*time.Millisecond, func() { stop(ErrStopping) })
				result = r.Deliver(ctx, r.attempt(path))
				is.Equal(result.Failure.Reason, request.ReasonLeaving)
				is.True(result.Failure.Sent)
				is.True(!result.HasStarted)
			})
		})
	}
}
