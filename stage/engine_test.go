package stage_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/work"
)

func (r *rig) backend() backend.Server {
	return backend.Server{Spec: backend.Spec{Name: "b", Address: r.server.Listener.Addr().String()}}
}

// countEngineCalls counts the calls of Resume and Cancel. After a failure it waits
// for the Cancel call, which runs in the background.
func (r *rig) countEngineCalls(s callResult) string {
	resumes, cancels := 0, 0
	for {
		if s.execution.Failure == nil || cancels > 0 {
			if len(r.arrivals) == 0 {
				return fmt.Sprintf("calls of Resume %d, Cancel %d", resumes, cancels)
			}
		}
		switch path := await(r.t, r.arrivals, "the engine received no Cancel call"); {
		case strings.HasSuffix(path, "/Resume"):
			resumes++
		case strings.HasSuffix(path, "/Cancel"):
			cancels++
		}
	}
}

// Guards against a stream that is not resumed where it broke, a lost or duplicate
// piece, unlimited resumes, and a failed attempt that is not cancelled at the
// engine.
func TestResume(t *testing.T) {
	cases := []struct {
		name string
		// breaks[i] is the number of messages that stream i delivers before it breaks.
		breaks  []int
		onBreak func(r *rig)
	}{
		{name: "before the first piece", breaks: []int{0}},
		{name: "after a piece", breaks: []int{1}},
		{name: "before the end mark", breaks: []int{4}},
		{name: "twice", breaks: []int{1, 1}},
		{name: "immediately after resuming", breaks: []int{1, 0}},
		{name: "three times", breaks: []int{1, 1, 1}},
		{name: "engine restarts", breaks: []int{2}, onBreak: func(r *rig) { r.replace(newStandin(r.t, request.Generate, work.Limits{})) }},
		{name: "engine goes down", breaks: []int{2}, onBreak: func(r *rig) { r.current().SetFault(fault.Fault{Down: true}) }},
		{name: "another stream is resumed", breaks: []int{2}, onBreak: func(r *rig) { r.current().SetFault(fault.Fault{Foreign: true}) }},
		{name: "resumed in reverse order", breaks: []int{1}, onBreak: func(r *rig) { r.current().SetFault(fault.Fault{Reorder: true}) }},
		{name: "resumed with duplicate pieces", breaks: []int{1}, onBreak: func(r *rig) { r.current().SetFault(fault.Fault{Repeat: true}) }},
		{name: "resumed and cut short", breaks: []int{1}, onBreak: func(r *rig) { r.current().SetFault(fault.Fault{CutShort: true}) }},
		{name: "response to resuming is lost", breaks: []int{1}, onBreak: func(r *rig) { r.current().SetFault(fault.Fault{LoseAnswer: true, Remaining: 1}) }},
	}
	want := expectedOutput(t, request.Generate)
	var out strings.Builder
	for _, c := range cases {
		r := newRig(t, request.Generate, work.Limits{})
		r.onBreak = c.onBreak
		for _, n := range c.breaks {
			r.breakAfter <- n
		}
		s := r.call(nil, nil)
		fmt.Fprintf(&out, "%s: %s; %s\n", c.name, s, r.countEngineCalls(s))
		if f := s.violation(r.step(), want, false); f != "" {
			t.Errorf("%s: %s", c.name, f)
		}
	}
	assertGolden(t, "resume", out.String())
}

// Guards against a caller that disconnects in mid-stream and is treated as a
// failure of the engine, which would resume the stream without a receiver and
// treat the engine as one in cold start, with a lower limit.
func TestFailingSink(t *testing.T) {
	r := newRig(t, request.Generate, work.Limits{})
	s := r.call(nil, func(p request.Piece) error {
		if p.Number == 1 {
			return errors.New("the caller disconnected")
		}
		return nil
	})
	assertGolden(t, "failingSink", fmt.Sprintf("%s; %s\n", s, r.countEngineCalls(s)))
}

// Guards against a cancelled call that waits for a frozen engine, and against a
// refusal because of cold start or overload that is reported as a server failure.
func TestEngineReasons(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name   string
		limits work.Limits
		// duringStream is called while the first call streams its answer.
		duringStream func(r *rig) callResult
	}{
		{"overloaded", work.Limits{MaxInFlight: 1}, func(r *rig) callResult { return r.call(nil, nil) }},
		{"cold, limit exceeded", work.Limits{ColdForRequests: 1}, func(r *rig) callResult { return r.call(nil, nil) }},
		{"frozen in mid-stream, cancelled", work.Limits{}, func(r *rig) callResult {
			r.standin.SetFault(fault.Fault{Freeze: true})
			return callResult{}
		}},
	} {
		r := newRig(t, request.Generate, c.limits)
		// The first piece comes after 100 ms, the last one after more than 3 s.
		r.standin = standin.NewEngine(standin.EngineOptions{
			BackendOptions:  standin.BackendOptions{Name: "b-" + t.Name(), Limits: c.limits},
			TokensPerSecond: 10, PieceTokens: 1,
		})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		var second callResult
		first := r.client.Execute(ctx, r.step(), r.backend(), func(request.Piece) error {
			second = c.duringStream(r)
			cancel()
			return nil
		})
		cancel()
		fmt.Fprintf(&out, "%s: %s, sent %t", c.name, first.Failure.Reason, first.Failure.Sent)
		if second.execution.Failure != nil {
			fmt.Fprintf(&out, "; concurrent call: %s", second)
		}
		out.WriteString("\n")
	}
	assertGolden(t, "engineReasons", out.String())
}

// Guards against an expired deadline that is reported as a cancellation.
func TestDeadline(t *testing.T) {
	for _, kind := range request.Kinds() {
		r := newRig(t, kind, work.Limits{})
		r.standin.SetFault(fault.Fault{Freeze: true})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		e := r.client.Execute(ctx, r.step(), r.backend(), nil)
		cancel()
		if f := e.Failure; f == nil || f.Reason != request.ReasonDeadlinePassed || !f.Sent {
			t.Errorf("%s: %+v", kind, f)
		}
	}
}

// Guards against an HTTP client that retries a call on its own when a keep-alive
// connection breaks: a call that is not repeatable would run twice.
func TestNoRepeatOnKeptConnection(t *testing.T) {
	r := newRig(t, request.Call, work.Limits{})
	first := r.call(nil, nil)
	r.standin.SetFault(fault.Fault{LoseAnswer: true, Remaining: 1})
	second := r.call(nil, nil)
	counts := r.standin.Counts()
	assertGolden(t, "keepAlive", fmt.Sprintf("first: %s\nsecond, response lost: %s\nexecuted %d times\n", first, second, counts["executed"]))
}

// Guards against load reports that are decoded incorrectly.
func TestLoad(t *testing.T) {
	for _, kind := range request.Kinds() {
		r := newRig(t, kind, work.Limits{ColdForRequests: 1})
		before := time.Now().Truncate(time.Millisecond)
		report, err := r.client.Load(context.Background(), kind, r.server.Listener.Addr().String())
		if err != nil || !report.Cold || report.Leaving || report.Incarnation == "" || report.MeasuredAt.Before(before) {
			t.Errorf("%s: %+v, %v", kind, report, err)
		}
		r.standin.Stop()
		report, err = r.client.Load(context.Background(), kind, r.server.Listener.Addr().String())
		if err != nil || !report.Leaving {
			t.Errorf("%s, stopping: %+v, %v", kind, report, err)
		}
		r.standin.SetFault(fault.Fault{Down: true})
		if _, err = r.client.Load(context.Background(), kind, r.server.Listener.Addr().String()); err == nil {
			t.Errorf("%s, down: no error", kind)
		}
	}
}
