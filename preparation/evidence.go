package preparation

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheecrank.example/batch"
	"lycheecrank.example/rollout"
)

// StageRoutePrefix precedes the name of a stage pool in evidence about versions: its calls
// hold pieces of several routes.
const StageRoutePrefix = "stage:"

// typicalScale is the time that stands for the typical time of a call in evidence. Calls
// have different numbers of pieces.
const typicalScale = 100 * time.Millisecond

// recordEvidence adds a call to the evidence about versions. A server that can't be reached
// is no evidence about its version, and one that doesn't answer in time counts as slow.
func (c *Coordinator) recordEvidence(call batch.Call, results []Result, err error, now time.Time) {
	response := rollout.Response{Pool: call.Pool, Route: StageRoutePrefix + call.Pool, Server: call.Server.ID}
	if call.TypicalTime > 0 {
		response.Took = time.Duration(float64(now.Sub(call.SentAt)) / float64(call.TypicalTime) * float64(typicalScale))
	}
	switch {
	case err == nil:
		response.IsBad = len(results) != len(call.Pieces) || slices.ContainsFunc(results, func(r Result) bool { return r.Status == Failed })
	case errors.Is(err, ErrBadAnswer):
		response.IsBad = true
	case !errors.Is(err, context.DeadlineExceeded):
		return
	}
	c.Rollouts.Commands().Record(response)
}
