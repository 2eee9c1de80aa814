package preparation

import (
	"time"

	"lycheecrank.example/admission"
	"lycheecrank.example/request"
)

// decideAdmission decides about a new request and counts it for its workspace.
func (c *Coordinator) decideAdmission(task Task, now time.Time) (admission.Outcome, time.Duration) {
	terms := admission.Terms{Objective: task.Objective, Deadline: task.timeLeft(), OnTimeOnly: task.OnTimeOnly}
	if task.Workspace == "" {
		return admission.Decide(c.estimate(task, now), terms)
	}
	if terms.ExceedsShare = c.Shares.Queries().ExceedsShare(task.Workspace, now); terms.ExceedsShare {
		c.Counters.Add("aboveShare")
	}
	outcome, expected := admission.Decide(c.estimate(task, now), terms)
	c.Shares.Commands().Record(task.Workspace, outcome, now)
	return outcome, expected
}

// estimate returns how long the stages of a new request are expected to take.
func (c *Coordinator) estimate(task Task, now time.Time) admission.Estimate {
	onTime := newJob(task, now)
	late := onTime
	late.task.isLate = true
	expected := func(j job) time.Duration {
		return j.expectedTime(func(stage int) time.Duration { return c.expectedWait(j, stage, now) }, c.callTime)
	}
	alone := onTime.expectedTime(func(int) time.Duration { return 0 }, c.callTime)
	return admission.Estimate{OnTime: expected(onTime), Late: expected(late), Alone: alone, Engine: task.engineTime()}
}

// expectedWait returns how long the pieces of a stage of a new request are expected to
// wait behind the pieces that are served before them.
func (c *Coordinator) expectedWait(j job, stage int, now time.Time) time.Duration {
	pool, class := j.task.Stages[stage].Pool, j.task.class()
	upstream := c.table.Commands().backlog(pool, class, j.task.isLate, now)
	return c.Batches.Queries().EstimateWait(pool, upstream, latestStart(j, stage, c.callTime), class, now)
}

// refuseExiting returns the refusal of a request that can't be prepared before the instance
// that it came to gives its final answers.
func refuseExiting() request.Failure {
	return request.Refuse(request.ReasonLeaving, "the instance exits before the request can be prepared")
}

// refuseEarly returns the refusal of a request whose stages are not expected to be
// computed in time, so that the client gets it on arrival and not at the end of the try.
func refuseEarly(task Task, expected time.Duration) request.Failure {
	if task.isCutShort() && expected <= task.Deadline {
		return refuseExiting()
	}
	refusal := request.Refuse(request.ReasonDeadlineUnattainable, "expected preparation time too long for the objective or the deadline: "+expected.String())
	return refusal.WithRetryAfter(task.retryAfter(expected - task.Objective))
}
