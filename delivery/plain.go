package delivery

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
	"lycheecrank.example/rollout"
)

const (
	// maxBufferedBytes is the largest size of an answer that is read completely before
	// it is forwarded, so that the request can be repeated if the answer is truncated.
	maxBufferedBytes = 1 << 20
	// maxUnreachedSends limits the sends that don't reach their server, because the
	// connection failed, another server answered or the server is no longer listed. The
	// attempt fails after this number of them.
	maxUnreachedSends = 3
	// reserveInterval is the interval between two tries to reserve a server while no
	// server has a free slot.
	reserveInterval = 10 * time.Millisecond
	// reserveTimeDivisor divides the remaining time of a request to get the time for
	// which it waits for a free server.
	reserveTimeDivisor = 4
	// fullRetryAfter is the delay before a client retries after all servers were full.
	fullRetryAfter = 250 * time.Millisecond
	// unreachedRetryAfter is the delay before a client retries after no server was reached.
	unreachedRetryAfter = 200 * time.Millisecond
)

// servePlain serves an attempt by servers of a pool without engines.
func (r *Router) servePlain(ctx context.Context, routed routedAttempt) Result {
	var result Result
	var avoid []string
	reached, unreached := 0, 0
	mayHaveRun := false
	lane := rollout.Usual
	if r.Rollouts.Commands().Admit(routed.pool.Name, time.Now()) {
		lane = rollout.Trial
	}
	for {
		server, ok := r.reserve(ctx, routed, avoid, lane)
		if !ok {
			return result.withFailure(r.noServerFailure(ctx, routed.pool.Name, mayHaveRun))
		}
		if now := time.Now(); !r.StopSchedule().AllowsSend(now, server.ServiceTimeBound(now)) {
			r.PlainServers.CancelReservation(server.Name)
			return result.withFailure(LeavingFailure().WithSent(mayHaveRun))
		}
		exchanged := r.exchangeHedged(ctx, routed, server, priorSends{tries: result.Tries, reached: reached, servers: avoid})
		answer, body, err := exchanged.answer, exchanged.body, exchanged.err
		result.Tries += 1 + exchanged.other.tries
		result.Server = exchanged.server.Name
		reason := failureReason(answer, err)
		avoid = append(append(avoid, exchanged.server.Name), exchanged.other.servers...)
		reached += exchanged.other.reached
		mayHaveRun = mayHaveRun || exchanged.other.mayHaveRun
		lane = r.Rollouts.Queries().LaneAfter(routed.pool.Name, avoid, time.Now())
		if r.hadBreak(routed) && errors.Is(err, ErrNotReached) {
			return result.withFailure(breakFailure().WithSent(mayHaveRun))
		}
		if errors.Is(err, ErrNotReached) || err == nil && answer.IsMisdirected {
			unreached++
			if unreached < maxUnreachedSends && ctx.Err() == nil && r.allowRetry(routed.attempt.ID, "unreached", result.Tries) {
				continue
			}
			return result.withFailure(notRunFailure(ctx, reason, answer).WithSent(mayHaveRun))
		}
		reached++
		isNotRun := err == nil && answer.IsNotRun
		mayHaveRun = mayHaveRun || !isNotRun
		isFailed := isNotRun || err != nil || answer.Status >= 500
		retryReason := "server" + string(reason)
		if errors.Is(err, errSilent) {
			retryReason = "serverSilent"
		}
		mayRepeat := isNotRun || routed.route.IsRepeatable()
		if isFailed && mayRepeat && reached < routed.route.MaxServers && ctx.Err() == nil && r.allowRetry(routed.attempt.ID, retryReason, result.Tries) {
			exchanged.close()
			continue
		}
		if isNotRun {
			return result.withFailure(notRunFailure(ctx, reason, answer).WithSent(mayHaveRun))
		}
		if err != nil {
			return result.withFailure(mayHaveRunFailure(ctx, err))
		}
		if routed.hidesRefusal(answer) {
			_ = answer.Body.Close()
			return result.withFailure(mayHaveRunFailure(ctx, errUnprovenRefusal))
		}
		return forwardAnswer(routed, answer, body, result)
	}
}

// exchange sends a request and reads up to maxBufferedBytes of its answer; the rest of a
// larger answer stays unread in the body. It cancels the send to a silent server if the
// request may be sent to another server. If the server is no longer listed, or
// the machine was suspended since the admission, it returns ErrNotReached without a send.
func (r *Router) exchange(ctx context.Context, routed routedAttempt, reserved backend.Server, mayRetryElsewhere bool) (Answer, []byte, error) {
	server, ok := r.usable(routed.pool.Name, reserved.Name)
	if !ok || r.hadBreak(routed) {
		return Answer{}, nil, ErrNotReached
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	if mayRetryElsewhere {
		limit := time.AfterFunc(silentFactor*reserved.ServiceTimeBound(time.Now())+silentSlackPlain, func() { cancel(errSilent) })
		defer limit.Stop()
	}
	answer, err := routed.attempt.Send(sendCtx, ForwardOptions{
		Server: server, Workspace: routed.workspace, Deadline: routed.deadline, Rank: routed.rank, IsRepeatable: routed.route.IsRepeatable(),
	})
	if err != nil {
		err = withSilence(sendCtx, err)
		cancel(context.Canceled)
		return Answer{}, nil, err
	}
	r.applyStatements(server, routed.attempt.ID, answer)
	answer.Body = &sendBody{ReadCloser: answer.Body, cancel: cancel}
	if answer.IsNotRun {
		_ = answer.Body.Close()
		return answer, nil, nil
	}
	if !answer.IsValid {
		_ = answer.Body.Close()
		return answer, nil, eris.Wrap(ErrNoValidAnswer, answer.Problem)
	}
	body, err := answer.buffer()
	if err != nil {
		_ = answer.Body.Close()
		return answer, nil, withSilence(sendCtx, ErrNoValidAnswer)
	}
	return answer, body, nil
}

// buffer reads up to maxBufferedBytes of an answer, less if memory is short.
func (a *Answer) buffer() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes))
	isShort := errors.Is(err, ErrBufferFull)
	a.hasRest = isShort || len(body) == maxBufferedBytes
	if isShort {
		return body, nil
	}
	return body, err
}

// sendBody is the body of an answer. Closing it cancels the send's context.
type sendBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the send.
func (s *sendBody) Close() error {
	err := s.ReadCloser.Close()
	s.cancel(context.Canceled)
	return err
}

// forwardAnswer forwards the buffered part of an answer, then the rest as it arrives.
func forwardAnswer(routed routedAttempt, answer Answer, body []byte, result Result) Result {
	defer func() { _ = answer.Body.Close() }()
	result.HasStarted = true
	if answer.WriteHeader() != nil || routed.attempt.Write(body) != nil {
		return result.withFailure(request.Refuse(request.ReasonCancelled, "client disconnected").WithSent(true))
	}
	if !answer.hasRest {
		return result
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && routed.attempt.Write(buffer[:n]) != nil {
			return result.withFailure(request.Refuse(request.ReasonCancelled, "client disconnected").WithSent(true))
		}
		if errors.Is(err, io.EOF) {
			return result
		}
		if err != nil {
			return result.withFailure(request.Refuse(request.ReasonResultInvalid, "answer of the backend server truncated").WithSent(true))
		}
	}
}

// reserve reserves a slot at a server. If no slot is free, it waits for a part of the
// remaining time. The permission allows the whole limit of each server, all requests
// reserve with the best rank, 0, and servers in cold start accept only as many requests as
// their backend.ColdLimit allows. A request on trial goes to the old version of the pool if
// no server of the new one is free.
func (r *Router) reserve(ctx context.Context, routed routedAttempt, avoid []string, lane rollout.Lane) (backend.Server, bool) {
	limit := time.Now().Add(time.Until(routed.deadline) / reserveTimeDivisor)
	permission := backend.Permission{AllowCold: true, WarmLimitDivisor: 1}
	timer := time.NewTimer(reserveInterval)
	defer timer.Stop()
	for {
		now := time.Now()
		allows := r.Rollouts.Queries().Selection(routed.pool.Name, lane, now)
		if server, ok := r.PlainServers.ReserveAmong(routed.pool.Name, 0, avoid, allows, permission, now); ok {
			return server, true
		}
		if lane == rollout.Trial {
			r.Rollouts.Commands().Refund(routed.pool.Name)
			lane = rollout.Usual
			continue
		}
		until, isPaused := r.Fleet.PausedUntil(routed.pool.Name, now)
		if now.After(limit) || isPaused && until.After(limit) {
			return backend.Server{}, false
		}
		timer.Reset(reserveInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return backend.Server{}, false
		}
	}
}

// pauseFailure returns the failure of a request while all servers of its pool want no
// requests of this instance, nil if one accepts them.
func (r *Router) pauseFailure(pool string) *request.Failure {
	now := time.Now()
	until, ok := r.Fleet.PausedUntil(pool, now)
	if !ok {
		return nil
	}
	f := request.Refuse(request.ReasonQueueFull, "all backend servers of the pool have turned requests away and want none for a time").WithRetryAfter(until.Sub(now))
	return &f
}

// noServerFailure returns the failure of a request for which no slot became free before
// its client disconnected or its waiting time ended.
func (r *Router) noServerFailure(ctx context.Context, pool string, mayHaveRun bool) request.Failure {
	reason := request.ReasonNoServer
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = request.ReasonCancelled
	}
	if failure := r.pauseFailure(pool); failure != nil && ctx.Err() == nil {
		return failure.WithSent(mayHaveRun)
	}
	return request.Refuse(reason, "no backend server of the pool had a free slot while the request waited").WithSent(mayHaveRun).WithRetryAfter(fullRetryAfter)
}

// failureReason returns the reason why a send counts as a failure of its server, empty
// if it doesn't. An answer with an error status doesn't count as a failure.
func failureReason(answer Answer, err error) request.Reason {
	switch {
	case errors.Is(err, ErrNotReached):
		return request.ReasonServerUnreachable
	case err != nil:
		return request.ReasonServerFailed
	case answer.IsNotRun:
		return request.ReasonQueueFull
	}
	return ""
}

// notRunFailure returns the failure of a request that its last server has not run.
func notRunFailure(ctx context.Context, reason request.Reason, answer Answer) request.Failure {
	if ctx.Err() != nil {
		return request.Refuse(request.ReasonDeadlinePassed, "no backend server accepted the request before the client disconnected or the deadline passed")
	}
	retry := unreachedRetryAfter
	if answer.IsNotRun {
		retry = fullRetryAfter
	}
	return request.Refuse(reason, "no backend server accepted the request").WithRetryAfter(retry)
}

// mayHaveRunFailure returns the failure of a request that a server may have run.
func mayHaveRunFailure(ctx context.Context, err error) request.Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Refuse(request.ReasonDeadlinePassed, err.Error()).WithSent(true)
	case ctx.Err() != nil:
		return request.Refuse(request.ReasonCancelled, err.Error()).WithSent(true)
	}
	return request.Refuse(request.ReasonOutcomeUnknown, err.Error()).WithSent(true)
}
