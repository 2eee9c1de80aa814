package preparation

import (
	"context"
	"time"

	"lycheecrank.example/engine"
	"lycheecrank.example/request"
	"lycheecrank.example/rollout"
)

// preferredDataCentre returns the data centre in which the results of a request should
// be computed: that of the engine that would be reserved at this time. It is empty if
// the request has no large results.
func (c *Coordinator) preferredDataCentre(task Task, now time.Time) string {
	for _, s := range task.Stages {
		if s.Pieces == 0 || s.Bytes < largeResultBytes {
			continue
		}
		best, _ := c.Engines.Queries().BestEngine(task.Pool, task.Prompt, engine.Requirements{AvoidEngines: task.AvoidEngines, ColdShare: 1, Allows: c.Rollouts.Queries().Selection(task.Pool, rollout.Usual, now)}, now)
		return best.DataCentre
	}
	return ""
}

// lane returns the version of engines that a request is for.
func (c *Coordinator) lane(task Task, now time.Time) rollout.Lane {
	switch {
	case task.RequiredEngine != "" && c.Rollouts.Queries().IsTrial(task.Pool, task.RequiredEngine, now):
		return rollout.Trial
	case task.Try <= 1 && c.Rollouts.Commands().Admit(task.Pool, now):
		return rollout.Trial
	case task.Try <= 1:
		// The engines to avoid are those that want no requests for a time.
		return rollout.Usual
	}
	return c.Rollouts.Queries().LaneAfter(task.Pool, task.AvoidEngines, now)
}

// reserveEngine reserves an engine and waits while no engine has capacity for the
// request; for memory, it waits until the objective. The objective of a request that was
// sent before may be over, as when its stream goes on at another engine. The parameter
// isProbe reports whether the request was admitted as a probe.
func (c *Coordinator) reserveEngine(ctx context.Context, task Task, isProbe bool, objective time.Time) (Placement, error) {
	until := time.Now().Add(max(task.RetryWindow, task.Deadline) + endSlack)
	timer := time.NewTimer(engineRetryInterval)
	defer timer.Stop()
	lane := c.lane(task, time.Now())
	for {
		if !isProbe {
			// The prompt may have been quarantined while the stages were computed.
			var failure *request.Failure
			if isProbe, failure = c.Admit(task); failure != nil {
				return Placement{}, *failure
			}
		}
		j, ok := c.table.Commands().job(task.RequestID)
		if !ok {
			return Placement{}, request.Refuse(request.ReasonCancelled, "preparation cancelled while waiting for an engine")
		}
		inputs := j.engineInputs()
		now := time.Now()
		if !j.answerBy.IsZero() && now.Add(task.engineTime()).After(j.answerBy) {
			return Placement{}, refuseExiting()
		}
		requirements := engine.Requirements{
			InputBytes: c.inputBytes(j), AvoidEngines: task.AvoidEngines, RequiredEngine: task.RequiredEngine, Until: until, ColdShare: c.ColdShare(),
			Allows: c.Rollouts.Queries().Selection(task.Pool, lane, now),
		}
		reservation, ok := c.Engines.Commands().Reserve(task.Pool, task.RequestID, task.Prompt, requirements, now)
		if !ok && lane == rollout.Trial && task.RequiredEngine == "" {
			c.Rollouts.Commands().Refund(task.Pool)
			lane = rollout.Usual
			continue
		}
		if ok {
			return Placement{Server: reservation.ID, Address: reservation.Address, DataCentre: reservation.DataCentre, PrefixSource: reservation.PrefixSource, Inputs: inputs, ExpectedFirstEvent: reservation.ExpectedFirstEvent, TypicalFirstEvent: reservation.TypicalFirstEvent, IsProbe: isProbe}, nil
		}
		c.Counters.Add("noEngine")
		if reservation.LacksMemory {
			c.Counters.Add("noEngineMemory")
			if task.Try <= 1 && !time.Now().Before(objective) {
				return Placement{}, request.Refuse(request.ReasonQueueFull, "no engine has memory for the request within its objective").WithRetryAfter(task.retryAfter(memoryRetryAfter))
			}
		}
		if c.Engines.Queries().AreAllExcluded(task.Pool, requirements) {
			return Placement{}, request.Refuse(request.ReasonNoServer, "all engines have refused or failed the request").WithRetryAfter(task.retryAfter(0))
		}
		timer.Reset(engineRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return Placement{}, c.contextFailure(ctx, task, "engines")
		}
	}
}

// inputBytes returns the size of the results that the engine fetches, by data centre.
func (c *Coordinator) inputBytes(j job) map[string]int64 {
	sizes := map[string]int64{}
	for i, s := range j.task.Stages {
		if len(j.dependents(i)) > 0 {
			continue
		}
		for _, h := range j.handles[i] {
			if dc := c.Batches.Queries().DataCentre(h); dc != "" {
				sizes[dc] += s.Bytes
			}
		}
	}
	return sizes
}
