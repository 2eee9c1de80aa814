package pipeline

import (
	"fmt"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/request"
)

// admit checks a request against the catalogue. It returns the request with its
// effective class, the plan of its target, and the limits of its workspace and
// target on requests in flight. Nothing has been sent when admit refuses a request.
func admit(c catalogue.Catalogue, r request.Request, now time.Time) (request.Request, plan, request.InFlightLimits, error) {
	var none plan
	ws, ok := c.Entry(catalogue.WorkspaceKind, r.Workspace)
	if !ok {
		return r, none, request.InFlightLimits{}, request.Refuse(request.ReasonUnknownWorkspace, fmt.Sprintf("workspace %q is not in the catalogue", r.Workspace))
	}
	p, err := planFor(c, r.Target)
	if err != nil {
		return r, none, request.InFlightLimits{}, err
	}
	class, rank, err := c.EffectiveClass(r.Class, ws.Class, p.target.Class)
	if err != nil {
		return r, none, request.InFlightLimits{}, err
	}
	r = r.WithClass(class, rank, max(1, ws.Weight)).WithRevision(c.Revision)
	if err := checkLimits(r, p, now); err != nil {
		return r, none, request.InFlightLimits{}, err
	}
	limits := request.InFlightLimits{Workspace: ws.Limits.MaxInFlight, Target: p.target.Limits.MaxInFlight}
	return r, p, limits, nil
}

func checkLimits(r request.Request, p plan, now time.Time) error {
	limits := p.target.Limits.WithDefaults(p.target.Kind)
	if n := len(r.Input); n > limits.MaxBodyBytes {
		return request.Refuse(request.ReasonInputTooLarge, fmt.Sprintf("the input is %d bytes long, the limit is %d", n, limits.MaxBodyBytes))
	}
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return request.Refuse(request.ReasonDeadlinePassedOnArrival, "the deadline had passed when the request arrived")
	}
	if remaining > limits.MaxDeadline {
		return request.Refuse(request.ReasonDeadlineTooLong, fmt.Sprintf("the deadline is %s from now, the limit is %s", remaining.Round(time.Millisecond), limits.MaxDeadline))
	}
	if p.needsClaim && r.Key == "" {
		return request.Refuse(request.ReasonKeyRequired, r.Target+" is not repeatable; the request needs an idempotency key")
	}
	return nil
}
