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

// operator returns an operator's client of an instance.
func (n *node) operator() operator.Client {
	return operator.NewClient(http.DefaultClient, "http://"+n.callers)
}

// Guards against work that starts in a data centre later than 5 s after it was taken
// out, against requests that fail because of the take-out, and against cold servers
// that get their full load at once when the data centre returns. Data centre b stays in
// service and is the control: the check must detect work there after the bound.
func TestTakenOutDataCentreGetsNoNewWork(t *testing.T) {
	t.Parallel()
	fastServers := siteOptions{ServiceTime: 30 * time.Millisecond}
	for _, c := range []struct {
		name    string
		options siteOptions
		// takeOut takes data centre a out or puts it on hold, and reopen ends that.
		takeOut, reopen func(s *site)
	}{
		{
			name:    "log up",
			options: fastServers,
			takeOut: func(s *site) { s.setState("a", catalogue.TakenOut) },
			reopen:  func(s *site) { s.setState("a", catalogue.InService) },
		},
		{
			// The servers turn cold while they are out of service, and stay cold until after
			// the arrival of the load reports that they sent before.
			name:    "late load reports",
			options: siteOptions{ServiceTime: 300 * time.Millisecond, LoadLag: 2 * time.Second},
			takeOut: func(s *site) { s.setState("a", catalogue.TakenOut) },
			reopen:  func(s *site) { s.setState("a", catalogue.InService) },
		},
		{
			name:    "data centre cut off from the log",
			options: fastServers,
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
			options: fastServers,
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

func (s *site) hold(through *node, dc string, duration time.Duration) {
	s.t.Helper()
	if _, err := through.operator().Hold(s.ctx, dc, "operator", duration); err != nil {
		s.t.Fatal("hold:", err)
	}
}

func checkTakeOut(t *testing.T, options siteOptions, takeOut, reopen func(s *site)) {
	is := is.New(t)
	s := newSite(t, options, "a", "b")
	s.startInstances(nil, "a1", "a2", "b1")
	s.awaitServing(setupBound, "status", s.all()...)
	starts := s.sampleStarts()
	// The load exceeds the limit of the server in a, so that some steps are queued.
	l := s.startLoad("status", 8, s.nodes["a1"], s.nodes["a2"])
	s.await(setupBound, "work in a", func() bool { return starts.lastStartIn("registry-a").After(time.Now().Add(-time.Second)) })

	takeOut(s)
	takenOutAt := time.Now()
	s.await(takenOutBound+setupBound, "requests after the bound", func() bool { return l.hasSentAfter(takenOutAt.Add(takenOutBound)) })
	is.True(!starts.lastStartIn("registry-a").After(takenOutAt.Add(takenOutBound))) // no work starts in a
	is.True(starts.lastStartIn("registry-b").After(takenOutAt.Add(takenOutBound)))  // the check detects work in b

	for _, server := range []string{"registry-a", "models-a"} {
		s.servers[server].SetFault(fault.Fault{Cold: true}) // it returns cold
		s.servers[server].SetFault(fault.Fault{})
	}
	reopen(s)
	returned := time.Now()
	s.await(configurationBound, "work in a again", func() bool { return starts.lastStartIn("registry-a").After(returned) })
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
	is.Equal(s.servers["registry-a"].Counts()["fellOver"], int64(0)) // its load rose gradually
	if !l.isAllRan() {
		t.Error("requests that didn't run:", l)
	}
}

// Guards against a hold that ends only on the instance that received its end, that an
// older hold replaces, or that outlasts a take-out in the catalogue.
func TestHoldEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{}, "a", "b")
	s.startInstances(nil, "a1", "a2", "b1")
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

	// This hold was placed by an instance whose clock is ahead.
	s.nodes["a1"].catalogueCommands.ApplyHold(catalogue.Hold{
		DataCentre: "a", EndsAt: time.Now().Add(time.Minute), Sequence: uint64(time.Now().Add(time.Hour).UnixMicro()),
	})
	s.await(takenOutBound, "hold placed with a clock that is ahead", isOpen(false))
	s.hold(s.nodes["b1"], "a", 0)
	s.await(takenOutBound, "end of the hold with a clock that is behind", isOpen(true))

	_, err := s.nodes["a1"].operator().Hold(s.ctx, "aa", "operator", time.Minute)
	is.True(err != nil) // the data centre is not in the catalogue
}
