package stage_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"lycheecrank.example/request"
	"lycheecrank.example/stage"
	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/work"
)

// responseFaults are the faults that change a response or its delivery. They are
// tested alone and in pairs.
var responseFaults = []struct {
	name  string
	fault fault.Fault
}{
	{"late", fault.Fault{Delay: 10 * time.Millisecond}},
	{"failing", fault.Fault{Fail: true}},
	{"lost", fault.Fault{LoseAnswer: true}},
	{"reordered", fault.Fault{Reorder: true}},
	{"repeated", fault.Fault{Repeat: true}},
	{"cut short", fault.Fault{CutShort: true}},
	{"foreign", fault.Fault{Foreign: true}},
}

func combine(a, b fault.Fault) fault.Fault {
	return fault.Fault{
		Delay: max(a.Delay, b.Delay), Fail: a.Fail || b.Fail, LoseAnswer: a.LoseAnswer || b.LoseAnswer, Reorder: a.Reorder || b.Reorder,
		Repeat: a.Repeat || b.Repeat, CutShort: a.CutShort || b.CutShort, Foreign: a.Foreign || b.Foreign,
	}
}

type faultCase struct {
	name  string
	fault fault.Fault
	// onArrival is called once the call has arrived at the server.
	onArrival func(r *rig, cancel context.CancelFunc)
	prepare   func(r *rig)
}

func faultCases() []faultCase {
	cancel := func(_ *rig, cancel context.CancelFunc) { cancel() }
	cases := []faultCase{
		{name: "none"},
		{name: "delayed load reports", fault: fault.Fault{Lag: time.Second}},
		{name: "reports leaving", fault: fault.Fault{Leaving: true}},
		{name: "cold, no concurrent call", fault: fault.Fault{Cold: true}},
		{name: "down", fault: fault.Fault{Down: true}},
		{name: "stopping", prepare: func(r *rig) { r.standin.Stop() }},
		{name: "closed", prepare: func(r *rig) { r.server.Close() }},
		{name: "frozen, cancelled", fault: fault.Fault{Freeze: true}, onArrival: cancel},
		{name: "frozen for a while", fault: fault.Fault{Freeze: true}, onArrival: func(r *rig, _ context.CancelFunc) { r.standin.SetFault(fault.Fault{}) }},
		{name: "late, cancelled", fault: fault.Fault{Delay: testTimeout}, onArrival: cancel},
	}
	for i, a := range responseFaults {
		cases = append(cases, faultCase{name: a.name, fault: a.fault})
		for _, b := range responseFaults[i+1:] {
			cases = append(cases, faultCase{name: a.name + " and " + b.name, fault: combine(a.fault, b.fault)})
		}
	}
	return cases
}

func (c faultCase) run(r *rig) callResult {
	r.standin.SetFault(c.fault)
	if c.prepare != nil {
		c.prepare(r)
	}
	if c.onArrival == nil {
		return r.call(nil, nil)
	}
	return r.call(func(cancel context.CancelFunc) { c.onArrival(r, cancel) }, nil)
}

// expectedOutput returns the output of the step without faults.
func expectedOutput(t *testing.T, kind request.Kind) []byte {
	t.Helper()
	s := newRig(t, kind, work.Limits{}).call(nil, nil)
	if s.execution.Failure != nil {
		t.Fatal(s.execution.Failure)
	}
	return s.execution.Result.Output
}

// Guards against a result of another request, an incomplete result, pieces out of
// order, missing or duplicated, and a wrong Sent flag, for each fault of a server
// and for pairs of faults.
func TestFaults(t *testing.T) {
	for _, kind := range request.Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			want := expectedOutput(t, kind)
			var out strings.Builder
			for _, c := range faultCases() {
				r := newRig(t, kind, work.Limits{})
				s := c.run(r)
				fmt.Fprintf(&out, "%s: %s\n", c.name, s)
				if f := s.violation(r.step(), want, c.fault.Foreign); f != "" {
					t.Errorf("%s: %s", c.name, f)
				}
			}
			assertGolden(t, "faults_"+string(kind), out.String())
		})
	}
}

// Checks that TestFaults detects each variant, which injects one fault. Guards
// against a check that never reports anything.
func TestFaultsVariants(t *testing.T) {
	variants := []struct {
		name   string
		kind   request.Kind
		fault  fault.Fault
		change func(r *rig)
		want   string
	}{
		{"identities are not checked", request.Encode, fault.Fault{Foreign: true}, func(r *rig) {
			build := r.client.Encoder
			r.client.Encoder = func(address string) stage.UnaryClient {
				c := build(address)
				execute := c.Execute
				c.Execute = func(ctx context.Context, s request.Step) (stage.Output, error) {
					o, err := execute(ctx, s)
					o.Identity = s.Identity()
					return o, err
				}
				return c
			}
		}, "result of another request"},
		{"pieces are not reordered", request.Generate, fault.Fault{Reorder: true}, func(r *rig) {
			r.changeMessages(func(n uint32, m stage.EngineMessage) stage.EngineMessage {
				m.Number = n
				return m
			})
		}, "unexpected pieces"},
		{"connections are not traced", request.Call, fault.Fault{LoseAnswer: true}, func(r *rig) {
			next := r.client.HTTP.Transport
			r.setHTTPClient(&http.Client{Transport: roundTripper(func(req *http.Request) (*http.Response, error) {
				return next.RoundTrip(req.WithContext(context.Background()))
			})})
		}, "Sent is false, bytes written: true"},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			want := expectedOutput(t, v.kind)
			r := newRig(t, v.kind, work.Limits{})
			v.change(r)
			r.standin.SetFault(v.fault)
			if f := r.call(nil, nil).violation(r.step(), want, v.fault.Foreign); !strings.HasPrefix(f, v.want) {
				t.Errorf("got violation %q, want %q", f, v.want)
			}
		})
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// changeMessages applies a function to each message of an engine's stream.
func (r *rig) changeMessages(change func(n uint32, p stage.EngineMessage) stage.EngineMessage) {
	build := r.client.Engine
	r.client.Engine = func(address string) stage.Engine {
		e := build(address)
		execute := e.Execute
		e.Execute = func(ctx context.Context, s request.Step, handle func(stage.EngineMessage) error) error {
			n := uint32(0)
			return execute(ctx, s, func(m stage.EngineMessage) error {
				n++
				return handle(change(n-1, m))
			})
		}
		return e
	}
}
