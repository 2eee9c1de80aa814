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

// entries has a pipeline with the shares 1, 2 and 1, a service that may be
// repeated and one that may not.
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

// rig is a runner over an executor that the test plays.
type rig struct {
	runner   *pipeline.Runner
	requests *request.Table
	entries  []catalogue.Entry
	// execute plays a step; it gets the number of the call, from 0.
	execute func(ctx context.Context, call int, step request.Step) (request.Result, error)

	mu       sync.Mutex
	steps    []request.Step
	at       []time.Time
	decided  []pipeline.Decision
	finished []request.Outcome
	// late counts the steps that were tried after their request had ended.
	late int
}

func newRig() *rig {
	r := &rig{requests: request.NewTable(), entries: entries()}
	r.execute = func(_ context.Context, _ int, s request.Step) (request.Result, error) { return resultOf(s), nil }
	r.runner = &pipeline.Runner{
		Catalogue: func() (catalogue.Catalogue, bool) { return catalogueOf(r.entries), true },
		Execute: func(ctx context.Context, step request.Step, _ request.Sink) (request.Result, error) {
			if ctx.Err() != nil {
				r.late++
			}
			return r.execute(ctx, r.record(step), step)
		},
		Claim: func(context.Context, request.Request) (pipeline.Claimed, error) {
			return pipeline.Claimed{Finish: func(o request.Outcome, _ []byte) { r.finished = append(r.finished, o) }}, nil
		},
		Decided:   func(d pipeline.Decision) { r.decided = append(r.decided, d) },
		IsLeaving: func() bool { return false },
		Requests:  r.requests.Commands(), MaxInFlight: 3,
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
	r.at = append(r.at, time.Now())
	return len(r.steps) - 1
}

// resultOf is the true result of a step.
func resultOf(s request.Step) request.Result {
	return request.Result{Identity: s.Identity(), Output: []byte(fmt.Sprintf("%s(%s)", s.Stage, s.Input)), Server: "s1"}
}

// ask returns a request that is admitted and has 6 s.
func ask(target string) request.Request {
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

// inBubble runs a function in a synctest bubble and compares what it wrote with
// a golden file.
func inBubble(t *testing.T, name string, play func(out *strings.Builder)) {
	t.Helper()
	var out strings.Builder
	synctest.Test(t, func(*testing.T) { play(&out) })
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(out.String()))
}
