package delivery

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/event"
	"lycheecrank.example/fleet"
	"lycheecrank.example/preparation"
	"lycheecrank.example/quarantine"
	"lycheecrank.example/request"
	"lycheecrank.example/route"
)

// maxNotRunTries is the number of tries that didn't run the request after which the
// attempt fails. A try is a preparation and, if an engine is reserved, a send to it.
const maxNotRunTries = 4

// run is one send of a prepared request to an engine.
type run struct {
	server fleet.Server
	sentAt time.Time
	// isCutOff is set if the answer broke off, and unset if it only lacks a valid event.
	isCutOff bool
	// answeredAt is when the head of the answer arrived, zero before.
	answeredAt time.Time
	// events is the number of complete events that the engine has sent, the first one at
	// firstEventAt.
	events       int64
	firstEventAt time.Time
	// typicalFirstEvent is the time to the first event at an idle engine of usual speed.
	typicalFirstEvent time.Duration
}

// hasJustBegun reports whether an answer broke off that the engine had begun and in which
// it had sent no event yet.
func (r *run) hasJustBegun() bool { return r.isCutOff && !r.answeredAt.IsZero() && r.events == 0 }

// mayHaveCrashed reports whether the prompt may have crashed the engine that broke off the
// answer at a time.
func (r *run) mayHaveCrashed(at time.Time) bool {
	return r.firstEventAt.IsZero() || at.Sub(r.firstEventAt) < quarantine.SettleTime
}

// servePrepared serves an attempt whose request is prepared before it is sent: its pool
// has engines, or its route has stages. The route may be of any kind.
func (r *Router) servePrepared(ctx context.Context, routed routedAttempt) Result {
	stream := &preparedAttempt{router: r, routed: routed, lastEvent: routed.attempt.LastEvent, task: routed.newTask(), lastEventAt: routed.attempt.ArrivedAt}
	for {
		result, shouldRetry := stream.prepareAndSend(ctx)
		if !shouldRetry {
			return result
		}
	}
}

// newTask returns the task of preparing the request.
func (v routedAttempt) newTask() preparation.Task {
	task := preparation.Task{
		RequestID: v.attempt.ID, Workspace: v.workspace, Pool: v.pool.Name, Key: v.attempt.PieceKey, Prompt: v.attempt.Prompt, Rank: v.rank, RouteRank: v.route.Rank,
	}
	for i, st := range v.route.Stages {
		pieces := 0
		if i < len(v.attempt.Pieces) {
			pieces = v.attempt.Pieces[i]
		}
		task.Stages = append(task.Stages, preparation.Stage{Pool: st.Pool, After: st.DependsOn, Bytes: st.ResultBytes, Pieces: pieces})
	}
	return task
}

// preparedAttempt is the state of an attempt across all engines that it is sent to.
type preparedAttempt struct {
	router *Router
	routed routedAttempt
	task   preparation.Task
	// lastEvent is the number of the last event that the client received.
	lastEvent int64
	// lastEventAt is when the client received its last event, or when its request arrived
	// if it has received none.
	lastEventAt time.Time
	hasStarted  bool
	// timeToFirstEvent is the time until the client received its first event.
	timeToFirstEvent time.Duration
	// runs is the number of sends that may have run the request, notRunTries the number
	// of tries that have certainly not run it, including those without a send, and sends
	// the number of all sends.
	runs        int
	notRunTries int
	sends       int
	server      string
	// reached lists the engines that the request has reached.
	reached []string
}

func (s *preparedAttempt) result() Result {
	return Result{HasStarted: s.hasStarted, Server: s.server, Tries: s.sends, TimeToFirstEvent: s.timeToFirstEvent}
}

// fail ends the attempt with a failure.
func (s *preparedAttempt) fail(failure request.Failure) (Result, bool) {
	return s.result().withFailure(failure.WithSent(s.runs > 0)), false
}

// prepareAndSend prepares the request and sends it at most once. It reports true if the
// request is to be prepared and sent again.
func (s *preparedAttempt) prepareAndSend(ctx context.Context) (Result, bool) {
	router, routed := s.router, s.routed
	if failure := router.pauseFailure(routed.pool.Name); failure != nil {
		if s.task.Try > 0 {
			router.Abandon(routed.attempt.ID, s.task.Try)
		}
		return s.fail(*failure)
	}
	now := time.Now()
	s.task.Try++
	s.task.Objective, s.task.Deadline = routed.objective.Sub(now), s.idleDeadline().Sub(now)
	s.task.RetryWindow = routed.deadline.Sub(now)
	task := s.task
	task.AvoidEngines = slices.Concat(s.task.AvoidEngines, router.Fleet.Paused(routed.pool.Name, now))
	placement, err := router.Prepare(ctx, task)
	s.task.IsRebuilt = false
	if err != nil {
		failure := request.AsFailure(err)
		if failure.Reason == request.ReasonLeaving {
			failure = failure.WithRetryAfter(leavingRetryAfter)
		}
		return s.fail(failure)
	}
	s.server = placement.Server
	server, ok := router.usable(routed.pool.Name, placement.Server)
	if !ok || server.Address != placement.Address {
		router.OnRunEnd(routed.pool.Name, placement.Server, routed.attempt.ID, preparation.RunEnded)
		return s.retryNotRun(ctx, placement.Server, request.Refuse(request.ReasonNoServer, "reserved engine is no longer available at its address"))
	}
	if failure := s.sendFailure(placement); failure != nil {
		router.OnRunEnd(routed.pool.Name, placement.Server, routed.attempt.ID, preparation.RunEnded)
		router.Abandon(routed.attempt.ID, s.task.Try)
		return s.fail(*failure)
	}
	// Cancelling the context makes the engine stop a stream that is no longer read.
	sendCtx, cancel, silence := s.startSilenceTimer(ctx, placement)
	defer cancel()
	defer silence.stop()
	current := &run{server: server, sentAt: time.Now(), typicalFirstEvent: placement.TypicalFirstEvent}
	s.sends++
	answer, err := routed.attempt.Send(sendCtx, ForwardOptions{
		Server: server, Workspace: routed.workspace, Deadline: routed.deadline, Inputs: placement.Inputs, Source: placement.PrefixSource, IsPrepared: len(routed.route.Stages) > 0,
		Rank: routed.rank, LastEvent: s.lastEvent, IsRepeatable: routed.route.IsRepeatable(), IsModel: true,
	})
	switch {
	case errors.Is(err, ErrNotReached):
		router.OnRunEnd(routed.pool.Name, placement.Server, routed.attempt.ID, brokenRunStatus(ctx))
		router.recordLost(routed, server)
		return s.retryNotRun(ctx, placement.Server, request.Refuse(request.ReasonServerUnreachable, "engine not reached").WithRetryAfter(unreachedRetryAfter))
	case err != nil:
		s.addReached(placement.Server)
		return s.retryBroken(ctx, current, withSilence(sendCtx, err))
	}
	defer func() { _ = answer.Body.Close() }()
	router.applyStatements(server, routed.attempt.ID, answer)
	current.answeredAt = time.Now()
	if !answer.IsMisdirected {
		s.addReached(placement.Server)
	}
	switch {
	case answer.IsInputGone:
		router.OnRunEnd(routed.pool.Name, placement.Server, routed.attempt.ID, preparation.RunEnded)
		s.task.IsRebuilt, s.task.Results = true, nil
		// If the request may reach no further engine, only this one may be reserved.
		if len(s.reached) >= routed.route.MaxServers {
			s.task.RequiredEngine = placement.Server
		}
		return s.retryNotRun(ctx, "", request.Refuse(request.ReasonNoServer, "engine reports a missing stage result").WithRetryAfter(unreachedRetryAfter))
	case answer.IsNotRun && len(s.reached) >= routed.route.MaxServers && !answer.IsMisdirected:
		router.OnRunEnd(routed.pool.Name, placement.Server, routed.attempt.ID, preparation.RunRefused)
		router.Abandon(routed.attempt.ID, s.task.Try)
		return s.fail(request.Refuse(request.ReasonQueueFull, "engine is full").WithRetryAfter(fullRetryAfter))
	case answer.IsNotRun:
		router.OnRunEnd(routed.pool.Name, placement.Server, routed.attempt.ID, preparation.RunRefused)
		return s.retryNotRun(ctx, placement.Server, request.Refuse(request.ReasonQueueFull, "engine is full").WithRetryAfter(fullRetryAfter))
	case !answer.IsValid:
		return s.retryBroken(ctx, current, eris.Wrap(ErrNoValidAnswer, answer.Problem))
	case !answer.isSuccess():
		router.recordRun(routed, current, answer.Status >= 500)
		if answer.Status >= 500 && s.mayRetryOldVersion(ctx, server) {
			s.runs++
			router.OnRunEnd(routed.pool.Name, placement.Server, routed.attempt.ID, preparation.RunEnded)
			s.task.AvoidEngines = append(slices.Clone(s.task.AvoidEngines), placement.Server)
			return Result{}, true
		}
		return s.forwardFailure(answer, placement.Server)
	}
	return s.forwardEvents(ctx, sendCtx, answer, current, silence)
}

// sendFailure returns the failure of a request that must not be sent to the reserved engine
// any more, nil for none.
func (s *preparedAttempt) sendFailure(placement preparation.Placement) *request.Failure {
	router, routed := s.router, s.routed
	var failure request.Failure
	verdict, isQuarantined := router.Verdict(routed.attempt.Prompt)
	switch {
	case isQuarantined && !placement.IsProbe:
		failure = verdict.Failure()
	case router.hadBreak(routed):
		failure = breakFailure()
	case !router.StopSchedule().AllowsSend(time.Now(), placement.ExpectedFirstEvent):
		failure = LeavingFailure()
	default:
		return nil
	}
	return &failure
}

// brokenRunStatus returns the status of a run whose send failed or whose stream ended
// early. It is RunFailed, unless the client disconnected or the deadline passed, which are
// not faults of the engine.
func brokenRunStatus(ctx context.Context) preparation.RunStatus {
	if ctx.Err() != nil {
		return preparation.RunEnded
	}
	return preparation.RunFailed
}

// addReached records that the request has reached an engine.
func (s *preparedAttempt) addReached(server string) {
	if !slices.Contains(s.reached, server) {
		s.reached = append(s.reached, server)
	}
}

// retryNotRun retries after a try that didn't run the request.
func (s *preparedAttempt) retryNotRun(ctx context.Context, avoid string, failure request.Failure) (Result, bool) {
	s.notRunTries++
	if avoid != "" {
		s.task.AvoidEngines = append(slices.Clone(s.task.AvoidEngines), avoid)
	}
	if ctx.Err() == nil && s.notRunTries < maxNotRunTries && s.router.allowRetry(s.routed.attempt.ID, string(failure.Reason), s.sends) {
		return Result{}, true
	}
	s.router.Abandon(s.routed.attempt.ID, s.task.Try)
	return s.fail(failure)
}

// retryBroken retries at another engine after a send that may have run the request, if the
// route allows it.
func (s *preparedAttempt) retryBroken(ctx context.Context, broken *run, err error) (Result, bool) {
	s.runs++
	s.router.OnRunEnd(s.routed.pool.Name, broken.server.ID, s.routed.attempt.ID, brokenRunStatus(ctx))
	s.task.AvoidEngines = append(slices.Clone(s.task.AvoidEngines), broken.server.ID)
	if ctx.Err() == nil {
		s.logBroken(broken, err)
		s.router.recordBroken(s.routed, broken, errors.Is(err, errSilent))
		isReplaced := s.router.Rollouts.Queries().IsReplaced(s.routed.pool.Name, broken.server.Version)
		switch {
		case errors.Is(err, errSilent) || isReplaced:
		case broken.hasJustBegun():
			s.router.OnCrash(broken.server, s.routed.attempt.ID, s.routed.attempt.Prompt)
		case broken.mayHaveCrashed(time.Now()):
			s.router.OnBreak(broken.server, s.routed.attempt.ID, s.routed.attempt.Prompt)
		}
	}
	reason := "streamBroken"
	if errors.Is(err, errSilent) {
		reason = "engineSilent"
	}
	if s.routed.route.IsRepeatable() && len(s.reached) < s.routed.route.MaxServers && ctx.Err() == nil && s.router.allowRetry(s.routed.attempt.ID, reason, s.sends) {
		return Result{}, true
	}
	s.router.Abandon(s.routed.attempt.ID, s.task.Try)
	return s.fail(mayHaveRunFailure(ctx, err))
}

func (s *preparedAttempt) logBroken(broken *run, err error) {
	answerMs := int64(-1)
	if !broken.answeredAt.IsZero() {
		answerMs = broken.answeredAt.Sub(broken.sentAt).Milliseconds()
	}
	attempt := s.routed.attempt
	s.router.Logger.Write(event.AnswerBroken, attempt.ID, s.routed.route.Name, broken.server.ID, time.Since(broken.sentAt).Milliseconds(), answerMs,
		broken.events, attempt.Prompt.PartIDs(), err)
}

// forwardFailure forwards the error answer of an engine.
func (s *preparedAttempt) forwardFailure(answer Answer, server string) (Result, bool) {
	s.runs++
	s.router.OnRunEnd(s.routed.pool.Name, server, s.routed.attempt.ID, preparation.RunEnded)
	s.router.Abandon(s.routed.attempt.ID, s.task.Try)
	if s.hasStarted {
		return s.fail(request.Refuse(request.ReasonServerFailed, "engine answered with an error after the stream had started"))
	}
	if s.routed.hidesRefusal(answer) {
		return s.fail(request.Refuse(request.ReasonOutcomeUnknown, errUnprovenRefusal.Error()))
	}
	body, err := answer.buffer()
	if err != nil {
		return s.fail(request.Refuse(request.ReasonResultInvalid, "answer of the engine truncated"))
	}
	return forwardAnswer(s.routed, answer, body, s.result()), false
}

// forwardEvents sends the events of a stream to the client as they arrive.
func (s *preparedAttempt) forwardEvents(ctx, sendCtx context.Context, answer Answer, current *run, silence silenceTimer) (Result, bool) {
	router, routed, server := s.router, s.routed, current.server.ID
	events := eventReader{source: answer.Body, lastEvent: s.lastEvent}
	hasEvent := false
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) {
			if !hasEvent && routed.route.Kind == route.Stream {
				current.isCutOff = answer.EndsWithConnection
				return s.retryBroken(ctx, current, eris.Wrap(ErrNoValidAnswer, "stream without an event"))
			}
			break
		}
		if err != nil {
			current.isCutOff = true
			return s.retryBroken(ctx, current, withSilence(sendCtx, err))
		}
		if events.lastEvent > s.lastEvent {
			silence.restart()
			current.events += events.lastEvent - s.lastEvent
		}
		if !hasEvent {
			hasEvent, current.firstEventAt = true, time.Now()
			router.recordRun(routed, current, false)
			router.OnFirstEvent(routed.pool.Name, server, routed.attempt.ID, s.task.Try, time.Since(current.sentAt))
		}
		if !s.hasStarted {
			if answer.WriteHeader() != nil {
				return s.endDisconnected(server)
			}
			s.hasStarted = true
			s.timeToFirstEvent = time.Since(routed.attempt.ArrivedAt)
		}
		if routed.attempt.Write(data) != nil {
			return s.endDisconnected(server)
		}
		if events.lastEvent > s.lastEvent {
			s.lastEvent, s.lastEventAt = events.lastEvent, time.Now()
		}
	}
	s.runs++
	router.OnRunEnd(routed.pool.Name, server, routed.attempt.ID, preparation.RunEnded)
	if !s.hasStarted && answer.WriteHeader() != nil {
		return s.endDisconnected(server)
	}
	s.hasStarted = true
	return s.result(), false
}

// endDisconnected ends a stream whose client has disconnected.
func (s *preparedAttempt) endDisconnected(server string) (Result, bool) {
	s.runs++
	s.router.OnRunEnd(s.routed.pool.Name, server, s.routed.attempt.ID, preparation.RunEnded)
	s.router.Abandon(s.routed.attempt.ID, s.task.Try)
	return s.fail(request.Refuse(request.ReasonCancelled, "client disconnected"))
}
