package pipeline_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lycheecrank.example/request"
)

// stepBehaviour is the behaviour of the executor for one step.
type stepBehaviour struct {
	reason request.Reason
	sent   bool
	// foreign is set if the result has the identity of another request.
	foreign  bool
	duration time.Duration
}

// script is a request and the behaviour of its steps. Steps beyond the end of the
// list succeed.
type script struct {
	target      string
	cancelAfter time.Duration
	steps       []stepBehaviour
}

var scripts = rapid.Custom(func(t *rapid.T) script {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) stepBehaviour {
		p := stepBehaviour{
			sent:     rapid.Bool().Draw(t, "sent"),
			duration: rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 7 * time.Second}).Draw(t, "duration"),
		}
		if rapid.Float64().Draw(t, "fails") < 0.7 {
			p.reason = rapid.SampledFrom(request.Reasons()).Draw(t, "reason")
		} else {
			p.foreign = rapid.Float64().Draw(t, "foreign") < 0.3
		}
		return p
	}), 0, 8)
	return script{
		target:      rapid.SampledFrom([]string{"summary", "lookup", "recall"}).Draw(t, "target"),
		cancelAfter: rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, 3 * time.Second}).Draw(t, "cancel"),
		steps:       steps.Draw(t, "steps"),
	}
})

// variant injects a fault that the checks must detect. The zero value changes
// nothing.
type variant struct {
	failure func(request.Failure) request.Failure
	result  func(request.Step, request.Result) request.Result
	rig     func(*rig)
}

// runScript runs a script in a synctest bubble and returns the violation that the
// answer shows, or "".
func runScript(t *testing.T, s script, v variant) (violation string) {
	synctest.Test(t, func(*testing.T) {
		r := newRig()
		sent := 0
		r.execute = func(ctx context.Context, call int, step request.Step) (request.Result, error) {
			p := stepBehaviour{sent: true}
			if call < len(s.steps) {
				p = s.steps[call]
			}
			return simulateStep(ctx, step, p, &sent, v)
		}
		if v.rig != nil {
			v.rig(r)
		}
		if s.cancelAfter > 0 {
			time.AfterFunc(s.cancelAfter, func() { r.requests.Commands().Cancel("inspectors", "q") })
		}
		start := time.Now()
		a := r.runner.Run(context.Background(), newRequest(s.target), nil)
		violation = r.violation(s, a, sent, time.Since(start))
		// Lets the remaining timers of the bubble expire.
		time.Sleep(time.Hour)
	})
	return violation
}

// simulateStep executes a step and counts it as sent if a byte reached a server,
// which is the case for every success.
func simulateStep(ctx context.Context, step request.Step, p stepBehaviour, sent *int, v variant) (request.Result, error) {
	ended := false
	select {
	case <-time.After(p.duration):
	case <-ctx.Done():
		ended = true
	}
	if p.sent || (p.reason == "" && !ended) {
		*sent++
	}
	if p.reason != "" || ended {
		f := request.Failure{Reason: p.reason, Sent: p.sent}
		if ended {
			f.Reason = request.ReasonCancelled
		}
		if v.failure != nil {
			f = v.failure(f)
		}
		return request.Result{}, f
	}
	result := resultOf(step)
	if p.foreign {
		result.Identity.RequestID, result.Output = "foreign", []byte("foreign")
	}
	if v.result != nil {
		result = v.result(step, result)
	}
	return result, nil
}

var expectedOutputs = map[string]string{
	"summary": "generate(rerank(encode(text)))", "lookup": "lookup(text)", "recall": "recall(text)",
}

// violation returns the first rule that an answer breaks, or "".
func (r *rig) violation(s script, a request.Answer, sent int, elapsed time.Duration) string {
	switch {
	case a.Outcome == request.NotRun && sent > 0:
		return fmt.Sprintf("outcome NotRun, but sent %d times", sent)
	case s.target == "recall" && sent > 1:
		return fmt.Sprintf("a request that is not repeatable was sent %d times", sent)
	case a.Outcome == request.Ran && string(a.Output) != expectedOutputs[s.target]:
		return "wrong output: " + string(a.Output)
	case a.Outcome != request.Ran && a.Failure.Reason == "":
		return "failure without a reason"
	case a.Outcome < request.NotRun || a.Outcome > request.MayHaveRun:
		return "undefined outcome"
	case elapsed > 6*time.Second:
		return fmt.Sprintf("deadline exceeded: answered after %s", elapsed)
	case r.lateSteps > 0:
		return "a step started after the request had ended"
	case r.requests.Queries().InFlight() != 0:
		return "still in flight after the answer"
	case s.target == "recall" && (len(r.claimOutcomes) != 1 || r.claimOutcomes[0] != a.Outcome):
		return fmt.Sprintf("the claim was finished with %v", r.claimOutcomes)
	}
	return ""
}

// Guards against the outcome NotRun after a byte was sent, a second execution of
// a request that is not repeatable, the output of another request, steps or an
// answer after the end of the request, and a claim that is finished twice, never
// or with a wrong outcome.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scripts.Draw(rt, "script")
		if violation := runScript(t, s, variant{}); violation != "" {
			rt.Fatal(violation)
		}
	})
}

// Checks that TestOutcomes detects each variant, which injects one fault. Guards
// against a check that never reports anything.
func TestOutcomesVariants(t *testing.T) {
	variants := []struct {
		name    string
		want    string
		variant variant
	}{
		{"failures lose the Sent flag", "outcome NotRun, but sent", variant{failure: func(f request.Failure) request.Failure {
			f.Sent = false
			return f
		}}},
		{"recall is marked as repeatable", "a request that is not repeatable was sent", variant{rig: func(r *rig) {
			for i, e := range r.entries {
				if e.Name == "recall" {
					r.entries[i].Repeatable = true
				}
			}
		}}},
		{"the identity of results is not checked", "wrong output", variant{result: func(s request.Step, r request.Result) request.Result {
			r.Identity = s.Identity()
			return r
		}}},
		{"the deadline is ignored", "deadline exceeded", variant{rig: func(r *rig) {
			execute := r.execute
			r.execute = func(_ context.Context, call int, s request.Step) (request.Result, error) {
				return execute(context.Background(), call, s)
			}
		}}},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			const seeds = 300
			for seed := range seeds {
				if strings.HasPrefix(runScript(t, scripts.Example(seed), v.variant), v.want) {
					return
				}
			}
			t.Fatalf("%q not seen in %d scripts", v.want, seeds)
		})
	}
}
