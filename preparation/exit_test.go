package preparation

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/request"
)

// Guards against a request of an instance that shuts down which is held, or gets an engine,
// though it can't be prepared before the exit: a new one, one that waits, and one that was
// sent before.
func TestRefusesWhatExitCutsShort(t *testing.T) {
	const exit = 100 * time.Millisecond
	within := func(task Task) Task { return task.WithAnswerBy(time.Now().Add(exit), time.Now()) }
	for name, prepare := range map[string]func(ctx context.Context, r *fixture) error{
		"new": func(ctx context.Context, r *fixture) error {
			_, err := r.Prepare(ctx, within(withMoreTime(chainTask("x"))))
			return err
		},
		"waiting": func(ctx context.Context, r *fixture) error {
			time.AfterFunc(10*time.Millisecond, func() { r.SetAnswerBy("x", time.Now().Add(exit)) })
			_, err := r.Prepare(ctx, withMoreTime(chainTask("x")))
			return err
		},
		"sent before": func(ctx context.Context, r *fixture) error {
			task := withMoreTime(chainTask("x"))
			task.Try = 1
			if _, err := r.Prepare(ctx, task); err != nil {
				return err
			}
			task.Try, task.Prompt.InputTokens = 2, 200*prefillTokensPerMs
			_, err := r.Prepare(ctx, within(task))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				err := prepare(t.Context(), newFixture(t, 1))
				is.True(errors.Is(err, request.ReasonLeaving))
			})
		})
	}
}
