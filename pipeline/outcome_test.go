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

// play is what an executor does with one step.
type play struct {
	reason  request.Reason
	sent    bool
	foreign bool
	took    time.Duration
}

// script is a request and what happens to its steps; steps past the end
// succeed.
type script struct {
	target string
	cancel time.Duration
	plays  []play
}

var scripts = rapid.Custom(func(t *rapid.T) script {
	plays := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) play {
		p := play{
			sent: rapid.Bool().Draw(t, "sent"),
			took: rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 7 * time.Second}).Draw(t, "took"),
		}
		if rapid.Float64().Draw(t, "fails") < 0.7 {
			p.reason = rapid.SampledFrom(request.Reasons()).Draw(t, "reason")
		} else {
			p.foreign = rapid.Float64().Draw(t, "foreign") < 0.3
		}
		return p
	}), 0, 8)
	return script{
		target: rapid.SampledFrom([]string{"summary", "lookup", "recall"}).Draw(t, "target"),
		cancel: rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, 3 * time.Second}).Draw(t, "cancel"),
		plays:  plays.Draw(t, "plays"),
	}
})

// variant breaks the runner on purpose. The zero value changes nothing.
type variant struct {
	failure func(request.Failure) request.Failure
	result  func(request.Step, request.Result) request.Result
	rig     func(*rig)
}

// untruth plays a script in a bubble and returns what is untrue of the answer,
// or "".
func untruth(t *testing.T, s script, v variant) (fault string) {
	synctest.Test(t, func(*testing.T) {
		r := newRig()
		sent := 0
		r.execute = func(ctx context.Context, call int, step request.Step) (request.Result, error) {
			p := play{sent: true}
			if call < len(s.plays) {
				p = s.plays[call]
			}
			return perform(ctx, step, p, &sent, v)
		}
		if v.rig != nil {
			v.rig(r)
		}
		if s.cancel > 0 {
			time.AfterFunc(s.cancel, func() { r.requests.Commands().Cancel("inspectors", "q") })
		}
		start := time.Now()
		a := r.runner.Run(context.Background(), ask(s.target), nil)
		fault = r.check(s, a, sent, time.Since(start))
		time.Sleep(time.Hour)
	})
	return fault
}

// perform plays a step and counts what was sent. Every success was sent.
func perform(ctx context.Context, step request.Step, p play, sent *int, v variant) (request.Result, error) {
	ended := false
	select {
	case <-time.After(p.took):
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

var whole = map[string]string{
	"summary": "generate(rerank(encode(text)))", "lookup": "lookup(text)", "recall": "recall(text)",
}

func (r *rig) check(s script, a request.Answer, sent int, took time.Duration) string {
	switch {
	case a.Outcome == request.NotRun && sent > 0:
		return fmt.Sprintf("not run, but sent %d times", sent)
	case s.target == "recall" && sent > 1:
		return fmt.Sprintf("executed %d times", sent)
	case a.Outcome == request.Ran && string(a.Output) != whole[s.target]:
		return "a foreign answer: " + string(a.Output)
	case a.Outcome != request.Ran && a.Failure.Reason == "":
		return "no reason"
	case a.Outcome < request.NotRun || a.Outcome > request.MayHaveRun:
		return "a fourth outcome"
	case took > 6*time.Second:
		return fmt.Sprintf("answered after %s", took)
	case r.late > 0:
		return "tried after the request had ended"
	case r.requests.Queries().InFlight() != 0:
		return "in flight after the answer"
	case s.target == "recall" && (len(r.finished) != 1 || r.finished[0] != a.Outcome):
		return fmt.Sprintf("the claim was finished with %v", r.finished)
	}
	return ""
}

// Guards against "not run" after something was sent, a second execution of what
// may not be repeated, an answer of another request, work or an answer
// after the end of the request, and a claim that is finished twice, never or untruly.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scripts.Draw(rt, "script")
		if fault := untruth(t, s, variant{}); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Guards against a check of the outcomes that can't fail.
func TestOutcomesVariants(t *testing.T) {
	variants := []struct {
		name    string
		shows   string
		variant variant
	}{
		{"failures forget that something was sent", "not run, but sent", variant{failure: func(f request.Failure) request.Failure {
			f.Sent = false
			return f
		}}},
		{"a recall counts as repeatable", "executed", variant{rig: func(r *rig) {
			for i, e := range r.entries {
				if e.Name == "recall" {
					r.entries[i].Repeatable = true
				}
			}
		}}},
		{"results are not compared with their step", "a foreign answer", variant{result: func(s request.Step, r request.Result) request.Result {
			r.Identity = s.Identity()
			return r
		}}},
		{"the deadline is not kept", "answered after", variant{rig: func(r *rig) {
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
				if strings.HasPrefix(untruth(t, scripts.Example(seed), v.variant), v.shows) {
					return
				}
			}
			t.Fatalf("%q not seen in %d scripts", v.shows, seeds)
		})
	}
}
