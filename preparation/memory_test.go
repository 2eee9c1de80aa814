package preparation

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/engine"
	"lycheecrank.example/request"
)

// Guards against a request that is sent to an engine without memory for it, that isn't
// refused at its objective, or at once if it can never be served, that isn't declined while
// another cell can be asked, and against a stream that isn't continued because its
// objective is over.
func TestEngineMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		spec := engineSpec(8)
		spec.MemoryTokens = 10_000
		r.Engines.Commands().SetPool(spec, engineEndpoints(2))
		try, objective := 1, time.Second
		prepare := func(id string, tokens int64) (time.Duration, Placement, error) {
			startedAt := time.Now()
			p, err := r.Prepare(t.Context(), Task{
				RequestID: id, Pool: "models", Try: try, Objective: objective, Deadline: 4 * time.Second,
				Prompt: engine.Prompt{InputTokens: tokens, MaxOutputTokens: 500},
			})
			return time.Since(startedAt), p, err
		}
		took, _, err := prepare("r1", 10_100)
		is.Equal(request.AsFailure(err).Reason, request.ReasonInputTooLarge)
		is.Equal(took, time.Duration(0))
		_, whole, err := prepare("r9", 9_600) // only the declared output exceeds the memory
		is.NoErr(err)
		r.Engines.Commands().RecordEnd("models", whole.Server, "r9")
		_, first, err := prepare("r2", 9_000)
		is.NoErr(err)
		_, second, err := prepare("r3", 9_000)
		is.NoErr(err)
		is.True(first.Server != second.Server)
		declined, err := r.Prepare(t.Context(), Task{RequestID: "r0", Pool: "models", Try: 1, OnTimeOnly: true, Deadline: time.Second, Prompt: engine.Prompt{InputTokens: 5_000}})
		is.NoErr(err)
		is.True(declined.IsDeclined)
		took, _, err = prepare("r4", 5_000)
		failure := request.AsFailure(err)
		is.Equal(failure.Reason, request.ReasonQueueFull)
		is.True(!failure.Sent && failure.RetryAfter > 0)
		is.True(took >= time.Second && took <= time.Second+engineRetryInterval)
		time.AfterFunc(300*time.Millisecond, func() { r.RecordEnd("models", first.Server, "r2", RunEnded) })
		took, third, err := prepare("r5", 5_000)
		is.NoErr(err)
		is.Equal(third.Server, first.Server)
		is.True(took >= 300*time.Millisecond && took <= 300*time.Millisecond+engineRetryInterval)
		try, objective = 2, -time.Second
		time.AfterFunc(2*time.Second, func() { r.RecordEnd("models", second.Server, "r3", RunEnded) })
		_, fourth, err := prepare("r6", 6_000)
		is.NoErr(err)
		is.Equal(fourth.Server, second.Server)
	})
}
