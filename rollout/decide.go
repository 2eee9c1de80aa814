package rollout

import (
	"fmt"
	"time"
)

const (
	// stepInterval is the least time for which a share stays.
	stepInterval = time.Second
	// stepResponses is the number of responses of the new version for each step.
	stepResponses = 8
	// Of the responses that a share should have given on a route, stepPart must be there
	// for the next step, but no more than stepRouteResponses.
	stepPart           = 0.5
	stepRouteResponses = 4
	// singleSpread is the number of servers of the new version that get requests once one
	// of them seems to be faulty.
	singleSpread = 3
	// maxLost is the number of requests without a response from which a pool isn't shifted
	// to a version that has given no response at all.
	maxLost = 3
)

// Input is what a decision depends on. It is an immutable value.
type Input struct {
	State   State
	Elapsed time.Duration
	// IsWithdrawn is set if the order was removed.
	IsWithdrawn bool
	// Listed is the number of listed servers of the new version.
	Listed int
	// Totals is the evidence since the order, Windows that of recent times: a version
	// may become bad later.
	Totals  Totals
	Windows []Totals
	// SinceStep is the time since the last step.
	SinceStep time.Duration
}

// Decide returns the next state of a rollout, or the same state.
func (b Bounds) Decide(input Input) State {
	state := input.State
	if state.Phase.IsFinal() || state.Phase == Pending {
		return state
	}
	if input.IsWithdrawn {
		return state.WithPhase(RolledBack, "order withdrawn")
	}
	schedule := b.Schedule(state.Duration())
	isLast := state.Phase == Shifted || input.Elapsed >= schedule.ShiftAt
	verdict := input.judge(isLast)
	if verdict.IsBad {
		return state.WithPhase(RolledBack, verdict.Reason)
	}
	fresh := sum(input.Totals.fresh(""))
	responses := fresh.Count
	switch {
	case input.Elapsed >= schedule.Deadline && (responses == 0 || input.Listed == 0):
		return state.WithPhase(RolledBack, "no server or no response of the new version until the deadline")
	case state.Phase == Shifted && input.Elapsed >= schedule.SucceedAt && responses > 0 && input.Listed > 0:
		return state.WithPhase(Succeeded, fmt.Sprintf("%d responses without a finding", responses))
	case state.Phase == Running && isLast && input.Listed > 0 && (responses > 0 || fresh.Lost < maxLost):
		return state.WithPhase(Shifted, fmt.Sprintf("%d responses without a finding", responses))
	case verdict.IsSingle && state.Spread < singleSpread:
		return state.WithSpread(singleSpread, verdict.Reason)
	case state.Phase == Running && b.isStepDue(input, schedule):
		return state.WithStep(fmt.Sprintf("%d responses without a finding", responses))
	}
	return state
}

// judge judges the whole evidence and that of recent times.
func (i Input) judge(isLast bool) Verdict {
	result := judge(i.Totals, i.Listed, isLast)
	for _, window := range i.Windows {
		if result.IsBad {
			break
		}
		if v := judge(window, i.Listed, isLast); v.IsBad || v.IsSingle {
			result = v
		}
	}
	return result
}

// isStepDue reports whether there is enough evidence for a larger share: on each route with
// traffic, about the number of responses that the share should have given.
func (b Bounds) isStepDue(input Input, schedule Schedule) bool {
	step := input.State.Step
	if step+1 >= len(shareSteps) || shareSteps[step] >= schedule.MaxShare || input.SinceStep < stepInterval {
		return false
	}
	fresh := sum(input.Totals.fresh(""))
	if fresh.Count < int64(stepResponses*(step+1)) || fresh.Bad >= minBadLast {
		return false
	}
	for _, route := range input.Totals.routes() {
		due := min(stepRouteResponses, stepPart*shareSteps[0]*float64(input.Totals.old(route).Count))
		if float64(sum(input.Totals.fresh(route)).Count) < due {
			return false
		}
	}
	return true
}
