package delivery

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"lycheecrank.example/preparation"
	"lycheecrank.example/request"
)

// placeTries is the largest number of tries that don't run the request.
const placeTries = 4

// stream serves an attempt by a model engine.
func (d *Router) stream(ctx context.Context, v routed) Verdict {
	s := &streaming{router: d, routed: v, last: v.attempt.LastEvent, order: v.order(), heardAt: v.attempt.ArrivedAt}
	for {
		done, isAgain := s.try(ctx)
		if !isAgain {
			return done
		}
	}
}

// order returns the task of preparing the request.
func (v routed) order() preparation.Order {
	o := preparation.Order{
		Request: v.attempt.ID, Pool: v.pool.Name, Key: v.attempt.PieceKey, Prompt: v.attempt.Prompt, Rank: v.rank, RouteRank: v.route.Rank,
	}
	for i, st := range v.route.Stages {
		pieces := 0
		if i < len(v.attempt.Pieces) {
			pieces = v.attempt.Pieces[i]
		}
		o.Stages = append(o.Stages, preparation.Stage{Pool: st.Pool, After: st.After, Bytes: st.ResultBytes, Pieces: pieces})
	}
	return o
}

// streaming is the state of a stream attempt across all engines that it is sent to.
type streaming struct {
	router *Router
	routed routed
	order  preparation.Order
	// last is the number of the last event that the client received.
	last int64
	// heardAt is when the client received its last event, or when its request arrived
	// if it has received none.
	heardAt time.Time
	isBegun bool
	// firstEvent is the time until the client received its first event.
	firstEvent time.Duration
	// runs is the number of sends that may have run the request, unsent the number
	// of tries that have not, tries the number of all sends.
	runs   int
	unsent int
	tries  int
	server string
	// reached lists the engines that the request has reached.
	reached []string
}

func (s *streaming) verdict() Verdict {
	return Verdict{IsBegun: s.isBegun, Server: s.server, Tries: s.tries, FirstEvent: s.firstEvent}
}

// fail ends the attempt with a failure.
func (s *streaming) fail(f request.Failure) (Verdict, bool) {
	return s.verdict().withFailure(f.WithSent(s.runs > 0)), false
}

// try prepares the request and sends it once. It reports true if the request is to
// be tried again.
func (s *streaming) try(ctx context.Context) (Verdict, bool) {
	d, v := s.router, s.routed
	now := time.Now()
	s.order.Try++
	s.order.Objective, s.order.Deadline = v.objective.Sub(now), s.leavesAt().Sub(now)
	s.order.Limit = v.deadline.Sub(now)
	p, err := d.Prepare(ctx, s.order)
	s.order.IsRebuilt = false
	if err != nil {
		return s.fail(request.AsFailure(err))
	}
	s.server = p.Server
	server, ok := d.Fleet.Server(p.Server, time.Now())
	if !ok || server.Address != p.Address {
		d.Ended(v.pool.Name, p.Server, v.attempt.ID, preparation.RunEnded)
		return s.unsentAgain(ctx, p.Server, request.Refuse(request.ReasonNoServer, "engine is leaving or has moved"))
	}
	// The engine must stop a stream that is no longer read.
	sending, cancel, w := s.watch(ctx, p)
	defer cancel()
	defer w.stop()
	sentAt := time.Now()
	s.tries++
	a, err := v.attempt.Send(sending, Instruction{
		Server: server, Workspace: v.workspace, Deadline: v.deadline, Inputs: p.Inputs, Source: p.Source, IsPrepared: len(v.route.Stages) > 0,
		Rank: v.rank, LastEvent: s.last, IsRepeatable: v.route.IsRepeatable(), IsModel: true,
	})
	switch {
	case errors.Is(err, ErrUnreached):
		d.Ended(v.pool.Name, p.Server, v.attempt.ID, failedUnless(ctx))
		return s.unsentAgain(ctx, p.Server, request.Refuse(request.ReasonServerUnreachable, "engine could not be reached").WithRetryAfter(brokenRetry))
	case err != nil:
		s.reach(p.Server)
		return s.broken(ctx, p.Server, brokenBy(sending, err))
	}
	defer func() { _ = a.Body.Close() }()
	if !a.IsMisdirected {
		s.reach(p.Server)
	}
	switch {
	case a.IsInputGone:
		d.Ended(v.pool.Name, p.Server, v.attempt.ID, preparation.RunEnded)
		s.order.IsRebuilt, s.order.Made = true, nil
		if len(s.reached) >= v.route.Attempts {
			s.order.Only = p.Server
		}
		return s.unsentAgain(ctx, "", request.Refuse(request.ReasonNoServer, "a stage result no longer exists").WithRetryAfter(brokenRetry))
	case a.IsNotRun && len(s.reached) >= v.route.Attempts && !a.IsMisdirected:
		d.Ended(v.pool.Name, p.Server, v.attempt.ID, preparation.RunRefused)
		d.Abandon(v.attempt.ID, s.order.Try)
		return s.fail(request.Refuse(request.ReasonQueueFull, "engine is full").WithRetryAfter(fullRetry))
	case a.IsNotRun:
		d.Ended(v.pool.Name, p.Server, v.attempt.ID, preparation.RunRefused)
		return s.unsentAgain(ctx, p.Server, request.Refuse(request.ReasonQueueFull, "engine is full").WithRetryAfter(fullRetry))
	case !a.IsProper:
		return s.broken(ctx, p.Server, ErrBroken)
	case !a.isSuccess():
		return s.passFailure(a, p.Server)
	}
	return s.forward(ctx, sending, a, p.Server, sentAt, w)
}

// failedUnless returns the status of a run that broke. It counts as failed, except
// if the client disconnected or the deadline passed: neither shows a fault of the
// engine.
func failedUnless(ctx context.Context) preparation.Ending {
	if ctx.Err() != nil {
		return preparation.RunEnded
	}
	return preparation.RunFailed
}

// reach records that the request has reached an engine.
func (s *streaming) reach(server string) {
	if !slices.Contains(s.reached, server) {
		s.reached = append(s.reached, server)
	}
}

// unsentAgain retries after a try that didn't run the request.
func (s *streaming) unsentAgain(ctx context.Context, avoid string, f request.Failure) (Verdict, bool) {
	s.unsent++
	if avoid != "" {
		s.order.Avoid = append(slices.Clone(s.order.Avoid), avoid)
	}
	if ctx.Err() == nil && s.unsent < placeTries && s.router.retry(s.routed.attempt.ID, string(f.Reason), s.tries) {
		return Verdict{}, true
	}
	s.router.Abandon(s.routed.attempt.ID, s.order.Try)
	return s.fail(f)
}

// broken retries at another engine if the route allows it.
func (s *streaming) broken(ctx context.Context, server string, err error) (Verdict, bool) {
	s.runs++
	s.router.Ended(s.routed.pool.Name, server, s.routed.attempt.ID, failedUnless(ctx))
	s.order.Avoid = append(slices.Clone(s.order.Avoid), server)
	reason := "streamBroken"
	if errors.Is(err, errSilent) {
		reason = "engineSilent"
	}
	if s.routed.route.IsRepeatable() && len(s.reached) < s.routed.route.Attempts && ctx.Err() == nil && s.router.retry(s.routed.attempt.ID, reason, s.tries) {
		return Verdict{}, true
	}
	s.router.Abandon(s.routed.attempt.ID, s.order.Try)
	return s.fail(mayHaveRun(ctx, err))
}

// passFailure forwards the error answer of an engine.
func (s *streaming) passFailure(a Answer, server string) (Verdict, bool) {
	s.runs++
	s.router.Ended(s.routed.pool.Name, server, s.routed.attempt.ID, preparation.RunEnded)
	s.router.Abandon(s.routed.attempt.ID, s.order.Try)
	if s.isBegun {
		return s.fail(request.Refuse(request.ReasonServerFailed, "engine failed after the stream had started"))
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, keptAnswer))
	if err != nil {
		return s.fail(request.Refuse(request.ReasonResultInvalid, "answer truncated"))
	}
	return pass(s.routed, a, body, s.verdict()), false
}

// forward sends the events of a stream to the client as they arrive.
func (s *streaming) forward(ctx, sending context.Context, a Answer, server string, sentAt time.Time, w watch) (Verdict, bool) {
	d, v := s.router, s.routed
	events := eventReader{source: a.Body, last: s.last}
	isStarted := false
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return s.broken(ctx, server, brokenBy(sending, err))
		}
		w.heard()
		if !isStarted {
			isStarted = true
			d.Started(v.pool.Name, server, v.attempt.ID, s.order.Try, time.Since(sentAt))
		}
		if !s.isBegun {
			if a.Begin() != nil {
				return s.left(server)
			}
			s.isBegun = true
			s.firstEvent = time.Since(v.attempt.ArrivedAt)
		}
		if v.attempt.Write(event) != nil {
			return s.left(server)
		}
		s.last, s.heardAt = events.last, time.Now()
	}
	s.runs++
	d.Ended(v.pool.Name, server, v.attempt.ID, preparation.RunEnded)
	if !s.isBegun && a.Begin() != nil {
		return s.left(server)
	}
	s.isBegun = true
	return s.verdict(), false
}

// left ends a stream whose client has disconnected.
func (s *streaming) left(server string) (Verdict, bool) {
	s.runs++
	s.router.Ended(s.routed.pool.Name, server, s.routed.attempt.ID, preparation.RunEnded)
	s.router.Abandon(s.routed.attempt.ID, s.order.Try)
	return s.fail(request.Refuse(request.ReasonCancelled, "client disconnected"))
}
