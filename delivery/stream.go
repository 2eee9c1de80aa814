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

// maxNotRunTries is the largest number of tries that don't run the request.
const maxNotRunTries = 4

// serveStream serves an attempt by a model engine.
func (d *Router) serveStream(ctx context.Context, v routedAttempt) Result {
	s := &streamAttempt{router: d, routed: v, lastEvent: v.attempt.LastEvent, task: v.newTask(), lastEventAt: v.attempt.ArrivedAt}
	for {
		result, shouldRetry := s.try(ctx)
		if !shouldRetry {
			return result
		}
	}
}

// newTask returns the task of preparing the request.
func (v routedAttempt) newTask() preparation.Task {
	o := preparation.Task{
		RequestID: v.attempt.ID, Pool: v.pool.Name, Key: v.attempt.PieceKey, Prompt: v.attempt.Prompt, Rank: v.rank, RouteRank: v.route.Rank,
	}
	for i, st := range v.route.Stages {
		pieces := 0
		if i < len(v.attempt.Pieces) {
			pieces = v.attempt.Pieces[i]
		}
		o.Stages = append(o.Stages, preparation.Stage{Pool: st.Pool, After: st.DependsOn, Bytes: st.ResultBytes, Pieces: pieces})
	}
	return o
}

// streamAttempt is the state of a stream attempt across all engines that it is sent to.
type streamAttempt struct {
	router *Router
	routed routedAttempt
	task   preparation.Task
	// lastEvent is the number of the last event that the client received.
	lastEvent int64
	// lastEventAt is when the client received its last event, or when its request arrived
	// if it has received none.
	lastEventAt time.Time
	isBegun     bool
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

func (s *streamAttempt) result() Result {
	return Result{IsBegun: s.isBegun, Server: s.server, Tries: s.tries, TimeToFirstEvent: s.firstEvent}
}

// fail ends the attempt with a failure.
func (s *streamAttempt) fail(f request.Failure) (Result, bool) {
	return s.result().withFailure(f.WithSent(s.runs > 0)), false
}

// try prepares the request and sends it once. It reports true if the request is to
// be tried again.
func (s *streamAttempt) try(ctx context.Context) (Result, bool) {
	d, v := s.router, s.routed
	now := time.Now()
	s.task.Try++
	s.task.Objective, s.task.Deadline = v.objective.Sub(now), s.idleDeadline().Sub(now)
	s.task.RetryWindow = v.deadline.Sub(now)
	p, err := d.Prepare(ctx, s.task)
	s.task.IsRebuilt = false
	if err != nil {
		return s.fail(request.AsFailure(err))
	}
	s.server = p.Server
	server, ok := d.Fleet.Server(p.Server, time.Now())
	if !ok || server.Address != p.Address {
		d.OnRunEnd(v.pool.Name, p.Server, v.attempt.ID, preparation.RunEnded)
		return s.retryNotRun(ctx, p.Server, request.Refuse(request.ReasonNoServer, "engine is leaving or has moved"))
	}
	// The engine must stop a stream that is no longer read.
	sending, cancel, w := s.startSilenceTimer(ctx, p)
	defer cancel()
	defer w.stop()
	sentAt := time.Now()
	s.tries++
	a, err := v.attempt.Send(sending, ForwardOptions{
		Server: server, Workspace: v.workspace, Deadline: v.deadline, Inputs: p.Inputs, Source: p.PrefixSource, IsPrepared: len(v.route.Stages) > 0,
		Rank: v.rank, LastEvent: s.lastEvent, IsRepeatable: v.route.IsRepeatable(), IsModel: true,
	})
	switch {
	case errors.Is(err, ErrNotReached):
		d.OnRunEnd(v.pool.Name, p.Server, v.attempt.ID, brokenRunStatus(ctx))
		return s.retryNotRun(ctx, p.Server, request.Refuse(request.ReasonServerUnreachable, "engine could not be reached").WithRetryAfter(unreachedRetryAfter))
	case err != nil:
		s.addReached(p.Server)
		return s.retryBroken(ctx, p.Server, withSilence(sending, err))
	}
	defer func() { _ = a.Body.Close() }()
	if !a.IsMisdirected {
		s.addReached(p.Server)
	}
	switch {
	case a.IsInputGone:
		d.OnRunEnd(v.pool.Name, p.Server, v.attempt.ID, preparation.RunEnded)
		s.task.IsRebuilt, s.task.Results = true, nil
		if len(s.reached) >= v.route.MaxServers {
			s.task.RequiredEngine = p.Server
		}
		return s.retryNotRun(ctx, "", request.Refuse(request.ReasonNoServer, "a stage result no longer exists").WithRetryAfter(unreachedRetryAfter))
	case a.IsNotRun && len(s.reached) >= v.route.MaxServers && !a.IsMisdirected:
		d.OnRunEnd(v.pool.Name, p.Server, v.attempt.ID, preparation.RunRefused)
		d.Abandon(v.attempt.ID, s.task.Try)
		return s.fail(request.Refuse(request.ReasonQueueFull, "engine is full").WithRetryAfter(fullRetryAfter))
	case a.IsNotRun:
		d.OnRunEnd(v.pool.Name, p.Server, v.attempt.ID, preparation.RunRefused)
		return s.retryNotRun(ctx, p.Server, request.Refuse(request.ReasonQueueFull, "engine is full").WithRetryAfter(fullRetryAfter))
	case !a.IsValid:
		return s.retryBroken(ctx, p.Server, ErrNoAnswer)
	case !a.isSuccess():
		return s.forwardFailure(a, p.Server)
	}
	return s.forwardEvents(ctx, sending, a, p.Server, sentAt, w)
}

// brokenRunStatus returns the status of a run that broke off. It counts as failed, except
// if the client disconnected or the deadline passed: neither shows a fault of the
// engine.
func brokenRunStatus(ctx context.Context) preparation.RunStatus {
	if ctx.Err() != nil {
		return preparation.RunEnded
	}
	return preparation.RunFailed
}

// addReached records that the request has reached an engine.
func (s *streamAttempt) addReached(server string) {
	if !slices.Contains(s.reached, server) {
		s.reached = append(s.reached, server)
	}
}

// retryNotRun retries after a try that didn't run the request.
func (s *streamAttempt) retryNotRun(ctx context.Context, avoid string, f request.Failure) (Result, bool) {
	s.unsent++
	if avoid != "" {
		s.task.AvoidEngines = append(slices.Clone(s.task.AvoidEngines), avoid)
	}
	if ctx.Err() == nil && s.unsent < maxNotRunTries && s.router.allowRetry(s.routed.attempt.ID, string(f.Reason), s.tries) {
		return Result{}, true
	}
	s.router.Abandon(s.routed.attempt.ID, s.task.Try)
	return s.fail(f)
}

// retryBroken retries at another engine if the route allows it.
func (s *streamAttempt) retryBroken(ctx context.Context, server string, err error) (Result, bool) {
	s.runs++
	s.router.OnRunEnd(s.routed.pool.Name, server, s.routed.attempt.ID, brokenRunStatus(ctx))
	s.task.AvoidEngines = append(slices.Clone(s.task.AvoidEngines), server)
	reason := "streamBroken"
	if errors.Is(err, errSilent) {
		reason = "engineSilent"
	}
	if s.routed.route.IsRepeatable() && len(s.reached) < s.routed.route.MaxServers && ctx.Err() == nil && s.router.allowRetry(s.routed.attempt.ID, reason, s.tries) {
		return Result{}, true
	}
	s.router.Abandon(s.routed.attempt.ID, s.task.Try)
	return s.fail(mayHaveRunFailure(ctx, err))
}

// forwardFailure forwards the error answer of an engine.
func (s *streamAttempt) forwardFailure(a Answer, server string) (Result, bool) {
	s.runs++
	s.router.OnRunEnd(s.routed.pool.Name, server, s.routed.attempt.ID, preparation.RunEnded)
	s.router.Abandon(s.routed.attempt.ID, s.task.Try)
	if s.isBegun {
		return s.fail(request.Refuse(request.ReasonServerFailed, "engine failed after the stream had started"))
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil {
		return s.fail(request.Refuse(request.ReasonResultInvalid, "answer truncated"))
	}
	return forwardAnswer(s.routed, a, body, s.result()), false
}

// forwardEvents sends the events of a stream to the client as they arrive.
func (s *streamAttempt) forwardEvents(ctx, sending context.Context, a Answer, server string, sentAt time.Time, w silenceTimer) (Result, bool) {
	d, v := s.router, s.routed
	events := eventReader{source: a.Body, lastEvent: s.lastEvent}
	hasEvent := false
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return s.retryBroken(ctx, server, withSilence(sending, err))
		}
		w.restart()
		if !hasEvent {
			hasEvent = true
			d.OnFirstEvent(v.pool.Name, server, v.attempt.ID, s.task.Try, time.Since(sentAt))
		}
		if !s.isBegun {
			if a.WriteHeader() != nil {
				return s.endDisconnected(server)
			}
			s.isBegun = true
			s.firstEvent = time.Since(v.attempt.ArrivedAt)
		}
		if v.attempt.Write(event) != nil {
			return s.endDisconnected(server)
		}
		s.lastEvent, s.lastEventAt = events.lastEvent, time.Now()
	}
	s.runs++
	d.OnRunEnd(v.pool.Name, server, v.attempt.ID, preparation.RunEnded)
	if !s.isBegun && a.WriteHeader() != nil {
		return s.endDisconnected(server)
	}
	s.isBegun = true
	return s.result(), false
}

// endDisconnected ends a stream whose client has disconnected.
func (s *streamAttempt) endDisconnected(server string) (Result, bool) {
	s.runs++
	s.router.OnRunEnd(s.routed.pool.Name, server, s.routed.attempt.ID, preparation.RunEnded)
	s.router.Abandon(s.routed.attempt.ID, s.task.Try)
	return s.fail(request.Refuse(request.ReasonCancelled, "client disconnected"))
}
