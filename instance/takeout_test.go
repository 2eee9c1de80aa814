package instance

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/operator"
	"lycheecrank.example/standin/fault"
)

// operator returns the operators' client of an instance.
func (n *node) operator() operator.Client {
	return operator.NewClient(http.DefaultClient, "http://"+n.callers)
}

// Guards against work that reaches a data centre later than 5 s after it was
// taken out, against requests that are lost with it, and against servers that
// get their full load at once when it returns cold. Data centre b stays in
// service and is the control: the check must see work there after the bound.
func TestTakenOutDataCentreGetsNoNewWork(t *testing.T) {
	t.Parallel()
	quick := siteOptions{ServiceTime: 30 * time.Millisecond}
	for _, c := range []struct {
		name    string
		options siteOptions
		// takeOut closes data centre a and reopen returns it.
		takeOut, reopen func(s *site)
	}{
		{
			name:    "log up",
			options: quick,
			takeOut: func(s *site) { s.setState("a", catalogue.TakenOut) },
			reopen:  func(s *site) { s.setState("a", catalogue.InService) },
		},
		{
			// The servers turn cold while they are out, and stay cold for longer than it
			// takes until what they reported before that arrives.
			name:    "late load reports",
			options: siteOptions{ServiceTime: 300 * time.Millisecond, LoadLag: 2 * time.Second},
			takeOut: func(s *site) { s.setState("a", catalogue.TakenOut) },
			reopen:  func(s *site) { s.setState("a", catalogue.InService) },
		},
		{
			name:    "data centre cut off from the log",
			options: quick,
			takeOut: func(s *site) {
				s.nodes["a1"].log.set(logFault{Down: true})
				s.nodes["a2"].log.set(logFault{Down: true})
				s.setState("a", catalogue.TakenOut)
			},
			reopen: func(s *site) {
				s.nodes["a1"].log.set(logFault{})
				s.nodes["a2"].log.set(logFault{})
				s.setState("a", catalogue.InService)
			},
		},
		{
			name:    "log down, hold through another data centre",
			options: quick,
			takeOut: func(s *site) {
				for _, n := range s.all() {
					n.log.set(logFault{Down: true})
				}
				s.hold(s.nodes["b1"], "a", time.Minute)
			},
			reopen: func(s *site) {
				s.hold(s.nodes["a2"], "a", 0)
				for _, n := range s.all() {
					n.log.set(logFault{})
				}
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkTakeOut(t, c.options, c.takeOut, c.reopen)
		})
	}
}

func (s *site) hold(through *node, dc string, d time.Duration) {
	s.t.Helper()
	if _, err := through.operator().Hold(s.ctx, dc, "operator", d); err != nil {
		s.t.Fatal("hold:", err)
	}
}

func checkTakeOut(t *testing.T, o siteOptions, takeOut, reopen func(s *site)) {
	is := is.New(t)
	s := newSite(t, o, "a", "b")
	s.startNodes(nil, "a1", "a2", "b1")
	s.awaitServing(setupBound, "status", s.all()...)
	starts := s.watchStarts()
	// More requests than the server of a bears, so that some steps wait there.
	l := s.startLoad("status", 8, s.nodes["a1"], s.nodes["a2"])
	s.await(setupBound, "work in a", func() bool { return starts.lastIn("registry-a").After(time.Now().Add(-time.Second)) })

	takeOut(s)
	verdict := time.Now()
	s.await(takenOutBound+setupBound, "requests after the bound", func() bool { return l.sentAfter(verdict.Add(takenOutBound)) })
	is.True(!starts.lastIn("registry-a").After(verdict.Add(takenOutBound))) // nothing new in a
	is.True(starts.lastIn("registry-b").After(verdict.Add(takenOutBound)))  // the control sees work in b

	for _, pool := range []string{"registry-a", "models-a"} {
		s.servers[pool].SetFault(fault.Fault{Cold: true}) // it comes back cold
		s.servers[pool].SetFault(fault.Fault{})
	}
	reopen(s)
	returned := time.Now()
	s.await(configurationBound, "work in a again", func() bool { return starts.lastIn("registry-a").After(returned) })
	s.await(setupBound, "the server of a is warm again", func() bool {
		for _, n := range []*node{s.nodes["a1"], s.nodes["a2"]} {
			for _, b := range n.backendQueries.Pool("registry") {
				if b.CurrentLimit == b.MaxInFlight {
					return true
				}
			}
		}
		return false
	})
	l.stop()
	is.Equal(s.servers["registry-a"].Counts()["fellOver"], int64(0)) // filled by steps
	if !l.isAllRan() {
		t.Error("requests that didn't run:", l)
	}
}

// Guards against a hold that ends nowhere but on the instance that was told so,
// that an older one replaces, or that outlives the take-out in the catalogue.
func TestHoldEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{}, "a", "b")
	s.startNodes(nil, "a1", "a2", "b1")
	isOpen := func(open bool) func() bool {
		return func() bool {
			for _, n := range s.all() {
				if n.catalogueQueries.IsOpen("a", time.Now()) != open {
					return false
				}
			}
			return true
		}
	}
	s.hold(s.nodes["a1"], "a", time.Minute)
	s.await(takenOutBound, "hold everywhere", isOpen(false))
	s.hold(s.nodes["b1"], "a", 0)
	s.await(takenOutBound, "end of the hold everywhere", isOpen(true))
	s.hold(s.nodes["a2"], "a", time.Minute)
	s.await(takenOutBound, "second hold everywhere", isOpen(false))

	s.awaitOffset(configurationBound, s.setState("a", catalogue.TakenOut), s.all()...)
	s.awaitOffset(configurationBound, s.setState("a", catalogue.InService), s.all()...)
	s.await(takenOutBound, "the hold has ended with the take-out", isOpen(true))

	// An instance whose clock is ahead placed the hold.
	s.nodes["a1"].catalogueCommands.ApplyHold(catalogue.Hold{
		DataCentre: "a", EndsAt: time.Now().Add(time.Minute), Sequence: uint64(time.Now().Add(time.Hour).UnixMicro()),
	})
	s.await(takenOutBound, "hold of a clock that is ahead", isOpen(false))
	s.hold(s.nodes["b1"], "a", 0)
	s.await(takenOutBound, "end by a clock that is behind", isOpen(true))

	_, err := s.nodes["a1"].operator().Hold(s.ctx, "aa", "operator", time.Minute)
	is.True(err != nil) // a name that isn't in the catalogue is refused
}
