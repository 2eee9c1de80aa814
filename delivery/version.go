package delivery

import (
	"context"
	"errors"
	"time"

	"lycheecrank.example/fleet"
	"lycheecrank.example/rollout"
)

// usable returns a server and whether it may get a request of this instance right now: it is
// in service, and its version may be used.
func (r *Router) usable(pool, id string) (fleet.Server, bool) {
	now := time.Now()
	server, ok := r.Fleet.Server(id, now)
	return server, ok && r.Rollouts.Queries().MaySend(pool, server.Version, now)
}

// typicalScale is the time that stands for the typical time to the first event of an engine
// in evidence. Prompts differ in length and in what engines have cached of them.
const typicalScale = 100 * time.Millisecond

// evidenceTime returns the time since a request was sent, for evidence.
func (r *run) evidenceTime(now time.Time) time.Duration {
	took := now.Sub(r.sentAt)
	if r.typicalFirstEvent <= 0 {
		return took
	}
	return time.Duration(float64(took) / float64(r.typicalFirstEvent) * float64(typicalScale))
}

// recordRun adds the first event or the failure of an engine to the evidence about versions.
func (r *Router) recordRun(routed routedAttempt, run *run, isBad bool) {
	r.Rollouts.Commands().Record(rollout.Response{
		Pool: routed.pool.Name, Route: routed.route.Name, Server: run.server.ID, Version: run.server.Version, IsBad: isBad, Took: run.evidenceTime(time.Now()),
	})
}

// recordBroken adds an answer that broke off to the evidence about versions. An engine that
// sent nothing in time counts as slow, and one that closed the connection without an answer
// isn't evidence about its version.
func (r *Router) recordBroken(routed routedAttempt, run *run, isSilent bool) {
	response := rollout.Response{Pool: routed.pool.Name, Route: routed.route.Name, Server: run.server.ID, Version: run.server.Version}
	switch {
	case isSilent && run.events == 0:
		response.Took = run.evidenceTime(time.Now())
	case isSilent:
		return
	case run.answeredAt.IsZero():
		response.IsLost = true
	default:
		response.IsBad = true
	}
	r.Rollouts.Commands().Record(response)
}

// recordLost adds a request that didn't reach its server to the evidence.
func (r *Router) recordLost(routed routedAttempt, server fleet.Server) {
	r.Rollouts.Commands().Record(rollout.Response{Pool: routed.pool.Name, Route: routed.route.Name, Server: server.ID, Version: server.Version, IsLost: true})
}

// recordPlain adds the answer of a server of a pool without engines to the evidence.
func (r *Router) recordPlain(routed routedAttempt, id string, sentAt time.Time, answer Answer, err error) {
	server, ok := r.Fleet.Server(id, time.Now())
	isSilent := errors.Is(err, errSilent)
	switch {
	case !ok || answer.IsNotRun:
		return
	case errors.Is(err, ErrNotReached) || err != nil && answer.Status == 0 && !isSilent:
		r.recordLost(routed, server)
		return
	}
	r.Rollouts.Commands().Record(rollout.Response{
		Pool: routed.pool.Name, Route: routed.route.Name, Server: server.ID, Version: server.Version,
		IsBad: !isSilent && (err != nil || answer.Status >= 500), Took: time.Since(sentAt),
	})
}

// mayRetryOldVersion reports whether a request that failed at an engine of a version which is
// tried out is sent to an engine of the old version. It takes a retry from the budget.
func (s *preparedAttempt) mayRetryOldVersion(ctx context.Context, server fleet.Server) bool {
	return s.router.Rollouts.Queries().IsTried(s.routed.pool.Name, server.Version) && s.routed.route.IsRepeatable() &&
		len(s.reached) < s.routed.route.MaxServers && ctx.Err() == nil && s.router.allowRetry(s.routed.attempt.ID, "newVersionFailed", s.sends)
}
