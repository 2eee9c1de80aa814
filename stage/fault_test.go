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

// single are the faults that change an answer or its way.
var single = []struct {
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

func both(a, b fault.Fault) fault.Fault {
	return fault.Fault{
		Delay: max(a.Delay, b.Delay), Fail: a.Fail || b.Fail, LoseAnswer: a.LoseAnswer || b.LoseAnswer, Reorder: a.Reorder || b.Reorder,
		Repeat: a.Repeat || b.Repeat, CutShort: a.CutShort || b.CutShort, Foreign: a.Foreign || b.Foreign,
	}
}

type faultCase struct {
	name  string
	fault fault.Fault
	// arrive is called once the call has arrived at the server.
	arrive func(r *rig, cancel context.CancelFunc)
	before func(r *rig)
}

func faultCases() []faultCase {
	cancel := func(_ *rig, cancel context.CancelFunc) { cancel() }
	cases := []faultCase{
		{name: "none"},
		{name: "lagging reports", fault: fault.Fault{Lag: time.Second}},
		{name: "leaving by its own word", fault: fault.Fault{Leaving: true}},
		{name: "cold, alone", fault: fault.Fault{Cold: true}},
		{name: "down", fault: fault.Fault{Down: true}},
		{name: "stopping", before: func(r *rig) { r.standin.Stop() }},
		{name: "closed", before: func(r *rig) { r.server.Close() }},
		{name: "frozen, cancelled", fault: fault.Fault{Freeze: true}, arrive: cancel},
		{name: "frozen for a while", fault: fault.Fault{Freeze: true}, arrive: func(r *rig, _ context.CancelFunc) { r.standin.SetFault(fault.Fault{}) }},
		{name: "late, cancelled", fault: fault.Fault{Delay: generous}, arrive: cancel},
	}
	for i, a := range single {
		cases = append(cases, faultCase{name: a.name, fault: a.fault})
		for _, b := range single[i+1:] {
			cases = append(cases, faultCase{name: a.name + " and " + b.name, fault: both(a.fault, b.fault)})
		}
	}
	return cases
}

func (c faultCase) play(r *rig) seen {
	r.standin.SetFault(c.fault)
	if c.before != nil {
		c.before(r)
	}
	if c.arrive == nil {
		return r.call(nil, nil)
	}
	return r.call(func(cancel context.CancelFunc) { c.arrive(r, cancel) }, nil)
}

// wholeOutput returns the output of the step without faults.
func wholeOutput(t *testing.T, kind request.Kind) []byte {
	t.Helper()
	s := newRig(t, kind, work.Limits{}).call(nil, nil)
	if s.execution.Failure != nil {
		t.Fatal(s.execution.Failure)
	}
	return s.execution.Result.Output
}

// Guards against a result of another request, a result that is not whole, pieces
// out of order, with gaps or twice, and a wrong word on whether a byte may have
// left, under each fault of a server and under two faults at once.
func TestFaults(t *testing.T) {
	for _, kind := range request.Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			whole := wholeOutput(t, kind)
			var out strings.Builder
			for _, c := range faultCases() {
				r := newRig(t, kind, work.Limits{})
				s := c.play(r)
				fmt.Fprintf(&out, "%s: %s\n", c.name, s)
				if f := s.fault(r.step(), whole, c.fault.Foreign); f != "" {
					t.Errorf("%s: %s", c.name, f)
				}
			}
			assertGolden(t, "faults_"+string(kind), out.String())
		})
	}
}

// Guards against a check of the contract that can't fail.
func TestFaultsVariants(t *testing.T) {
	variants := []struct {
		name   string
		kind   request.Kind
		fault  fault.Fault
		change func(r *rig)
		shows  string
	}{
		{"identities are not compared", request.Encode, fault.Fault{Foreign: true}, func(r *rig) {
			build := r.client.Encoder
			r.client.Encoder = func(address string) stage.Pool {
				p := build(address)
				execute := p.Execute
				p.Execute = func(ctx context.Context, s request.Step) (stage.Output, error) {
					o, err := execute(ctx, s)
					o.Identity = s.Identity()
					return o, err
				}
				return p
			}
		}, "a foreign result"},
		{"pieces are taken as they come", request.Generate, fault.Fault{Reorder: true}, func(r *rig) {
			r.changePieces(func(n uint32, p stage.EnginePiece) stage.EnginePiece {
				p.Number = n
				return p
			})
		}, "pieces of another text"},
		{"connections are not noticed", request.Call, fault.Fault{LoseAnswer: true}, func(r *rig) {
			next := r.client.HTTP.Transport
			r.use(&http.Client{Transport: roundTripper(func(req *http.Request) (*http.Response, error) {
				return next.RoundTrip(req.WithContext(context.Background()))
			})})
		}, "sent false, but bytes left: true"},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			whole := wholeOutput(t, v.kind)
			r := newRig(t, v.kind, work.Limits{})
			v.change(r)
			r.standin.SetFault(v.fault)
			if f := r.call(nil, nil).fault(r.step(), whole, v.fault.Foreign); !strings.HasPrefix(f, v.shows) {
				t.Errorf("%q instead of %q", f, v.shows)
			}
		})
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// changePieces changes each piece before it is put together.
func (r *rig) changePieces(change func(n uint32, p stage.EnginePiece) stage.EnginePiece) {
	build := r.client.Engine
	r.client.Engine = func(address string) stage.Engine {
		e := build(address)
		execute := e.Execute
		e.Execute = func(ctx context.Context, s request.Step, take func(stage.EnginePiece) error) error {
			n := uint32(0)
			return execute(ctx, s, func(p stage.EnginePiece) error {
				n++
				return take(change(n-1, p))
			})
		}
		return e
	}
}
