package expiry_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/expiry"
)

// Guards against a timeout that never passes, passes early, or looks like the cancellation of a
// caller.
func TestWithTimeout(t *testing.T) {
	errParent := errors.New("parent ended")
	for _, x := range []struct {
		name  string
		end   func(cancel, cancelParent func())
		at    time.Duration
		err   error
		cause error
	}{
		{"expires", nil, time.Second, context.DeadlineExceeded, context.DeadlineExceeded},
		{"is cancelled", func(cancel, _ func()) { cancel() }, 450 * time.Millisecond, context.Canceled, context.Canceled},
		{"parent ends", func(_, cancelParent func()) { cancelParent() }, 450 * time.Millisecond, context.Canceled, errParent},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				parent, cancelParent := context.WithCancelCause(t.Context())
				defer cancelParent(nil)
				ctx, cancel := expiry.WithTimeout(parent, time.Second)
				defer cancel()
				is.NoErr(ctx.Err())
				if x.end != nil {
					time.AfterFunc(x.at, func() { x.end(cancel, func() { cancelParent(errParent) }) })
				}
				start := time.Now()
				<-ctx.Done()
				is.Equal(time.Since(start), x.at)
				time.Sleep(2 * time.Second) // the end stays as it is
				is.Equal(ctx.Err(), x.err)
				is.Equal(context.Cause(ctx), x.cause)
			})
		})
	}
}

// Guards against a call within a wait that outlasts the wait.
func TestNested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		wait, cancelWait := expiry.WithTimeout(t.Context(), time.Second)
		defer cancelWait()
		call, cancelCall := expiry.WithTimeout(wait, time.Minute)
		defer cancelCall()
		start := time.Now()
		<-call.Done()
		is.Equal(time.Since(start), time.Second)
		is.Equal(call.Err(), context.DeadlineExceeded)
	})
}
