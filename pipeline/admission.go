package pipeline

import (
	"fmt"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/request"
)

// admit checks a request against the catalogue and returns it with the class
// that it is entitled to, its plan and the limits of requests in flight. Every
// refusal is from before anything was sent.
func admit(c catalogue.Catalogue, r request.Request, now time.Time) (request.Request, plan, request.Caps, error) {
	var none plan
	ws, ok := c.Entry(catalogue.WorkspaceKind, r.Workspace)
	if !ok {
		return r, none, request.Caps{}, request.Refuse(request.ReasonUnknownWorkspace, fmt.Sprintf("workspace %q is not in the catalogue", r.Workspace))
	}
	p, err := planFor(c, r.Target)
	if err != nil {
		return r, none, request.Caps{}, err
	}
	class, rank, err := c.EffectiveClass(r.Class, ws.Class, p.target.Class)
	if err != nil {
		return r, none, request.Caps{}, err
	}
	r = r.WithClass(class, rank, max(1, ws.Weight)).WithRevision(c.Revision)
	if err := checkBounds(r, p, now); err != nil {
		return r, none, request.Caps{}, err
	}
	caps := request.Caps{Workspace: ws.Limits.MaxInFlight, Target: p.target.Limits.MaxInFlight}
	return r, p, caps, nil
}

func checkBounds(r request.Request, p plan, now time.Time) error {
	limits := p.target.Limits.WithDefaults(p.target.Kind)
	if n := len(r.Input); n > limits.MaxBodyBytes {
		return request.Refuse(request.ReasonInputTooLarge, fmt.Sprintf("the input has %d bytes, the limit is %d", n, limits.MaxBodyBytes))
	}
	left := r.Deadline.Sub(now)
	if left <= 0 {
		return request.Refuse(request.ReasonDeadlineOver, "the deadline is over")
	}
	if left > limits.MaxDeadline {
		return request.Refuse(request.ReasonDeadlineTooLong, fmt.Sprintf("the deadline is %s ahead, the limit is %s", left.Round(time.Millisecond), limits.MaxDeadline))
	}
	if p.claimed && r.Key == "" {
		return request.Refuse(request.ReasonKeyRequired, r.Target+" may not be repeated and needs a key")
	}
	return nil
}
