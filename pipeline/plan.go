// Package pipeline admits requests and runs them stage by stage: it checks them
// against the catalogue, divides the deadline, and retries idempotent steps
// within a budget. It is independent of wire formats.
package pipeline

import (
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/request"
)

// planStage is a stage of a plan, with the properties taken from the catalogue.
type planStage struct {
	name       string
	kind       request.Kind
	pool       string
	model      string
	operation  string
	share      int
	repeatable bool
}

// plan describes how a request is run. It is an immutable value.
type plan struct {
	target catalogue.Entry
	stages []planStage
	// needsClaim is set if the request is not repeatable, so that a claim must be
	// acquired before it runs.
	needsClaim bool
}

// planFor returns the plan for the pipeline or service named target.
func planFor(c catalogue.Catalogue, target string) (plan, error) {
	if e, ok := c.Entry(catalogue.PipelineKind, target); ok {
		return pipelinePlan(c, e), nil
	}
	if e, ok := c.Entry(catalogue.ServiceKind, target); ok {
		return servicePlan(e), nil
	}
	return plan{}, request.Refuse(request.ReasonUnknownTarget, "no pipeline or service is named "+target)
}

func pipelinePlan(c catalogue.Catalogue, e catalogue.Entry) plan {
	p := plan{target: e}
	for _, s := range e.Stages {
		pool, _ := c.Entry(catalogue.PoolKind, s.Pool)
		p.stages = append(p.stages, planStage{
			name: s.Name, kind: s.Kind, pool: s.Pool, model: pool.Model,
			operation: s.Name, share: max(1, s.Share), repeatable: true,
		})
	}
	return p
}

func servicePlan(e catalogue.Entry) plan {
	return plan{
		target:     e,
		needsClaim: !e.Repeatable,
		stages: []planStage{{
			name: e.Name, kind: request.Call, pool: e.Pool,
			operation: e.Operation, share: 1, repeatable: e.Repeatable,
		}},
	}
}

// stageDeadline returns the deadline of stage i. The remaining time is divided
// among stage i and the later stages in proportion to their shares.
func (p plan) stageDeadline(i int, now, end time.Time) time.Time {
	total := 0
	for _, s := range p.stages[i:] {
		total += s.share
	}
	remaining := end.Sub(now)
	return now.Add(remaining * time.Duration(p.stages[i].share) / time.Duration(total))
}

// step returns the step for the first attempt at stage i. The operation of a
// pipeline's stage is the name of the stage.
func (p plan) step(i int, r request.Request, input []byte) request.Step {
	s := p.stages[i]
	return request.Step{
		RequestID: r.ExecutionID, Workspace: r.Workspace, Class: r.Class, Rank: r.Rank, Weight: r.Weight,
		Stage: s.name, Kind: s.kind, Pool: s.pool, Attempt: 1, Input: input,
		Key: r.Key, Operation: s.operation, Model: s.model, Repeatable: s.repeatable, Revision: r.Revision,
	}
}
