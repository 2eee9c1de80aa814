package standin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	enginev1 "lycheecrank.example/api/engine/v1"
	"lycheecrank.example/api/engine/v1/enginev1connect"
	platformv1 "lycheecrank.example/api/platform/v1"
	"lycheecrank.example/api/platform/v1/platformv1connect"
	servicev1 "lycheecrank.example/api/service/v1"
	"lycheecrank.example/api/service/v1/servicev1connect"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
)

// faults has every fault once. The ones that would hold a probe for ever end
// after 3 s.
var faults = []struct {
	name  string
	fault fault.Fault
}{
	{"none", fault.Fault{}},
	{"delay", fault.Fault{Delay: 250 * time.Millisecond}},
	{"fail once", fault.Fault{Fail: true, Remaining: 1}},
	{"fail another method", fault.Fault{Fail: true, Method: "Absent"}},
	{"lose answer", fault.Fault{LoseAnswer: true, Remaining: 1}},
	{"reorder", fault.Fault{Reorder: true}},
	{"repeat", fault.Fault{Repeat: true}},
	{"cut short", fault.Fault{CutShort: true}},
	{"freeze", fault.Fault{Freeze: true}},
	{"cold", fault.Fault{Cold: true}},
	{"lag", fault.Fault{Lag: 2 * time.Second}},
	{"down", fault.Fault{Down: true}},
	{"foreign", fault.Fault{Foreign: true}},
	{"leaving", fault.Fault{Leaving: true}},
}

// underFaults probes a new stand-in under each fault and compares all
// transcripts with one golden file.
func underFaults(t *testing.T, name string, build func() *standin.Standin, probe func(tr *transcript)) {
	t.Run(name, func(t *testing.T) {
		var all strings.Builder
		for _, f := range faults {
			fmt.Fprintf(&all, "# %s\n%s\n", f.name, record(t, build, func(tr *transcript) {
				tr.fault(f.fault)
				if f.fault.Freeze {
					time.AfterFunc(3*time.Second, func() { tr.fault(fault.Fault{}) })
				}
				probe(tr)
			}))
		}
		compare(t, name+"Faults", all.String())
	})
}

// Guards against a fault that a stand-in ignores or applies to the wrong call:
// tests of the system would then pass without the fault.
func TestFaults(t *testing.T) {
	underFaults(t, "platform", func() *standin.Standin { return standin.NewPlatform(standin.PlatformOptions{}) }, func(tr *transcript) {
		log := platformv1connect.NewLogServiceClient(tr.loop.client(), "http://log")
		list := platformv1connect.NewInstancesServiceClient(tr.loop.client(), "http://list")
		unary(tr, log.Append, &platformv1.AppendRequest{Stream: "a", Data: [][]byte{[]byte("1"), []byte("2")}})
		unary(tr, log.Read, &platformv1.ReadRequest{Stream: "a", From: 1})
		unary(tr, list.Announce, &platformv1.AnnounceRequest{Instance: &platformv1.Instance{Name: "i1", Incarnation: "x"}})
		unary(tr, list.List, &platformv1.ListRequest{})
		time.AfterFunc(4*time.Second, func() {
			// A tail that runs already meets a partition too.
			tr.fault(fault.Fault{Down: true})
		})
		stream(tr, 2, log.Tail, &platformv1.TailRequest{Stream: "a", From: 1})
	})
	underFaults(t, "engine", newEngine, func(tr *transcript) {
		c := enginev1connect.NewEngineServiceClient(tr.loop.client(), "http://engine")
		stream(tr, 9, c.Execute, &enginev1.ExecuteRequest{RequestId: "r", Stage: "s", Attempt: 1, Prompt: []byte("harvest weekend tallies"), MaxTokens: 9})
		wait(1500 * time.Millisecond)
		unary(tr, c.Load, &enginev1.LoadRequest{})
		tr.counts()
	})
	underFaults(t, "service", newService, func(tr *transcript) {
		c := servicev1connect.NewPlainServiceClient(tr.loop.client(), "http://service")
		unary(tr, c.Call, &servicev1.CallRequest{RequestId: "r", Stage: "s", Attempt: 1, Key: "k", Operation: "registerTally", Input: []byte("museu 12")})
		unary(tr, c.Load, &servicev1.LoadRequest{})
		tr.counts()
	})
}

// Guards against a stream that goes on unchanged when the engine freezes or
// goes down in its middle.
func TestFaultDuringStream(t *testing.T) {
	for name, f := range map[string]fault.Fault{"frozenStream": {Freeze: true}, "downStream": {Down: true}} {
		contract(t, name, newEngine, func(tr *transcript) {
			time.AfterFunc(70*time.Millisecond, func() { tr.fault(f) })
			time.AfterFunc(2*time.Second, func() { tr.fault(fault.Fault{}) })
			c := enginev1connect.NewEngineServiceClient(tr.loop.client(), "http://engine")
			stream(tr, 9, c.Execute, &enginev1.ExecuteRequest{RequestId: "r", Stage: "s", Attempt: 1, Prompt: []byte("harvest weekend tallies"), MaxTokens: 9})
		})
	}
}
