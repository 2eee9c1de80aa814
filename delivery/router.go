package delivery

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/fleet"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/preparation"
	"lycheecrank.example/request"
	"lycheecrank.example/route"
)

// Router serves attempts. Set the exported fields before the first call; concurrent
// calls are safe after that.
type Router struct {
	Routes route.Queries
	Fleet  fleet.Queries
	// PlainServers holds the servers of pools without engines.
	PlainServers backend.Commands
	// Budget limits sends beyond the first one of an attempt.
	Budget *pipeline.Budget
	// Prepare has a request prepared by the coordinator. Its error is a
	// request.Failure.
	Prepare func(ctx context.Context, o preparation.Task) (preparation.Placement, error)
	// OnFirstEvent and OnRunEnd notify the coordinator of the first event and of the
	// end of a request at its engine, Abandon of a prepared request that won't be
	// sent.
	OnFirstEvent func(pool, server, id string, try int, took time.Duration)
	OnRunEnd     func(pool, server, id string, e preparation.RunStatus)
	Abandon      func(id string, try int)
	// OnAdmission is called with each admitted attempt before it is served.
	OnAdmission func(a Admission)
	// IsLeaving reports whether this instance shuts down so soon that streams should
	// go to another one.
	IsLeaving func() bool
	// Retries counts sends beyond the first one by reason.
	Retries *counter.Set
	Logger  *event.Logger
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
}

// Deliver serves an attempt until its answer is forwarded or it has failed.
func (d *Router) Deliver(ctx context.Context, a Attempt) Result {
	v, f := d.admit(a)
	if f != nil {
		return Result{Failure: f, Route: v.route.Name}
	}
	d.OnAdmission(Admission{
		RequestID: a.ID, Workspace: v.workspace, Route: v.route.Name, Pool: v.pool.Name, Rank: v.rank,
		ArrivedAt: a.ArrivedAt, Deadline: v.deadline, ConfigurationVersion: d.Routes.Current().Version,
	})
	ctx, cancel := context.WithDeadline(ctx, v.deadline)
	defer cancel()
	d.Budget.Deposit()
	var result Result
	if v.pool.Engine != nil || len(v.route.Stages) > 0 {
		result = d.serveStream(ctx, v)
	} else {
		result = d.servePlain(ctx, v)
	}
	result.Route, result.Pool = v.route.Name, v.pool.Name
	return result
}

// defaultTimeout is the timeout of a request whose client and route set none.
const defaultTimeout = 30 * time.Second

// admit determines the route, the pool, the workspace and the deadline of an
// attempt, or refuses it.
func (d *Router) admit(a Attempt) (routedAttempt, *request.Failure) {
	now := time.Now()
	c := d.Routes.Current()
	if c.Version == 0 {
		return routedAttempt{}, refuse(request.ReasonNoCatalogue, "no configuration received yet")
	}
	r, ok := c.Match(a.Host, a.Path)
	if !ok {
		return routedAttempt{}, d.refuseUnknown(request.ReasonUnknownTarget, now)
	}
	v := routedAttempt{attempt: a, route: r, rank: r.Rank}
	if c.NeedsKey(r) {
		w, ok := c.Workspace(a.Key)
		if !ok {
			return v, d.refuseUnknown(request.ReasonUnknownWorkspace, now)
		}
		v.workspace = w.Name
		if w.HasRank {
			v.rank = w.Rank
		}
	}
	name := r.Pool(xxhash.Sum64String(a.ID))
	v.pool, ok = c.Pool(name)
	if !ok {
		v.pool = route.Pool{Name: name}
	}
	v.deadline, v.objective = deadlines(a, r)
	switch {
	case !arePieceCountsValid(a.Pieces):
		return v, refuse(request.ReasonMalformed, "number of pieces of a stage is negative or too large")
	case !now.Before(v.deadline):
		return v, refuse(request.ReasonDeadlinePassedOnArrival, "the deadline of the request has passed")
	case d.IsLeaving() && r.Kind == route.Stream:
		f := request.Refuse(request.ReasonLeaving, "the instance is shutting down").WithRetryAfter(leavingRetryAfter)
		return v, &f
	}
	return v, nil
}

// maxPieces is the largest number of pieces of a stage. It protects the
// coordinator's memory against numbers from outside.
const maxPieces = 1024

func arePieceCountsValid(pieces []int) bool {
	return !slices.ContainsFunc(pieces, func(n int) bool { return n < 0 || n > maxPieces })
}

// leavingRetryAfter is the delay before a client retries at another instance.
const leavingRetryAfter = 50 * time.Millisecond

func deadlines(a Attempt, r route.Route) (deadline, objective time.Time) {
	limit := a.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	deadline = a.ArrivedAt.Add(limit)
	objective = deadline
	if r.Objective > 0 && r.Objective < limit {
		objective = a.ArrivedAt.Add(r.Objective)
	}
	return deadline, objective
}

// refuseUnknown refuses a request whose route or key is not in the configuration. If a
// newer configuration may exist, the client is asked to retry.
func (d *Router) refuseUnknown(reason request.Reason, now time.Time) *request.Failure {
	if d.Routes.IsCurrent(now) {
		return refuse(reason, "")
	}
	f := request.Refuse(request.ReasonNoCatalogue, "the configuration may be outdated").WithRetryAfter(staleRetryAfter)
	return &f
}

// staleRetryAfter is the delay before a client retries while the configuration may be
// outdated.
const staleRetryAfter = 300 * time.Millisecond

func refuse(reason request.Reason, detail string) *request.Failure {
	f := request.Refuse(reason, detail)
	return &f
}

// allowRetry reports whether the budget lets a request be sent once more, and counts the
// reason.
func (d *Router) allowRetry(id, reason string, tries int) bool {
	if !d.Budget.Withdraw() {
		d.Retries.Add("budgetSpent")
		return false
	}
	d.Retries.Add(reason)
	d.Logger.Write(event.AttemptRetried, id, reason, tries)
	return true
}
