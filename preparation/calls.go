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

// execute makes one call and takes over what came of it.
func (d *Coordinator) execute(ctx context.Context, call batch.Call) {
	d.table.Commands().enter(call.Pieces)
	defer d.table.Commands().leave(call.Pieces)
	ctx, cancel := context.WithTimeout(ctx, call.Limit())
	defer cancel()
	var isOver atomic.Bool
	fetch := time.AfterFunc(fetchTime, func() {
		if !isOver.Load() {
			d.apply(d.table.Commands().fetched(call.Pieces, d.knowledge(), time.Now()))
		}
	})
	defer fetch.Stop()
	results, err := d.Call(ctx, call)
	isOver.Store(true)
	now := time.Now()
	d.Called(call.Pool, now.Sub(call.SentAt))
	if err != nil || len(results) != len(call.Pieces) {
		d.fail(call, err, now)
		return
	}
	var made []batch.Made
	for i, r := range results {
		if r.Verdict == Made {
			made = append(made, batch.Made{Piece: call.Pieces[i], Handle: r.Handle})
		}
	}
	d.Batches.Commands().End(call, made, now)
	if slices.ContainsFunc(results, func(r Result) bool { return r.Verdict == NoRoom }) {
		d.Batches.Commands().MarkFull(call, now)
		d.correct(ctx, call.Pool, call.Server)
	}
	for i, r := range results {
		d.settle(call, call.Pieces[i], r, now)
	}
}

// settle takes over the result of a piece.
func (d *Coordinator) settle(call batch.Call, p batch.Piece, r Result, now time.Time) {
	switch r.Verdict {
	case Made:
		d.apply(d.table.Commands().record(p, r.Handle, d.knowledge(), now))
	case InputGone:
		d.Counters.Add("inputGone")
		d.rebuild(p, call.Server.ID, now)
	case NoRoom:
		d.Counters.Add("noRoom")
		d.again(p, "")
	case Late:
		d.Counters.Add("pieceLate")
	case Failed:
		d.Counters.Add("pieceFailed")
		d.again(p, call.Server.ID)
	}
}

// fail has all pieces of a failed call made by other servers.
func (d *Coordinator) fail(call batch.Call, err error, now time.Time) {
	isFull := errors.Is(err, ErrFull)
	reason := "callFailed"
	if isFull {
		reason = "callRefused"
	}
	d.Counters.Add(reason)
	d.Logger.Write(event.StageCallFailed, call.Pool, call.Server.ID, len(call.Pieces), now.Sub(call.SentAt).Milliseconds(), err)
	d.Batches.Commands().Fail(call, isFull, now)
	for _, p := range call.Pieces {
		d.again(p, call.Server.ID)
	}
}

// rebuild has all results of a request made again, since inputs of a piece that a
// server should make are gone.
func (d *Coordinator) rebuild(p batch.Piece, server string, now time.Time) {
	d.Logger.Write(event.ResultsRebuilt, p.Request, p.Stage, p.Number, p.Pool, server, now.Sub(p.QueuedAt).Milliseconds(), p.Inputs)
	s, isRebuilt := d.table.Commands().rebuild(p, d.knowledge(), now)
	d.apply(s)
	if isRebuilt && !d.Remakes.Take() {
		d.Counters.Add("remakeBudget")
		d.giveUp(p.Request, unmade("recompute budget exhausted"))
	}
}

// again queues a piece once more. If that is not allowed any more, its request is
// given up at once, so that its client knows.
func (d *Coordinator) again(p batch.Piece, avoid string) {
	switch r := d.table.Commands().retry(p); {
	case r == forget:
		return
	case r == rebuild:
		d.Counters.Add("inputGivenUp")
		d.rebuild(p, avoid, time.Now())
		return
	case r == giveUp:
		d.Counters.Add("triesSpent")
		d.giveUp(p.Request, unmade("recompute limit of the request reached"))
		return
	case !d.Remakes.Take():
		d.Counters.Add("remakeBudget")
		d.giveUp(p.Request, unmade("recompute budget exhausted"))
		return
	}
	p.Avoid = avoid
	d.Batches.Commands().Enqueue([]batch.Piece{p})
}

// giveUp refuses a request that is being prepared.
func (d *Coordinator) giveUp(id string, f request.Failure) {
	d.Batches.Commands().Withdraw(id)
	d.free(d.table.Commands().shed(id, f))
}

// tooLate is the refusal of a request that can't be done in its time, since what is
// before it takes a time.
func tooLate(wait time.Duration) request.Failure {
	return request.Refuse(request.ReasonDeadlineUnattainable, "stage queues too long to meet the deadline").WithRetryAfter(wait)
}

// unmade is the refusal of a request whose stages fail.
func unmade(detail string) request.Failure {
	return request.Refuse(request.ReasonNoServer, detail).WithRetryAfter(shedRetry)
}
