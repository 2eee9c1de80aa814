package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

const (
	// maxSent bounds the attempts at one stage that may have reached a server.
	maxSent = 4
	// maxUnsent bounds the attempts that reached none. Together with the pauses
	// between them they cover the second in which a pool changes its owner.
	maxUnsent = 8
	minPause  = 10 * time.Millisecond
	maxPause  = 400 * time.Millisecond
)

// Claimed is the right to run a request that may not be repeated.
type Claimed struct {
	// Stored is set if the request ran before: its answer.
	Stored *request.Answer
	// Finish records the outcome. It must be called exactly once, unless Stored
	// is set.
	Finish func(outcome request.Outcome, output []byte)
}

// Runner runs requests. Set the exported fields before the first call of Run.
// Concurrent calls are safe.
type Runner struct {
	// Catalogue returns the catalogue in force, and whether there is one.
	Catalogue func() (catalogue.Catalogue, bool)
	// Execute runs one step wherever it is to be run. Its errors are
	// request.Failure.
	Execute func(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error)
	// Claim decides whether a request with a key may run.
	Claim func(ctx context.Context, r request.Request) (Claimed, error)
	// Decided gets admissions, refusals, retries and finishes; it must not block.
	Decided func(d Decision)
	// IsLeaving tells that the instance takes no new requests.
	IsLeaving func() bool
	// Requests holds the requests in flight, at most MaxInFlight.
	Requests    request.Commands
	MaxInFlight int
	Budget      *Budget
	// Refusals and Retries count by reason.
	Refusals *counter.Set
	Retries  *counter.Set
	Logger   *event.Logger
}

// DecisionKind is the kind of a decision.
type DecisionKind string

// The kinds of decisions.
const (
	Admission DecisionKind = "admission"
	Refusal   DecisionKind = "refusal"
	Retry     DecisionKind = "retry"
	Finish    DecisionKind = "finish"
)

// Decision is a decision about a request.
type Decision struct {
	Kind    DecisionKind
	Request request.Request
	Reason  request.Reason
	Outcome request.Outcome
	At      time.Time
}

// Run runs a request and returns its answer. The sink gets the pieces of the
// last stage if the request is streamed and that stage generates.
func (r *Runner) Run(ctx context.Context, req request.Request, sink request.Sink) request.Answer {
	req = withIdentity(req)
	a := r.run(ctx, req, sink)
	r.finish(a)
	return a
}

func withIdentity(req request.Request) request.Request {
	req.Execution = uuid.NewString()
	if req.ID == "" {
		req.ID = req.Execution
	}
	return req
}

func (r *Runner) run(ctx context.Context, req request.Request, sink request.Sink) request.Answer {
	now := time.Now()
	c, known := r.Catalogue()
	if r.IsLeaving() {
		return refused(req, request.Refuse(request.ReasonLeaving, "the instance is leaving"))
	}
	if !known {
		return refused(req, request.Refuse(request.ReasonNoCatalogue, "the instance has no catalogue yet"))
	}
	req, p, caps, err := admit(c, req, now)
	if err != nil {
		return refused(req, err)
	}
	caps.Instance = r.MaxInFlight
	ctx, err = r.Requests.Add(ctx, req, caps)
	if err != nil {
		return refused(req, err)
	}
	defer r.Requests.Remove(req)
	ctx, cancel := context.WithDeadlineCause(ctx, req.Deadline, context.DeadlineExceeded)
	defer cancel()
	r.decided(Decision{Kind: Admission, Request: req, At: now})
	r.Budget.Earn()
	if p.claimed {
		return r.runClaimed(ctx, req, p)
	}
	return r.runStages(ctx, req, p, sink)
}

// runClaimed runs a request that may not be repeated, if its claim stands.
func (r *Runner) runClaimed(ctx context.Context, req request.Request, p plan) request.Answer {
	claimed, err := r.Claim(ctx, req)
	if err != nil {
		return refused(req, err)
	}
	if claimed.Stored != nil {
		stored := *claimed.Stored
		stored.Request = req
		return stored
	}
	a := r.runStages(ctx, req, p, nil)
	claimed.Finish(a.Outcome, a.Output)
	return a
}

func refused(req request.Request, err error) request.Answer {
	f := request.AsFailure(err)
	return request.Answer{Request: req, Outcome: f.Outcome(), Failure: f}
}

// runStages runs the stages one after the other, each on the output of the one
// before.
func (r *Runner) runStages(ctx context.Context, req request.Request, p plan, sink request.Sink) request.Answer {
	a := request.Answer{Request: req}
	input := req.Input
	sent := false
	for i := range p.stages {
		var stageSink request.Sink
		if i == len(p.stages)-1 {
			stageSink = sink
		}
		report, f := r.runStage(ctx, req, p, i, input, stageSink)
		if f != nil {
			a.Failure = f.WithSent(sent)
			a.Outcome = a.Failure.Outcome()
			return a
		}
		sent = true
		a.Stages = append(a.Stages, report)
		input = report.Result.Output
	}
	a.Outcome, a.Output = request.Ran, input
	return a
}

// runStage tries a stage until it succeeds or may not be tried again.
func (r *Runner) runStage(ctx context.Context, req request.Request, p plan, i int, input []byte, sink request.Sink) (request.StageReport, *request.Failure) {
	step := p.step(i, req, input)
	var tried attempts
	for {
		step = step.WithDeadline(p.deadline(i, time.Now(), req.Deadline))
		result, err := r.Execute(ctx, step, sink)
		if err == nil && result.Identity != step.Identity() {
			err = request.Refuse(request.ReasonResultInvalid, "the result belongs to another attempt").WithSent(true)
		}
		if err == nil {
			return request.StageReport{Stage: step.Stage, Attempts: step.Attempt, Result: result}, nil
		}
		f := request.AsFailure(err)
		tried = tried.with(f)
		if stop := r.stopReason(ctx, req, step, f, tried); stop != nil {
			return request.StageReport{}, stop
		}
		if !f.Sent {
			pause(ctx, tried.pause())
		}
		if ctx.Err() != nil {
			ended := endedFailure(ctx).WithSent(tried.sent > 0)
			return request.StageReport{}, &ended
		}
		r.Retries.Add(string(f.Reason))
		r.decided(Decision{Kind: Retry, Request: req, Reason: f.Reason, At: time.Now()})
		step = step.WithRetry(f)
	}
}

// attempts counts the failed attempts at a stage.
type attempts struct {
	sent   int
	unsent int
}

func (a attempts) with(f request.Failure) attempts {
	if f.Sent {
		a.sent++
	} else {
		a.unsent++
	}
	return a
}

// pause returns the wait before the next attempt after one that reached no
// server. The first one comes at once, at another server or data centre.
func (a attempts) pause() time.Duration {
	if a.unsent <= 1 {
		return 0
	}
	return min(minPause<<a.unsent, maxPause)
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stopReason returns why a failed step may not be tried again, or nil. Only
// attempts that may have reached a server cost a part of the retry budget,
// since the others put no load on one.
func (r *Runner) stopReason(ctx context.Context, req request.Request, step request.Step, f request.Failure, tried attempts) *request.Failure {
	costsBudget := f.Sent
	f = f.WithSent(tried.sent > 0)
	if ctx.Err() != nil {
		ended := endedFailure(ctx).WithSent(f.Sent)
		return &ended
	}
	if !step.Repeatable && f.Sent {
		return &f
	}
	if !f.Reason.RetriesStep() && !isStageTimeout(req, step, f) {
		return &f
	}
	if tried.sent >= maxSent || tried.unsent >= maxUnsent {
		return &f
	}
	if costsBudget && !r.Budget.Take() {
		r.Retries.Add(string(request.ReasonRetryBudget))
		over := request.Refuse(request.ReasonRetryBudget, f.Error()).WithSent(true)
		return &over
	}
	return nil
}

// isStageTimeout reports whether a step ran out of its share of the time while
// the request still has some.
func isStageTimeout(req request.Request, step request.Step, f request.Failure) bool {
	late := f.Reason == request.ReasonDeadlinePassed || f.Reason == request.ReasonDeadlineUnattainable
	return late && step.Deadline.Before(req.Deadline)
}

func endedFailure(ctx context.Context) request.Failure {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return request.Refuse(request.ReasonDeadlinePassed, "the deadline passed")
	}
	return request.Refuse(request.ReasonCancelled, "the request was cancelled")
}

func (r *Runner) finish(a request.Answer) {
	if a.Outcome == request.Ran {
		r.Logger.Write(event.RequestFinished, a.Request.ID, a.Request.Workspace, a.Request.Class, a.Outcome.String())
		r.decided(Decision{Kind: Finish, Request: a.Request, Outcome: a.Outcome, At: time.Now()})
		return
	}
	r.Refusals.Add(string(a.Failure.Reason))
	r.Logger.Write(event.RequestRefused, a.Request.ID, a.Request.Workspace, string(a.Failure.Reason), a.Failure.Detail)
	r.decided(Decision{Kind: Refusal, Request: a.Request, Reason: a.Failure.Reason, Outcome: a.Outcome, At: time.Now()})
}

func (r *Runner) decided(d Decision) {
	if r.Decided != nil {
		r.Decided(d)
	}
}
