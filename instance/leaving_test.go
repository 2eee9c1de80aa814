package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
)

// Guards against new work for a leaving backend server later than 5 s after its
// announcement. The server announces that it is leaving in the list of instances, in its
// load reports, or in both. The lag of an announcement plus the interval at which it is
// read (2 s for the list, 1 s for load reports) is below 5 s. In the broken variant no announcement arrives.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	const listLag, loadLag = 2 * time.Second, 3 * time.Second
	for _, c := range []struct {
		name             string
		listLag, loadLag time.Duration
		listDown         bool
		fault            fault.Fault
		broken           bool
	}{
		{name: "by the list", fault: fault.Fault{Leaving: true, Method: "Load", Fail: true}},
		{name: "by the list, late", listLag: listLag, fault: fault.Fault{Leaving: true, Method: "Load", Fail: true}},
		{name: "by its load report, list down", listDown: true, fault: fault.Fault{Leaving: true}},
		{name: "by its load report, late, list down", loadLag: loadLag, listDown: true, fault: fault.Fault{Leaving: true}},
		{name: "by both, late", listLag: listLag, loadLag: loadLag, fault: fault.Fault{Leaving: true}},
		{name: "by neither", listDown: true, fault: fault.Fault{Leaving: true, Method: "Load", Fail: true}, broken: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			options := siteOptions{Platform: standin.PlatformOptions{ListLag: c.listLag}, LoadLag: c.loadLag, ServiceTime: 50 * time.Millisecond}
			s := newSite(t, options, "a", "b")
			s.startInstances(nil, "a1", "b1")
			s.awaitServing(setupBound, "status", s.all()...)
			l := s.startLoad("status", 2, s.nodes["a1"])
			server := s.servers["registry-a"]
			for _, n := range s.all() {
				n.list.set(c.listDown)
			}
			server.SetFault(c.fault)
			left := time.Now()
			s.await(setupBound, "requests after the bound", func() bool { return l.hasSentAfter(left.Add(leavingBound)) })
			l.stop()
			late := server.Counts()["lastStartWhileLeavingMs"] > leavingBound.Milliseconds()
			is.Equal(late, c.broken)                                         // work after the bound
			is.True(server.Counts()["startedWhileLeaving"] > 0 || !c.broken) // broken: requests still reach the server
			if !l.isAllRan() {
				t.Error("requests that didn't run:", l)
			}
		})
	}
}
