package delivery

import (
	"context"
	"errors"
	"io"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered until it is
	// complete, so that the request can be repeated if the answer is cut off.
	maxBufferedBytes = 1 << 20
	// maxUnsentTries is the largest number of sends that reach no server.
	maxUnsentTries = 3
	// reserveInterval is the interval at which a reservation is tried while all servers
	// are busy.
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
func (d *Router) servePlain(ctx context.Context, v routedAttempt) Result {
	var result Result
	var avoid []string
	reached, unsent := 0, 0
	mayHaveRunBefore := false
	for {
		s, ok := d.reserve(ctx, v, avoid)
		if !ok {
			return result.withFailure(d.noServerFailure(ctx, mayHaveRunBefore))
		}
		sent := time.Now()
		mayRetryElsewhere := v.route.IsRepeatable() && reached+1 < v.route.MaxServers
		a, body, err := d.exchange(ctx, v, s, mayRetryElsewhere)
		result.Tries++
		result.Server = s.Name
		reason := failureReason(a, err)
		d.PlainServers.Release(s.Name, backend.Observation{Reason: reason, SentAt: sent, ResponseTime: time.Since(sent), Incarnation: s.Incarnation}, time.Now())
		avoid = append(avoid, s.Name)
		if errors.Is(err, ErrNotReached) || err == nil && a.IsMisdirected {
			unsent++
			if unsent < maxUnsentTries && ctx.Err() == nil && d.allowRetry(v.attempt.ID, "unreached", result.Tries) {
				continue
			}
			return result.withFailure(notRunFailure(ctx, reason, a).WithSent(mayHaveRunBefore))
		}
		reached++
		isNotRun := err == nil && a.IsNotRun
		mayHaveRunBefore = mayHaveRunBefore || !isNotRun
		isFailed := isNotRun || err != nil || a.Status >= 500
		retryReason := "server" + string(reason)
		if errors.Is(err, errSilent) {
			retryReason = "serverSilent"
		}
		mayRepeat := isNotRun || v.route.IsRepeatable()
		if isFailed && mayRepeat && reached < v.route.MaxServers && ctx.Err() == nil && d.allowRetry(v.attempt.ID, retryReason, result.Tries) {
			continue
		}
		if isNotRun {
			return result.withFailure(notRunFailure(ctx, reason, a).WithSent(mayHaveRunBefore))
		}
		if err != nil {
			return result.withFailure(mayHaveRunFailure(ctx, err))
		}
		return forwardAnswer(v, a, body, result)
	}
}

// exchange sends a request and reads up to maxBufferedBytes of its answer; the rest of a
// larger one stays unread in the body. It cancels the send to a silent server
// if the request may be sent to another one.
func (d *Router) exchange(ctx context.Context, v routedAttempt, s backend.Server, mayRetryElsewhere bool) (Answer, []byte, error) {
	server, ok := d.Fleet.Server(s.Name, time.Now())
	if !ok {
		return Answer{}, nil, ErrNotReached
	}
	sending, cancel := context.WithCancelCause(ctx)
	if mayRetryElsewhere {
		limit := time.AfterFunc(silentFactor*s.ServiceTimeBound(time.Now())+silentSlackPlain, func() { cancel(errSilent) })
		defer limit.Stop()
	}
	a, err := v.attempt.Send(sending, ForwardOptions{
		Server: server, Workspace: v.workspace, Deadline: v.deadline, Rank: v.rank, IsRepeatable: v.route.IsRepeatable(),
	})
	if err != nil {
		err = withSilence(sending, err)
		cancel(context.Canceled)
		return Answer{}, nil, err
	}
	a.Body = &sendBody{ReadCloser: a.Body, cancel: cancel}
	if a.IsNotRun {
		_ = a.Body.Close()
		return a, nil, nil
	}
	if !a.IsValid {
		_ = a.Body.Close()
		return a, nil, ErrNoAnswer
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil {
		_ = a.Body.Close()
		return a, nil, withSilence(sending, ErrNoAnswer)
	}
	return a, body, nil
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

// forwardAnswer forwards a buffered answer, and the rest of a larger one as it arrives.
func forwardAnswer(v routedAttempt, a Answer, body []byte, result Result) Result {
	defer func() { _ = a.Body.Close() }()
	result.IsBegun = true
	if a.WriteHeader() != nil || v.attempt.Write(body) != nil {
		return result.withFailure(request.Refuse(request.ReasonCancelled, "client disconnected").WithSent(true))
	}
	if len(body) < maxBufferedBytes {
		return result
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 && v.attempt.Write(buffer[:n]) != nil {
			return result.withFailure(request.Refuse(request.ReasonCancelled, "client disconnected").WithSent(true))
		}
		if errors.Is(err, io.EOF) {
			return result
		}
		if err != nil {
			return result.withFailure(request.Refuse(request.ReasonResultInvalid, "answer truncated").WithSent(true))
		}
	}
}

// reserve reserves a slot at a server. If none is free, it waits for a part of the
// remaining time.
func (d *Router) reserve(ctx context.Context, v routedAttempt, avoid []string) (backend.Server, bool) {
	limit := time.Now().Add(time.Until(v.deadline) / reserveTimeDivisor)
	permission := backend.Permission{AllowCold: true, WarmLimitDivisor: 1}
	timer := time.NewTimer(reserveInterval)
	defer timer.Stop()
	for {
		now := time.Now()
		if s, ok := d.PlainServers.Reserve(v.pool.Name, 0, avoid, permission, now); ok {
			return s, true
		}
		if now.After(limit) {
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

// noServerFailure returns the failure of a request for which no server was free.
func (d *Router) noServerFailure(ctx context.Context, mayHaveRun bool) request.Failure {
	reason := request.ReasonNoServer
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = request.ReasonCancelled
	}
	return request.Refuse(reason, "no server with a free slot").WithSent(mayHaveRun).WithRetryAfter(fullRetryAfter)
}

// failureReason returns the reason for which a send counts as failed against its
// server, or an empty one. An error status of the service itself doesn't count.
func failureReason(a Answer, err error) request.Reason {
	switch {
	case errors.Is(err, ErrNotReached):
		return request.ReasonServerUnreachable
	case err != nil:
		return request.ReasonServerFailed
	case a.IsNotRun:
		return request.ReasonQueueFull
	}
	return ""
}

func notRunFailure(ctx context.Context, reason request.Reason, a Answer) request.Failure {
	if ctx.Err() != nil {
		return request.Refuse(request.ReasonDeadlinePassed, "no server accepted the request before its deadline")
	}
	retry := unreachedRetryAfter
	if a.IsNotRun {
		retry = fullRetryAfter
	}
	return request.Refuse(reason, "no server accepted the request").WithRetryAfter(retry)
}

func mayHaveRunFailure(ctx context.Context, err error) request.Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Refuse(request.ReasonDeadlinePassed, err.Error()).WithSent(true)
	case ctx.Err() != nil:
		return request.Refuse(request.ReasonCancelled, err.Error()).WithSent(true)
	}
	return request.Refuse(request.ReasonOutcomeUnknown, err.Error()).WithSent(true)
}
