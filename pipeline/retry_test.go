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

// Guards against a reason that is retried although it must not be, or "not run"
// that is said although a byte may have been sent: every reason, sent and not
// sent, for a step that may be repeated and one that may not.
func TestReasons(t *testing.T) {
	inBubble(t, "reasons", func(out *strings.Builder) {
		fmt.Fprintf(out, "%-22s %-28s %-28s %-28s %s\n", "always fails with", "lookup, not sent", "lookup, sent", "recall, not sent", "recall, sent")
		for _, reason := range request.Reasons() {
			fmt.Fprintf(out, "%-22s", reason)
			for _, target := range []string{"lookup", "recall"} {
				for _, sent := range []bool{false, true} {
					r := newRig()
					r.execute = func(context.Context, int, request.Step) (request.Result, error) {
						return request.Result{}, request.Failure{Reason: reason, Sent: sent, Server: map[bool]string{true: "s1"}[sent]}
					}
					a := r.runner.Run(context.Background(), ask(target), nil)
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

// Guards against retries at the server or data centre that failed, without a
// pause, past the budget or the deadline, and against results of other requests
// or attempts that get through.
func TestRetries(t *testing.T) {
	cases := []struct {
		name   string
		target string
		play   func(r *rig, ctx context.Context, call int, s request.Step) (request.Result, error)
	}{
		{"servers that fail in turn", "lookup", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			if call < 2 {
				f := fail(request.ReasonServerFailed, true)
				f.Server, f.DataCentre = fmt.Sprintf("s%d", call), "espoo"
				return request.Result{}, f
			}
			return resultOf(s), nil
		}},
		{"data centres without a server", "lookup", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
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
		{"a stage that uses up its share", "summary", func(_ *rig, _ context.Context, call int, s request.Step) (request.Result, error) {
			if call == 1 {
				time.Sleep(time.Until(s.Deadline))
				return request.Result{}, fail(request.ReasonDeadlinePassed, true)
			}
			return resultOf(s), nil
		}},
		{"a request that uses up its time", "lookup", func(_ *rig, ctx context.Context, _ int, _ request.Step) (request.Result, error) {
			<-ctx.Done()
			return request.Result{}, fail(request.ReasonDeadlinePassed, true)
		}},
		{"never sent until the deadline", "lookup", func(_ *rig, _ context.Context, _ int, _ request.Step) (request.Result, error) {
			time.Sleep(time.Second)
			return request.Result{}, fail(request.ReasonPeerUnreachable, false)
		}},
		{"unknown error", "lookup", func(_ *rig, _ context.Context, _ int, _ request.Step) (request.Result, error) {
			return request.Result{}, errors.New("out of the blue")
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
	inBubble(t, "retries", func(out *strings.Builder) {
		for _, c := range cases {
			r := newRig()
			r.execute = func(ctx context.Context, call int, s request.Step) (request.Result, error) {
				return c.play(r, ctx, call, s)
			}
			start := time.Now()
			a := r.runner.Run(context.Background(), ask(c.target), nil)
			fmt.Fprintf(out, "%s: %s, after %s\n", c.name, describe(a), time.Since(start))
			for i, s := range r.steps {
				fmt.Fprintf(out, "  %s attempt %d at %s until %s", s.Stage, s.Attempt, r.at[i].Sub(start), s.Deadline.Sub(start))
				if len(s.Avoid)+len(s.AvoidDataCentres) > 0 {
					fmt.Fprintf(out, ", not at %s %s", s.Avoid, s.AvoidDataCentres)
				}
				out.WriteString("\n")
			}
		}
	})
}

// Guards against a budget that lets a fault of all servers multiply the load:
// 300 requests may be retried 10 times, and once more for each 10 of them.
func TestBudget(t *testing.T) {
	inBubble(t, "budget", func(out *strings.Builder) {
		r := newRig()
		r.execute = func(context.Context, int, request.Step) (request.Result, error) {
			return request.Result{}, fail(request.ReasonServerFailed, true)
		}
		for range 300 {
			r.runner.Run(context.Background(), ask("lookup"), nil)
		}
		fmt.Fprintf(out, "300 requests whose servers all fail: %d steps\n", len(r.steps))
	})
}

// Guards against a step that is tried once more although its request was
// cancelled during the pause between two attempts.
func TestCancelDuringPause(t *testing.T) {
	inBubble(t, "cancelDuringPause", func(out *strings.Builder) {
		r := newRig()
		r.execute = func(context.Context, int, request.Step) (request.Result, error) {
			return request.Result{}, fail(request.ReasonPeerUnreachable, false)
		}
		start := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { r.requests.Commands().Cancel("inspectors", "q") })
		a := r.runner.Run(context.Background(), ask("recall"), nil)
		fmt.Fprintf(out, "%s after %s and %d attempts, %d of them late\n", describe(a), time.Since(start), len(r.steps), r.late)
	})
}
