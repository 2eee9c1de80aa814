package preparation

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"lycheecrank.example/batch"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

// execute makes one call and applies its results. After a panic, the requests with pieces in
// the call are refused.
func (c *Coordinator) execute(ctx context.Context, call batch.Call) {
	isRecorded := false
	defer func() {
		if cause := recover(); cause != nil {
			c.endPanicked(call, cause, isRecorded)
		}
	}()
	c.table.Commands().beginCall(call.Pieces)
	defer c.table.Commands().endCall(call.Pieces)
	ctx, cancel := context.WithTimeout(ctx, call.Timeout())
	defer cancel()
	var isEnded atomic.Bool
	fetchTimer := time.AfterFunc(inputFetchTime, func() {
		defer func() {
			if cause := recover(); cause != nil {
				c.endPanicked(call, cause, true)
			}
		}()
		if !isEnded.Load() {
			c.applyEffects(c.table.Commands().recordInputsFetched(call.Pieces, c.poolInfo(), time.Now()))
		}
	})
	defer fetchTimer.Stop()
	results, err := c.Call(ctx, call)
	isEnded.Store(true)
	now := time.Now()
	c.OnCall(call.Pool, now.Sub(call.SentAt))
	c.recordEvidence(call, results, err, now)
	if err == nil && c.isRepeated(call, results) {
		err = ErrRepeatedAnswer
	}
	isRecorded = true
	if err != nil || len(results) != len(call.Pieces) {
		c.failCall(call, err, now)
		return
	}
	var completed []batch.CompletedPiece
	for i, r := range results {
		if r.Status == Completed {
			completed = append(completed, batch.CompletedPiece{Piece: call.Pieces[i], Handle: r.Handle})
		}
	}
	c.Batches.Commands().CompleteCall(call, completed, now)
	if slices.ContainsFunc(results, func(r Result) bool { return r.Status == OutOfMemory }) {
		c.Batches.Commands().MarkFull(call, now)
		c.refreshServerMemory(ctx, call.Pool, call.Server)
	}
	for i, r := range results {
		c.applyResult(call, call.Pieces[i], r, now)
	}
}

// endPanicked ends a call after a panic. isRecorded is set if the end of the call has been
// recorded already, or will be.
func (c *Coordinator) endPanicked(call batch.Call, cause any, isRecorded bool) {
	c.Logger.WritePanic("call to "+call.Server.ID, cause)
	c.Counters.Add("panics")
	if !isRecorded {
		c.Batches.Commands().FailCall(call, false, time.Now())
	}
	for _, p := range call.Pieces {
		c.refuse(p.RequestID, stagesFailed("internal error in a call to a stage server"))
	}
}

// isRepeated reports whether an answer contains a handle of another piece. Answers to
// stage calls don't name their call. Each call has a connection of its own, so that only a
// faulty server gives such an answer.
func (c *Coordinator) isRepeated(call batch.Call, results []Result) bool {
	seen := make(map[string]bool, len(results))
	for i, r := range results {
		if r.Status != Completed || i >= len(call.Pieces) {
			continue
		}
		if seen[r.Handle] || c.Batches.Queries().BelongsToOther(r.Handle, call.Pieces[i].Identity) {
			return true
		}
		seen[r.Handle] = true
	}
	return false
}

// applyResult applies the result of one piece.
func (c *Coordinator) applyResult(call batch.Call, piece batch.Piece, result Result, now time.Time) {
	switch result.Status {
	case Completed:
		c.applyEffects(c.table.Commands().recordResult(piece, result.Handle, c.poolInfo(), now))
	case InputMissing:
		c.Counters.Add("inputGone")
		c.rebuild(piece, call.Server.ID, now)
	case OutOfMemory:
		c.Counters.Add("noRoom")
		c.retryPiece(piece, "")
	case DeadlineExceeded:
		c.Counters.Add("pieceLate")
	case Failed:
		c.Counters.Add("pieceFailed")
		c.retryPiece(piece, call.Server.ID)
	}
}

// failCall records a failed call and queues its pieces again for other servers. The error
// is nil if the server returned a wrong number of results.
func (c *Coordinator) failCall(call batch.Call, err error, now time.Time) {
	isFull, isNotReached := errors.Is(err, ErrFull), errors.Is(err, ErrNotReached)
	reason := "callFailed"
	switch {
	case isFull:
		reason = "callRefused"
	case isNotReached:
		reason = "callNotReached"
	}
	c.Counters.Add(reason)
	c.Logger.Write(event.StageCallFailed, call.Pool, call.Server.ID, len(call.Pieces), now.Sub(call.SentAt).Milliseconds(), err)
	c.Batches.Commands().FailCall(call, isFull, now)
	for _, p := range call.Pieces {
		switch {
		case isFull:
			c.requeuePiece(p, "")
		case isNotReached:
			c.requeuePiece(p, call.Server.ID)
		default:
			c.retryPiece(p, call.Server.ID)
		}
	}
}

// requeuePiece queues a piece again whose call was not executed, because the server was
// full or not reached, for a server other than the avoided one. It takes nothing from the
// recompute budget and the limit of the request: after a takeover, all servers of a pool
// may be full with the calls of the earlier coordinator.
func (c *Coordinator) requeuePiece(piece batch.Piece, avoid string) {
	switch c.table.Commands().decideRetry(piece, false) {
	case rebuildRequest:
		c.Counters.Add("inputGivenUp")
		c.rebuild(piece, avoid, time.Now())
	case retryPiece:
		piece.AvoidServer = cmp.Or(avoid, piece.AvoidServer)
		piece.IsTrial = false
		c.Batches.Commands().Enqueue([]batch.Piece{piece})
	}
}

// rebuild recomputes all results of a request because inputs of a piece no longer exist:
// either a server reported them missing, or the piece failed after they were released. It
// writes a log line for each such piece, also if the request was rebuilt for another piece
// of the call or is refused.
func (c *Coordinator) rebuild(piece batch.Piece, server string, now time.Time) {
	c.Logger.Write(event.ResultsRebuilt, piece.RequestID, piece.Stage, piece.Number, piece.Pool, server, now.Sub(piece.QueuedAt).Milliseconds(), piece.Inputs)
	followUp, isRebuilt := c.table.Commands().rebuild(piece, c.poolInfo(), now)
	c.applyEffects(followUp)
	if isRebuilt && !c.RecomputeBudget.Withdraw() {
		c.Counters.Add("remakeBudget")
		c.refuse(piece.RequestID, stagesFailed("stage result lost and recompute budget exhausted"))
	}
}

// retryPiece queues a failed piece again, for a server other than the avoided one. If the
// limit of the request or the recompute budget is exhausted, it refuses the request, so
// that the client gets the refusal before its deadline.
func (c *Coordinator) retryPiece(piece batch.Piece, avoid string) {
	switch decision := c.table.Commands().decideRetry(piece, true); {
	case decision == ignorePiece:
		return
	case decision == rebuildRequest:
		c.Counters.Add("inputGivenUp")
		c.rebuild(piece, avoid, time.Now())
		return
	case decision == refuseRequest:
		c.Counters.Add("triesSpent")
		c.refuse(piece.RequestID, stagesFailed("piece of a stage failed and recompute limit of the request reached"))
		return
	case !c.RecomputeBudget.Withdraw():
		c.Counters.Add("remakeBudget")
		c.refuse(piece.RequestID, stagesFailed("piece of a stage failed and recompute budget exhausted"))
		return
	}
	piece.AvoidServer, piece.IsTrial = avoid, false
	c.Batches.Commands().Enqueue([]batch.Piece{piece})
}

// refuse refuses a request that is being prepared.
func (c *Coordinator) refuse(id string, failure request.Failure) {
	c.Batches.Commands().RemoveRequest(id)
	c.release(c.table.Commands().refuse(id, failure))
}

// unattainable returns the refusal of a request that can't be prepared before the end of
// its try, either because of the work queued before it or because lost results must be
// recomputed.
func unattainable(wait time.Duration) request.Failure {
	return request.Refuse(request.ReasonDeadlineUnattainable, "stages can't be completed before the deadline").WithRetryAfter(wait)
}

// stagesFailed returns the refusal of a request whose failed pieces or lost results may
// not be recomputed any more.
func stagesFailed(detail string) request.Failure {
	return request.Refuse(request.ReasonNoServer, detail).WithRetryAfter(minRetryAfter)
}
