package pipeline_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"lycheecrank.example/pipeline"
	"lycheecrank.example/request"
)

// Guards against a retry for a reason that does not allow one, and against the
// outcome NotRun after a byte may have been sent. It covers every reason, sent
// and not sent, for a repeatable step and one that is not repeatable.
func TestReasons(t *testing.T) {
	assertGoldenInBubble(t, "reasons", func(out *strings.Builder) {
		fmt.Fprintf(out, "%-22s %-28s %-28s %-28s %s\n", "always fails with", "lookup, not sent", "lookup, sent", "recall, not sent", "recall, sent")
		for _, reason := range request.Reasons() {
			fmt.Fprintf(out, "%-22s", reason)
			for _, target := range []string{"lookup", "recall"} {
				for _, sent := range []bool{false, true} {
					r := newRig()
					r.execute = func(context.Context, int, request.Step) (request.Result, error) {
						return request.Result{}, request.Failure{Reason: reason, Sent: sent, Server: map[bool]string{true: "s1"}[sent]}
					}
					a := r.runner.Run(context.Background(), newRequest(target), nil)
					cell := fmt.Sprintf("%s after %d", a.Outcome, len(r.steps))
					if a.Failure.Reason != reason {
						cell += " " + string(a.Failure.Reason)
					}
					fmt.Fprintf(out, " %-28s", cell)
				}
			}
			out.WriteString("\n")
		}
	})
}

func fail(r request.Reason, sent bool) request.Failure {
	return request.Failure{Reason: r, Sent: sent}
}

// Guards against retries at the server or data centre that failed, retries
// without a pause, beyond the budget or after the deadline, and against accepting
// the result of another request or attempt.
func TestRetries(t *testing.T) {
	cases := []struct {
		name    string
		target  string
		execute func(r *rig, ctx context.Context, call int, s request.Step) (request.Result, error)
	}{
		{"servers fail one after another", "lookup", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			if call < 2 {
				f := fail(request.ReasonServerFailed, true)
				f.Server, f.DataCentre = fmt.Sprintf("s%d", call), "espoo"
				return request.Result{}, f
			}
			return resultOf(s), nil
		}},
		{"data centres have no server", "lookup", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			if call < 3 {
				return request.Result{}, fail(request.ReasonNoServer, false).WithDataCentre(fmt.Sprintf("dc%d", call))
			}
			return resultOf(s), nil
		}},
		{"peer unreachable", "lookup", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			if call < 4 {
				return request.Result{}, fail(request.ReasonPeerUnreachable, false).WithDataCentre("espoo")
			}
			return resultOf(s), nil
		}},
		{"unsent, then sent", "recall", func(_ *rig, _ context.Context, call int, _ request.Step) (request.Result, error) {
			return request.Result{}, fail(request.ReasonServerUnreachable, call > 0)
		}},
		{"sent, then not sent", "lookup", func(_ *rig, _ context.Context, call int, _ request.Step) (request.Result, error) {
			return request.Result{}, fail(request.ReasonServerUnreachable, call == 0)
		}},
		{"no budget", "lookup", func(r *rig, _ context.Context, _ int, _ request.Step) (request.Result, error) {
			r.runner.Budget = pipeline.NewBudget(0, 0)
			return request.Result{}, fail(request.ReasonServerFailed, true)
		}},
		{"no budget, nothing sent", "lookup", func(r *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			r.runner.Budget = pipeline.NewBudget(0, 0)
			if call == 0 {
				return request.Result{}, fail(request.ReasonServerUnreachable, false)
			}
			return resultOf(s), nil
		}},
		{"stage exceeds its share of the deadline", "summary", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			if call == 1 {
				time.Sleep(time.Until(s.Deadline))
				return request.Result{}, fail(request.ReasonDeadlinePassed, true)
			}
			return resultOf(s), nil
		}},
		{"request exceeds its deadline", "lookup", func(_ *rig, ctx context.Context, _ int, _ request.Step) (request.Result, error) {
			<-ctx.Done()
			return request.Result{}, fail(request.ReasonDeadlinePassed, true)
		}},
		{"not sent before the deadline", "lookup", func(_ *rig, _ context.Context, _ int, _ request.Step) (request.Result, error) {
			time.Sleep(time.Second)
			return request.Result{}, fail(request.ReasonPeerUnreachable, false)
		}},
		{"unknown error", "lookup", func(_ *rig, _ context.Context, _ int, _ request.Step) (request.Result, error) {
			return request.Result{}, errors.New("unexpected error")
		}},
		{"later stage refused after the first ran", "summary", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			if call > 0 {
				return request.Result{}, fail(request.ReasonMalformed, false)
			}
			return resultOf(s), nil
		}},
		{"result of another request", "lookup", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			result := resultOf(s)
			if call == 0 {
				result.Identity.RequestID = "another"
			}
			return result, nil
		}},
		{"result of another attempt", "recall", func(_ *rig, _ context.Context, _ int, s request.Step) (request.Result, error) {
			result := resultOf(s)
			result.Identity.Attempt++
			return result, nil
		}},
		{"result of another stage", "lookup", func(_ *rig, _ context.Context, _ int, s request.Step) (request.Result, error) {
			result := resultOf(s)
			result.Identity.Stage = "other"
			return result, nil
		}},
	}
	assertGoldenInBubble(t, "retries", func(out *strings.Builder) {
		for _, c := range cases {
			r := newRig()
			r.execute = func(ctx context.Context, call int, s request.Step) (request.Result, error) {
				return c.execute(r, ctx, call, s)
			}
			start := time.Now()
			a := r.runner.Run(context.Background(), newRequest(c.target), nil)
			fmt.Fprintf(out, "%s: %s, after %s\n", c.name, describe(a), time.Since(start))
			for i, s := range r.steps {
				fmt.Fprintf(out, "  %s attempt %d at %s until %s", s.Stage, s.Attempt, r.stepTimes[i].Sub(start), s.Deadline.Sub(start))
				if len(s.AvoidServers)+len(s.AvoidDataCentres) > 0 {
					fmt.Fprintf(out, ", not at %s %s", s.AvoidServers, s.AvoidDataCentres)
				}
				out.WriteString("\n")
			}
		}
	})
}

// Guards against retries that multiply the load when all servers fail: the budget
// allows a burst of 10 retries and one more for every 10 requests.
func TestBudget(t *testing.T) {
	assertGoldenInBubble(t, "budget", func(out *strings.Builder) {
		r := newRig()
		r.execute = func(context.Context, int, request.Step) (request.Result, error) {
			return request.Result{}, fail(request.ReasonServerFailed, true)
		}
		for range 300 {
			r.runner.Run(context.Background(), newRequest("lookup"), nil)
		}
		fmt.Fprintf(out, "300 requests, all servers fail: %d steps\n", len(r.steps))
	})
}

// Guards against another attempt at a step after its request was cancelled during
// the pause between two attempts.
func TestCancelDuringPause(t *testing.T) {
	assertGoldenInBubble(t, "cancelDuringPause", func(out *strings.Builder) {
		r := newRig()
		r.execute = func(context.Context, int, request.Step) (request.Result, error) {
			return request.Result{}, fail(request.ReasonPeerUnreachable, false)
		}
		start := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { r.requests.Commands().Cancel("inspectors", "q") })
		a := r.runner.Run(context.Background(), newRequest("recall"), nil)
		fmt.Fprintf(out, "%s after %s and %d attempts, %d of them after the request ended\n", describe(a), time.Since(start), len(r.steps), r.lateSteps)
	})
}
