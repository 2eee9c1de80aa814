package delivery

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/drain"
	"lycheecrank.example/engine"
	"lycheecrank.example/event"
	"lycheecrank.example/fleet"
	"lycheecrank.example/hedge"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/preparation"
	"lycheecrank.example/quarantine"
	"lycheecrank.example/request"
	"lycheecrank.example/rollout"
	"lycheecrank.example/route"
	"lycheecrank.example/speed"
)

// Router serves attempts. Set the exported fields before the first call. Concurrent calls
// are safe.
type Router struct {
	Routes route.Queries
	Fleet  fleet.Queries
	// PlainServers holds the servers of pools without engines.
	PlainServers backend.Commands
	// Rollouts decides which versions of servers may be used, and gets the evidence about
	// them; nil allows all.
	Rollouts *rollout.Table
	// Budget limits sends beyond the first one of an attempt.
	Budget *pipeline.Budget
	// Prepare has a request prepared by the coordinator. Its error is a
	// request.Failure.
	Prepare func(ctx context.Context, task preparation.Task) (preparation.Placement, error)
	// OnFirstEvent and OnRunEnd notify the coordinator of the first event and of the
	// end of a request at its engine. Abandon notifies it of a request that won't be
	// sent again.
	OnFirstEvent func(pool, server, id string, try int, took time.Duration)
	OnRunEnd     func(pool, server, id string, status preparation.RunStatus)
	Abandon      func(id string, try int)
	// OnLeaving is called with the process of a server that says in an answer that it is
	// leaving, OnPause with one that wants no requests for a time.
	OnLeaving func(process fleet.Process)
	OnPause   func(process fleet.Process, pause time.Duration)
	// OnLoad is called with the load that a server reports in its answer to a request.
	OnLoad func(server, id string, load speed.Report)
	// OnAdmission is called with each admitted attempt before it is served.
	OnAdmission func(a Admission)
	// Verdict returns the reason for which a request with a prompt is refused, if there is
	// one (see package quarantine).
	Verdict func(prompt engine.Prompt) (quarantine.Verdict, bool)
	// OnCrash is called when an engine breaks off an answer that has just begun: the head
	// has arrived and no event. OnBreak is called when one breaks off before the head or
	// shortly after the first event, which is a crash only if the engine has ended.
	OnCrash func(server fleet.Server, id string, prompt engine.Prompt)
	OnBreak func(server fleet.Server, id string, prompt engine.Prompt)
	// StopSchedule returns the schedule of the shutdown of this instance, the zero value
	// while it isn't shutting down.
	StopSchedule func() drain.Schedule
	// LastBreak detects breaks: times in which the machine was suspended, which the clock
	// of the runtime doesn't count. It is called before each admission and each send; nil
	// stands for a machine that is never suspended.
	LastBreak func() Break
	// Hedges decides about second sends of requests whose first one is late; nil turns them
	// off. HedgeCounts counts them by result, and those that were not made by reason.
	Hedges      *hedge.Table
	HedgeCounts *counter.Set
	// Retries counts sends beyond the first one by reason.
	Retries *counter.Set
	Logger  *event.Logger
}

// Break describes the breaks of a process so far.
type Break struct {
	Count   int64
	EndedAt time.Time
}

// resumeGrace is how long after a break attempts are refused while the configuration is
// not confirmed: keys and routes may have been withdrawn during the break.
const resumeGrace = time.Second

func (r *Router) lastBreak() Break {
	if r.LastBreak == nil {
		return Break{}
	}
	return r.LastBreak()
}

// routedAttempt is an attempt with its route, pool, workspace and times according to the
// configuration. It is an immutable value.
type routedAttempt struct {
	attempt   Attempt
	route     route.Route
	pool      route.Pool
	workspace string
	rank      int
	deadline  time.Time
	objective time.Time
	// breaks is the number of breaks before the admission. After another break, the
	// attempt isn't sent any more: its route, key, server and deadline may have run out
	// meanwhile.
	breaks int64
	// sends are the sends that run concurrently, nil without second sends.
	sends *sync.WaitGroup
}

// hadBreak reports whether the process had a break since the attempt was admitted.
func (r *Router) hadBreak(routed routedAttempt) bool { return r.lastBreak().Count != routed.breaks }

// breakFailure is the failure of an attempt that was not sent because of a break.
func breakFailure() request.Failure {
	return request.Refuse(request.ReasonDeadlinePassed, "the machine was suspended after the request was admitted").WithRetryAfter(staleRetryAfter)
}

// Deliver serves an attempt until its answer is forwarded or it has failed.
func (r *Router) Deliver(ctx context.Context, attempt Attempt) Result {
	routed, failure := r.admit(attempt)
	if failure != nil {
		return Result{Failure: failure, Route: routed.route.Name}
	}
	r.OnAdmission(Admission{
		RequestID: attempt.ID, Workspace: routed.workspace, Route: routed.route.Name, Pool: routed.pool.Name, Rank: routed.rank,
		ArrivedAt: attempt.ArrivedAt, Deadline: routed.deadline, ConfigurationVersion: r.Routes.Current().Version,
	})
	if r.Hedges != nil {
		// A cancelled send may still read the request, which is the caller's again after
		// the return.
		routed.sends = &sync.WaitGroup{}
		defer routed.sends.Wait()
	}
	ctx, cancel := context.WithDeadline(ctx, routed.deadline)
	defer cancel()
	r.Budget.Deposit()
	routed.attempt.Send = markResends(attempt.Send)
	var result Result
	if routed.pool.Engine != nil || len(routed.route.Stages) > 0 {
		result = r.servePrepared(ctx, routed)
	} else {
		result = r.servePlain(ctx, routed)
	}
	if result.Failure != nil && errors.Is(context.Cause(ctx), ErrStopping) {
		result = result.withFailure(LeavingFailure().WithSent(result.Failure.Sent))
	}
	result.Route, result.Pool = routed.route.Name, routed.pool.Name
	return result
}

// defaultTimeout is the timeout of a request whose client and route set none.
const defaultTimeout = 30 * time.Second

// admit determines the route, the pool, the workspace and the deadline of an
// attempt, or refuses it. ReasonNoCatalogue also stands for a missing or outdated
// configuration.
func (r *Router) admit(attempt Attempt) (routedAttempt, *request.Failure) {
	lastBreak := r.lastBreak()
	now := time.Now()
	configuration := r.Routes.Current()
	switch {
	case configuration.Version == 0:
		return routedAttempt{}, refuse(request.ReasonNoCatalogue, "no configuration received yet")
	case lastBreak.Count > 0 && now.Sub(lastBreak.EndedAt) < resumeGrace && !r.Routes.IsCurrent(now):
		f := request.Refuse(request.ReasonNoCatalogue, "the machine was suspended, and the configuration isn't confirmed yet").WithRetryAfter(staleRetryAfter)
		return routedAttempt{}, &f
	}
	matched, ok := configuration.Match(attempt.Host, attempt.Path)
	if !ok {
		return routedAttempt{}, r.refuseUnknown(request.ReasonUnknownTarget, now)
	}
	routed := routedAttempt{attempt: attempt, route: matched, rank: matched.Rank, breaks: lastBreak.Count}
	if configuration.NeedsKey(matched) {
		workspace, ok := configuration.Workspace(attempt.Key)
		if !ok {
			return routed, r.refuseUnknown(request.ReasonUnknownWorkspace, now)
		}
		routed.workspace = workspace.Name
		if workspace.HasRank {
			routed.rank = workspace.Rank
		}
	}
	name := matched.Pool(xxhash.Sum64String(attempt.ID))
	routed.pool, ok = configuration.Pool(name)
	if !ok {
		routed.pool = route.Pool{Name: name}
	}
	routed.deadline, routed.objective = deadlines(attempt, matched)
	switch {
	case !arePieceCountsValid(attempt.Pieces):
		return routed, refuse(request.ReasonMalformed, "number of pieces of a stage is negative or above the limit")
	case !now.Before(routed.deadline):
		return routed, refuse(request.ReasonDeadlinePassedOnArrival, "the deadline of the request passed before its admission")
	case !r.StopSchedule().Admits(now, routed.deadline):
		f := LeavingFailure()
		return routed, &f
	}
	// While a probe is due, the coordinator decides which request is the probe.
	if verdict, ok := r.Verdict(attempt.Prompt); ok && !verdict.IsProbeDue {
		f := verdict.Failure()
		return routed, &f
	}
	return routed, nil
}

// applyStatements passes on what a server says about itself in an answer to a request.
func (r *Router) applyStatements(server fleet.Server, id string, answer Answer) {
	if answer.Load != (speed.Report{}) {
		r.OnLoad(server.ID, id, answer.Load)
	}
	if answer.IsLeaving {
		r.OnLeaving(server.Process())
	}
	if answer.PauseFor > 0 {
		r.OnPause(server.Process(), answer.PauseFor)
	}
}

// maxPieces is the largest number of pieces of a stage. It protects the
// coordinator's memory against numbers from outside.
const maxPieces = 1024

func arePieceCountsValid(pieces []int) bool {
	return !slices.ContainsFunc(pieces, func(n int) bool { return n < 0 || n > maxPieces })
}

// leavingRetryAfter is the delay before a client retries at another instance.
const leavingRetryAfter = 50 * time.Millisecond

// ErrStopping is the cause with which the context of an attempt is cancelled that is still
// unanswered when this instance must exit. The client gets a failure as the answer.
var ErrStopping = errors.New("the instance exits")

// LeavingFailure returns the failure of an attempt that this instance doesn't serve because
// it is shutting down.
func LeavingFailure() request.Failure {
	return request.Refuse(request.ReasonLeaving, "the instance is shutting down").WithRetryAfter(leavingRetryAfter)
}

func deadlines(attempt Attempt, matched route.Route) (deadline, objective time.Time) {
	limit := attempt.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if matched.Timeout > 0 {
		limit = min(limit, matched.Timeout)
	}
	deadline = attempt.ArrivedAt.Add(limit)
	objective = deadline
	if matched.Objective > 0 && matched.Objective < limit {
		objective = attempt.ArrivedAt.Add(matched.Objective)
	}
	return deadline, objective
}

// refuseUnknown refuses a request whose route or key is not in the configuration. If a
// newer configuration may exist, the refusal asks the client to retry.
func (r *Router) refuseUnknown(reason request.Reason, now time.Time) *request.Failure {
	if r.Routes.IsCurrent(now) {
		return refuse(reason, "")
	}
	f := request.Refuse(request.ReasonNoCatalogue, "route or key not found, and the configuration may be outdated").WithRetryAfter(staleRetryAfter)
	return &f
}

// staleRetryAfter is the delay before a client retries while the configuration may be
// outdated.
const staleRetryAfter = 300 * time.Millisecond

func refuse(reason request.Reason, detail string) *request.Failure {
	f := request.Refuse(reason, detail)
	return &f
}

// allowRetry withdraws one retry from the budget. It reports whether the request may be
// sent once more, and counts the reason for the retry.
func (r *Router) allowRetry(id, reason string, tries int) bool {
	if !r.Budget.Withdraw() {
		r.Retries.Add("budgetSpent")
		return false
	}
	r.Retries.Add(reason)
	r.Logger.Write(event.AttemptRetried, id, reason, tries)
	return true
}
