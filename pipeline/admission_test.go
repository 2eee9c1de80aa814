package pipeline_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/request"
)

// Guards against a request that is admitted contrary to the catalogue, refused
// with the wrong reason, refused after something was sent, or served in a higher
// class than the catalogue allows.
func TestAdmission(t *testing.T) {
	cases := []struct {
		name   string
		target string
		modify func(r *rig, q *request.Request)
	}{
		{"class of the workspace and pipeline", "summary", func(*rig, *request.Request) {}},
		{"higher class requested", "summary", func(_ *rig, q *request.Request) { q.Class = "urgent" }},
		{"lower class requested", "summary", func(_ *rig, q *request.Request) { q.Class = "batch" }},
		{"class of the service", "lookup", func(*rig, *request.Request) {}},
		{"with a key", "recall", func(*rig, *request.Request) {}},
		{"unknown workspace", "summary", func(_ *rig, q *request.Request) { q.Workspace = "nobody" }},
		{"unknown target", "sumary", func(*rig, *request.Request) {}},
		{"unknown class", "summary", func(_ *rig, q *request.Request) { q.Class = "royal" }},
		{"class of the pipeline unknown", "broken", func(*rig, *request.Request) {}},
		{"largest input", "summary", func(_ *rig, q *request.Request) { q.Input = make([]byte, 20) }},
		{"input too large", "summary", func(_ *rig, q *request.Request) { q.Input = make([]byte, 21) }},
		{"deadline has passed", "summary", func(_ *rig, q *request.Request) { q.Deadline = time.Now() }},
		{"largest deadline", "summary", func(_ *rig, q *request.Request) { q.Deadline = time.Now().Add(8 * time.Second) }},
		{"deadline too long", "summary", func(_ *rig, q *request.Request) { q.Deadline = time.Now().Add(8*time.Second + 1) }},
		{"no key", "recall", func(_ *rig, q *request.Request) { q.Key = "" }},
		{"no catalogue", "summary", func(r *rig, _ *request.Request) {
			r.runner.Catalogue = func() (catalogue.Catalogue, bool) { return catalogue.Catalogue{}, false }
		}},
		{"leaving", "summary", func(r *rig, _ *request.Request) { r.runner.IsLeaving = func() bool { return true } }},
		{"duplicate in flight", "summary", func(r *rig, q *request.Request) { r.addInFlight("inspectors", q.ID, "summary") }},
		{"same ID in another workspace", "summary", func(r *rig, q *request.Request) { r.addInFlight("museum", q.ID, "summary") }},
		{"workspace limit reached", "summary", func(r *rig, q *request.Request) {
			q.Workspace = "museum"
			r.addInFlight("museum", "other", "summary")
		}},
		{"target limit reached", "lookup", func(r *rig, _ *request.Request) { r.addInFlight("museum", "other", "lookup") }},
		{"instance limit reached", "summary", func(r *rig, _ *request.Request) {
			r.addInFlight("x", "1", "y")
			r.addInFlight("x", "2", "y")
			r.addInFlight("x", "3", "y")
		}},
		{"claim refused", "recall", func(r *rig, _ *request.Request) {
			r.runner.Claim = func(context.Context, request.Request) (pipeline.ClaimResult, error) {
				return pipeline.ClaimResult{}, request.Refuse(request.ReasonClaimLogUnavailable, "the log is unavailable")
			}
		}},
		{"claim with an unknown error", "recall", func(r *rig, _ *request.Request) {
			r.runner.Claim = func(context.Context, request.Request) (pipeline.ClaimResult, error) {
				return pipeline.ClaimResult{}, context.DeadlineExceeded
			}
		}},
		{"ran before", "recall", func(r *rig, _ *request.Request) {
			r.runner.Claim = func(context.Context, request.Request) (pipeline.ClaimResult, error) {
				return pipeline.ClaimResult{StoredAnswer: &request.Answer{Outcome: request.Ran, Output: []byte("the first answer")}}, nil
			}
		}},
	}
	assertGoldenInBubble(t, "admission", func(out *strings.Builder) {
		for _, c := range cases {
			r := newRig()
			q := newRequest(c.target)
			c.modify(r, &q)
			before := r.requests.Queries().InFlight()
			a := r.runner.Run(context.Background(), q, nil)
			fmt.Fprintf(out, "%s:\n  %s\n  class %q, weight %d, revision %d, %d steps", c.name, describe(a), a.Request.Class, a.Request.Weight, a.Request.Revision, len(r.steps))
			for _, d := range r.decisions {
				fmt.Fprintf(out, ", %s", d.Kind)
			}
			fmt.Fprintf(out, ", claims finished %v, in flight %+d\n", r.claimOutcomes, r.requests.Queries().InFlight()-before)
		}
	})
}

func (r *rig) addInFlight(workspace, id, target string) {
	q := request.Request{ID: id, Workspace: workspace, Target: target}
	if _, err := r.requests.Commands().Add(context.Background(), q, request.InFlightLimits{}); err != nil {
		panic(err)
	}
}

// A stage may use its share of the time that earlier stages left, but not the time
// of later stages. Guards against a stage deadline that breaks either rule.
func TestDeadlines(t *testing.T) {
	assertGoldenInBubble(t, "deadlines", func(out *strings.Builder) {
		for _, duration := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond} {
			r := newRig()
			r.execute = func(_ context.Context, _ int, s request.Step) (request.Result, error) {
				time.Sleep(duration)
				return resultOf(s), nil
			}
			start := time.Now()
			a := r.runner.Run(context.Background(), newRequest("summary"), nil)
			fmt.Fprintf(out, "6 s, stages with the shares 1, 2 and 1 take %s: %s\n", duration, describe(a))
			for i, s := range r.steps {
				fmt.Fprintf(out, "  %s at %s until %s\n", s.Stage, r.stepTimes[i].Sub(start), s.Deadline.Sub(start))
			}
		}
	})
}

// Guards against a cancelled request that keeps running, and a cancellation that
// reaches a request of another workspace.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.execute = func(ctx context.Context, _ int, s request.Step) (request.Result, error) {
			if r.requests.Commands().Cancel("museum", "q") {
				t.Error("Cancel found a request in the wrong workspace")
			}
			if !r.requests.Commands().Cancel("inspectors", "q") {
				t.Error("the request is not in flight")
			}
			<-ctx.Done()
			f := request.Failure{Reason: request.ReasonCancelled, Sent: true}
			return resultOf(s), f
		}
		a := r.runner.Run(context.Background(), newRequest("summary"), nil)
		if len(r.steps) != 1 || a.Outcome != request.MayHaveRun || a.Failure.Reason != request.ReasonCancelled {
			t.Errorf("%d steps, %s", len(r.steps), describe(a))
		}
	})
}
