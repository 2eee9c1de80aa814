package pipeline_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/request"
)

// entries returns a catalogue with a pipeline whose stages have the shares 1, 2
// and 1, a repeatable service and one that is not repeatable.
func entries() []catalogue.Entry {
	return []catalogue.Entry{
		{Kind: catalogue.ClassKind, Name: "urgent", Class: "urgent"},
		{Kind: catalogue.ClassKind, Name: "normal", Class: "normal", Rank: 1},
		{Kind: catalogue.ClassKind, Name: "batch", Class: "batch", Rank: 2},
		{Kind: catalogue.WorkspaceKind, Name: "inspectors", Class: "urgent", Weight: 3},
		{Kind: catalogue.WorkspaceKind, Name: "museum", Class: "normal", Limits: catalogue.Limits{MaxInFlight: 1}},
		{Kind: catalogue.PoolKind, Name: "models", StageKind: request.Generate, Model: "m7"},
		{Kind: catalogue.PipelineKind, Name: "summary", Class: "normal", Limits: catalogue.Limits{MaxBodyBytes: 20, MaxDeadline: 8 * time.Second}, Stages: []catalogue.Stage{
			{Name: "encode", Kind: request.Encode, Pool: "encoders"},
			{Name: "rerank", Kind: request.Rerank, Pool: "rerankers", Share: 2},
			{Name: "generate", Kind: request.Generate, Pool: "models", Share: 1},
		}},
		{Kind: catalogue.PipelineKind, Name: "broken", Class: "unheardOf"},
		{Kind: catalogue.ServiceKind, Name: "lookup", Class: "batch", Pool: "registry", Repeatable: true, Operation: "lookup", Limits: catalogue.Limits{MaxInFlight: 1}},
		{Kind: catalogue.ServiceKind, Name: "recall", Class: "urgent", Pool: "registry", Operation: "fileRecall"},
	}
}

func catalogueOf(all []catalogue.Entry) catalogue.Catalogue {
	byID := map[catalogue.ID]catalogue.Entry{}
	for _, e := range all {
		byID[e.ID()] = e
	}
	return catalogue.Catalogue{}.WithEntries(17, byID)
}

// rig is a Runner whose executor is a function of the test.
type rig struct {
	runner   *pipeline.Runner
	requests *request.Table
	entries  []catalogue.Entry
	// execute executes a step; call is the number of the call, from 0.
	execute func(ctx context.Context, call int, step request.Step) (request.Result, error)

	mu            sync.Mutex
	steps         []request.Step
	stepTimes     []time.Time
	decisions     []pipeline.Decision
	claimOutcomes []request.Outcome
	// lateSteps counts the steps that started after their request had ended.
	lateSteps int
}

func newRig() *rig {
	r := &rig{requests: request.NewTable(), entries: entries()}
	r.execute = func(_ context.Context, _ int, s request.Step) (request.Result, error) { return resultOf(s), nil }
	r.runner = &pipeline.Runner{
		Catalogue: func() (catalogue.Catalogue, bool) { return catalogueOf(r.entries), true },
		Execute: func(ctx context.Context, step request.Step, _ request.Sink) (request.Result, error) {
			if ctx.Err() != nil {
				r.lateSteps++
			}
			return r.execute(ctx, r.record(step), step)
		},
		Claim: func(context.Context, request.Request) (pipeline.ClaimResult, error) {
			return pipeline.ClaimResult{Finish: func(o request.Outcome, _ []byte) { r.claimOutcomes = append(r.claimOutcomes, o) }}, nil
		},
		OnDecision: func(d pipeline.Decision) { r.decisions = append(r.decisions, d) },
		IsLeaving:  func() bool { return false },
		Requests:   r.requests.Commands(), MaxInFlight: 3,
		Budget:   pipeline.NewBudget(0.1, 10),
		Refusals: counter.NewSet("test.refusals"), Retries: counter.NewSet("test.retries"),
		Logger: event.Discard(),
	}
	return r
}

func (r *rig) record(step request.Step) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, step)
	r.stepTimes = append(r.stepTimes, time.Now())
	return len(r.steps) - 1
}

// resultOf returns the correct result of a step.
func resultOf(s request.Step) request.Result {
	return request.Result{Identity: s.Identity(), Output: []byte(fmt.Sprintf("%s(%s)", s.Stage, s.Input)), Server: "s1"}
}

// newRequest returns a request that is admitted, with a deadline in 6 s.
func newRequest(target string) request.Request {
	now := time.Now()
	r := request.Request{
		ID: "q", Workspace: "inspectors", Target: target, Arrival: now, Deadline: now.Add(6 * time.Second), Input: []byte("text"),
	}
	if target == "recall" {
		r.Key = "0197"
	}
	return r
}

func describe(a request.Answer) string {
	s := a.Outcome.String()
	if a.Outcome == request.Ran {
		return s + " " + string(a.Output)
	}
	return s + ", " + a.Failure.Error()
}

// assertGoldenInBubble runs a function in a synctest bubble and compares its
// output with a golden file.
func assertGoldenInBubble(t *testing.T, name string, run func(out *strings.Builder)) {
	t.Helper()
	var out strings.Builder
	synctest.Test(t, func(*testing.T) { run(&out) })
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(out.String()))
}
