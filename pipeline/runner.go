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
	// maxSentAttempts limits the failed attempts at one stage that may have reached
	// a backend server.
	maxSentAttempts = 4
	// maxUnsentAttempts limits the failed attempts at one stage that reached no
	// backend server. The pauses between them add up to more than 1 s, the time until
	// another instance owns a pool, that is, dispatches its steps.
	maxUnsentAttempts = 8
	// The pause after the n-th unsent attempt at a stage is basePause<<n, at most
	// maxPause. There is no pause after the first one.
	basePause = 10 * time.Millisecond
	maxPause  = 400 * time.Millisecond
)

// ClaimResult is the result of a successful claim of a request that is not
// repeatable. Either the request may run now, or it ran before.
type ClaimResult struct {
	// StoredAnswer is the answer of the earlier run; nil if the request has not run.
	StoredAnswer *request.Answer
	// Finish records the outcome. It must be called exactly once, unless
	// StoredAnswer is set.
	Finish func(outcome request.Outcome, output []byte)
}

// Runner runs requests. Set the exported fields before the first call of Run.
// Concurrent calls are safe.
type Runner struct {
	// Catalogue returns the catalogue in force and whether there is one.
	Catalogue func() (catalogue.Catalogue, bool)
	// Execute runs one step, locally or at another instance. Its errors are of
	// type request.Failure.
	Execute func(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error)
	// Claim decides whether a request that is not repeatable may run.
	Claim func(ctx context.Context, r request.Request) (ClaimResult, error)
	// OnDecision is called for each admission, refusal, retry and finish; it must not
	// block.
	OnDecision func(d Decision)
	// IsLeaving reports whether the instance is shutting down and refuses new
	// requests.
	IsLeaving func() bool
	// Requests registers the requests in flight, at most MaxInFlight.
	Requests    request.Commands
	MaxInFlight int
	Budget      *Budget
	// Refusals counts the requests that ended without a result, Retries the retries of
	// steps, both by reason.
	Refusals *counter.Set
	Retries  *counter.Set
	Logger   *event.Logger
}

// DecisionKind is the kind of a decision.
type DecisionKind string

// The kinds of decisions.
const (
	// Admission: the request was accepted.
	Admission DecisionKind = "admission"
	// Refusal: the request ended without a result. The outcome states whether it may
	// have run.
	Refusal DecisionKind = "refusal"
	// Retry: another attempt follows a failed attempt at a stage.
	Retry DecisionKind = "retry"
	// Finish: the request ran, and its result is known.
	Finish DecisionKind = "finish"
)

// Decision is a decision about a request, as reported to Runner.OnDecision.
type Decision struct {
	Kind    DecisionKind
	Request request.Request
	Reason  request.Reason
	Outcome request.Outcome
	At      time.Time
}

// Run runs a request and returns its answer. The sink receives the pieces of the
// last stage if the request is streamed and the last stage is of kind generate.
func (r *Runner) Run(ctx context.Context, req request.Request, sink request.Sink) request.Answer {
	req = withIDs(req)
	a := r.run(ctx, req, sink)
	r.finish(a)
	return a
}

func withIDs(req request.Request) request.Request {
	req.ExecutionID = uuid.NewString()
	if req.ID == "" {
		req.ID = req.ExecutionID
	}
	return req
}

func (r *Runner) run(ctx context.Context, req request.Request, sink request.Sink) request.Answer {
	now := time.Now()
	c, ok := r.Catalogue()
	if r.IsLeaving() {
		return refusedAnswer(req, request.Refuse(request.ReasonLeaving, "the instance is leaving"))
	}
	if !ok {
		return refusedAnswer(req, request.Refuse(request.ReasonNoCatalogue, "the instance has not loaded a catalogue yet"))
	}
	req, p, limits, err := admit(c, req, now)
	if err != nil {
		return refusedAnswer(req, err)
	}
	limits.Instance = r.MaxInFlight
	ctx, err = r.Requests.Add(ctx, req, limits)
	if err != nil {
		return refusedAnswer(req, err)
	}
	defer r.Requests.Remove(req)
	ctx, cancel := context.WithDeadlineCause(ctx, req.Deadline, context.DeadlineExceeded)
	defer cancel()
	r.notifyDecision(Decision{Kind: Admission, Request: req, At: now})
	r.Budget.Deposit()
	if p.needsClaim {
		return r.runClaimed(ctx, req, p)
	}
	return r.runStages(ctx, req, p, sink)
}

// runClaimed runs a request that is not repeatable, if it can be claimed. If the
// request ran before, the stored answer is returned.
func (r *Runner) runClaimed(ctx context.Context, req request.Request, p plan) request.Answer {
	claim, err := r.Claim(ctx, req)
	if err != nil {
		return refusedAnswer(req, err)
	}
	if claim.StoredAnswer != nil {
		stored := *claim.StoredAnswer
		stored.Request = req
		return stored
	}
	a := r.runStages(ctx, req, p, nil)
	claim.Finish(a.Outcome, a.Output)
	return a
}

func refusedAnswer(req request.Request, err error) request.Answer {
	f := request.AsFailure(err)
	return request.Answer{Request: req, Outcome: f.Outcome(), Failure: f}
}

// runStages runs the stages in order. The input of each stage is the output of
// the previous one.
func (r *Runner) runStages(ctx context.Context, req request.Request, p plan, sink request.Sink) request.Answer {
	a := request.Answer{Request: req}
	input := req.Input
	earlierStageRan := false
	for i := range p.stages {
		var stageSink request.Sink
		if i == len(p.stages)-1 {
			stageSink = sink
		}
		report, f := r.runStage(ctx, req, p, i, input, stageSink)
		if f != nil {
			a.Failure = f.WithSent(earlierStageRan)
			a.Outcome = a.Failure.Outcome()
			return a
		}
		earlierStageRan = true
		a.Stages = append(a.Stages, report)
		input = report.Result.Output
	}
	a.Outcome, a.Output = request.Ran, input
	return a
}

// runStage runs a stage and retries it until it succeeds or a retry is not
// allowed.
func (r *Runner) runStage(ctx context.Context, req request.Request, p plan, i int, input []byte, sink request.Sink) (request.StageReport, *request.Failure) {
	step := p.step(i, req, input)
	var failed failedAttempts
	for {
		step = step.WithDeadline(p.stageDeadline(i, time.Now(), req.Deadline))
		result, err := r.Execute(ctx, step, sink)
		if err == nil && result.Identity != step.Identity() {
			err = request.Refuse(request.ReasonResultInvalid, "the result belongs to another request, stage or attempt").WithSent(true)
		}
		if err == nil {
			return request.StageReport{Stage: step.Stage, Attempts: step.Attempt, Result: result}, nil
		}
		f := request.AsFailure(err)
		failed = failed.with(f)
		if final := r.finalFailure(ctx, req, step, f, failed); final != nil {
			return request.StageReport{}, final
		}
		if !f.Sent {
			sleep(ctx, failed.retryPause())
		}
		if ctx.Err() != nil {
			failure := contextFailure(ctx).WithSent(failed.sent > 0)
			return request.StageReport{}, &failure
		}
		r.Retries.Add(string(f.Reason))
		r.notifyDecision(Decision{Kind: Retry, Request: req, Reason: f.Reason, At: time.Now()})
		step = step.WithRetry(f)
	}
}

// failedAttempts counts the failed attempts at a stage, by whether a byte may
// have reached a backend server.
type failedAttempts struct {
	sent   int
	unsent int
}

func (a failedAttempts) with(f request.Failure) failedAttempts {
	if f.Sent {
		a.sent++
	} else {
		a.unsent++
	}
	return a
}

// retryPause returns the delay before the next attempt after one that reached no
// backend server. The first retry is immediate, at another server or data centre.
func (a failedAttempts) retryPause() time.Duration {
	if a.unsent <= 1 {
		return 0
	}
	return min(basePause<<a.unsent, maxPause)
}

func sleep(ctx context.Context, d time.Duration) {
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

// finalFailure returns the failure of the stage if the step may not be retried,
// and nil if it may. A retry costs budget only if the failed attempt may have
// reached a backend server, because the other attempts put no load on a server.
func (r *Runner) finalFailure(ctx context.Context, req request.Request, step request.Step, f request.Failure, failed failedAttempts) *request.Failure {
	costsBudget := f.Sent
	f = f.WithSent(failed.sent > 0)
	if ctx.Err() != nil {
		failure := contextFailure(ctx).WithSent(f.Sent)
		return &failure
	}
	if !step.Repeatable && f.Sent {
		return &f
	}
	if !f.Reason.AllowsStepRetry() && !isStageTimeout(req, step, f) {
		return &f
	}
	if failed.sent >= maxSentAttempts || failed.unsent >= maxUnsentAttempts {
		return &f
	}
	if costsBudget && !r.Budget.Withdraw() {
		r.Retries.Add(string(request.ReasonRetryBudget))
		refusal := request.Refuse(request.ReasonRetryBudget, f.Error()).WithSent(true)
		return &refusal
	}
	return nil
}

// isStageTimeout reports whether the step exceeded or could not meet its stage
// deadline, which is earlier than the deadline of the request.
func isStageTimeout(req request.Request, step request.Step, f request.Failure) bool {
	isTimeout := f.Reason == request.ReasonDeadlinePassed || f.Reason == request.ReasonDeadlineUnattainable
	return isTimeout && step.Deadline.Before(req.Deadline)
}

// contextFailure returns the failure for a context that is done.
func contextFailure(ctx context.Context) request.Failure {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return request.Refuse(request.ReasonDeadlinePassed, "the deadline passed before the request finished")
	}
	return request.Refuse(request.ReasonCancelled, "the request was cancelled")
}

func (r *Runner) finish(a request.Answer) {
	if a.Outcome == request.Ran {
		r.Logger.Write(event.RequestFinished, a.Request.ID, a.Request.Workspace, a.Request.Class, a.Outcome.String())
		r.notifyDecision(Decision{Kind: Finish, Request: a.Request, Outcome: a.Outcome, At: time.Now()})
		return
	}
	r.Refusals.Add(string(a.Failure.Reason))
	r.Logger.Write(event.RequestRefused, a.Request.ID, a.Request.Workspace, string(a.Failure.Reason), a.Failure.Detail)
	r.notifyDecision(Decision{Kind: Refusal, Request: a.Request, Reason: a.Failure.Reason, Outcome: a.Outcome, At: time.Now()})
}

func (r *Runner) notifyDecision(d Decision) {
	if r.OnDecision != nil {
		r.OnDecision(d)
	}
}
