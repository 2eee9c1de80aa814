package preparation

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"lycheecrank.example/batch"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

// execute makes one call and applies its results.
func (c *Coordinator) execute(ctx context.Context, call batch.Call) {
	c.table.Commands().beginCall(call.Pieces)
	defer c.table.Commands().endCall(call.Pieces)
	ctx, cancel := context.WithTimeout(ctx, call.Limit())
	defer cancel()
	var isEnded atomic.Bool
	fetchTimer := time.AfterFunc(inputFetchTime, func() {
		if !isEnded.Load() {
			c.applyEffects(c.table.Commands().recordInputsFetched(call.Pieces, c.poolInfo(), time.Now()))
		}
	})
	defer fetchTimer.Stop()
	results, err := c.Call(ctx, call)
	isEnded.Store(true)
	now := time.Now()
	c.OnCall(call.Pool, now.Sub(call.SentAt))
	if err != nil || len(results) != len(call.Pieces) {
		c.failCall(call, err, now)
		return
	}
	var completed []batch.Made
	for i, r := range results {
		if r.Status == Completed {
			completed = append(completed, batch.Made{Piece: call.Pieces[i], Handle: r.Handle})
		}
	}
	c.Batches.Commands().End(call, completed, now)
	if slices.ContainsFunc(results, func(r Result) bool { return r.Status == OutOfMemory }) {
		c.Batches.Commands().MarkFull(call, now)
		c.refreshServerMemory(ctx, call.Pool, call.Server)
	}
	for i, r := range results {
		c.applyResult(call, call.Pieces[i], r, now)
	}
}

// applyResult applies the result of one piece.
func (c *Coordinator) applyResult(call batch.Call, p batch.Piece, r Result, now time.Time) {
	switch r.Status {
	case Completed:
		c.applyEffects(c.table.Commands().recordResult(p, r.Handle, c.poolInfo(), now))
	case InputMissing:
		c.Counters.Add("inputGone")
		c.rebuild(p, call.Server.ID, now)
	case OutOfMemory:
		c.Counters.Add("noRoom")
		c.retryPiece(p, "")
	case DeadlineExceeded:
		c.Counters.Add("pieceLate")
	case Failed:
		c.Counters.Add("pieceFailed")
		c.retryPiece(p, call.Server.ID)
	}
}

// failCall queues all pieces of a failed call again, for other servers.
func (c *Coordinator) failCall(call batch.Call, err error, now time.Time) {
	isFull := errors.Is(err, ErrFull)
	reason := "callFailed"
	if isFull {
		reason = "callRefused"
	}
	c.Counters.Add(reason)
	c.Logger.Write(event.StageCallFailed, call.Pool, call.Server.ID, len(call.Pieces), now.Sub(call.SentAt).Milliseconds(), err)
	c.Batches.Commands().Fail(call, isFull, now)
	for _, p := range call.Pieces {
		c.retryPiece(p, call.Server.ID)
	}
}

// rebuild recomputes all results of a request after a server reported that the inputs
// of a piece are gone.
func (c *Coordinator) rebuild(p batch.Piece, server string, now time.Time) {
	c.Logger.Write(event.ResultsRebuilt, p.Request, p.Stage, p.Number, p.Pool, server, now.Sub(p.QueuedAt).Milliseconds(), p.Inputs)
	s, isRebuilt := c.table.Commands().rebuild(p, c.poolInfo(), now)
	c.applyEffects(s)
	if isRebuilt && !c.RecomputeBudget.Withdraw() {
		c.Counters.Add("remakeBudget")
		c.refuse(p.Request, stagesFailed("recompute budget exhausted"))
	}
}

// retryPiece queues a piece again. If the piece may not be recomputed any more, its
// request is refused at once, so that the client can react before its deadline.
func (c *Coordinator) retryPiece(p batch.Piece, avoid string) {
	switch r := c.table.Commands().retry(p); {
	case r == ignorePiece:
		return
	case r == rebuildRequest:
		c.Counters.Add("inputGivenUp")
		c.rebuild(p, avoid, time.Now())
		return
	case r == refuseRequest:
		c.Counters.Add("triesSpent")
		c.refuse(p.Request, stagesFailed("recompute limit of the request reached"))
		return
	case !c.RecomputeBudget.Withdraw():
		c.Counters.Add("remakeBudget")
		c.refuse(p.Request, stagesFailed("recompute budget exhausted"))
		return
	}
	p.Avoid = avoid
	c.Batches.Commands().Enqueue([]batch.Piece{p})
}

// refuse refuses a request that is being prepared.
func (c *Coordinator) refuse(id string, f request.Failure) {
	c.Batches.Commands().Withdraw(id)
	c.release(c.table.Commands().refuse(id, f))
}

// unattainable returns the refusal of a request that can't meet its deadline because of
// the work queued before it.
func unattainable(wait time.Duration) request.Failure {
	return request.Refuse(request.ReasonDeadlineUnattainable, "stage queues too long to meet the deadline").WithRetryAfter(wait)
}

// stagesFailed returns the refusal of a request whose stage calls keep failing.
func stagesFailed(detail string) request.Failure {
	return request.Refuse(request.ReasonNoServer, detail).WithRetryAfter(minRetryAfter)
}
