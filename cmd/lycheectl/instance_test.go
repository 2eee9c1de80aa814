package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/console"
	"lycheecrank.example/instance"
	"lycheecrank.example/settings"
	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/store"
)

// startInstance runs a real instance until the test ends and returns its
// address for operators.
func (w *world) startInstance(name string) string {
	is := is.New(w.t)
	s, err := settings.Read(fmt.Appendf(nil, `
instance: {name: %s, dataCentre: espoo}
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0"}
platform: {log: %[2]q, instances: %[2]q}
drain: {balancerLag: 0s}
log: {level: error}
`, name, w.url), name)
	is.NoErr(err)
	i, err := instance.New(s, io.Discard)
	is.NoErr(err)
	ready := make(chan string, 1)
	i.OnReady = func(callers, _ string) { ready <- callers }
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return i.Run(ctx) })
	w.t.Cleanup(func() {
		w.platform.SetFault(fault.Fault{})
		stop()
		is.NoErr(group.Wait())
	})
	return <-ready
}

// until asks the instances for their state until it fits.
func (w *world) until(k *console.Console, what string, fits func(console.Status) bool) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 15*time.Second)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	var last console.Status
	for {
		s, err := k.Queries().Status(ctx)
		if err == nil && fits(s) {
			return
		}
		if ctx.Err() == nil {
			last = s
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			w.t.Fatalf("not in time: %s: %v\n%s", what, err, last.Text())
		}
	}
}

// Guards against a take-out that real instances don't follow, and against a hold
// or its release that reaches only the instance that was told, with the
// platform down.
func TestRealInstances(t *testing.T) {
	w := newWorld(t, store.Options{})
	w.run(console.Done, "catalogue", "apply", w.file("base.yaml", base))
	first := w.startInstance("espoo-1")
	w.startInstance("espoo-2")
	k := console.New(w.client, w.url, time.Second)
	k.Author, k.Seeds = "aino", []string{first}
	w.until(k, "both know each other", func(s console.Status) bool {
		known := 0
		for _, i := range s.Instances {
			if i.Answers && i.Revision == 1 {
				known++
			}
		}
		return known == 2
	})
	w.run(console.Done, "datacentre", "take-out", "espoo")
	w.run(console.Done, "datacentre", "return", "espoo")

	// Both must have the other from the list before it goes down.
	w.until(k, "members", func(console.Status) bool {
		s, err := k.Operator(first).Status(t.Context())
		return err == nil && len(s.Members) == 2
	})
	w.platform.SetFault(fault.Fault{Down: true})
	held := func(n int) func(console.Status) bool {
		return func(s console.Status) bool {
			if n == 0 {
				return len(s.Holds) == 0
			}
			return len(s.Holds) == 1 && len(s.Holds[0].Instances) == n
		}
	}
	_, err := k.Operator(first).Hold(t.Context(), "espoo", "aino", time.Minute)
	is.New(t).NoErr(err)
	w.until(k, "the hold spreads", held(2))
	_, err = k.Operator(first).Hold(t.Context(), "espoo", "aino", 0)
	is.New(t).NoErr(err)
	w.until(k, "the release spreads", held(0))
	w.run(console.Done, "--instance", first, "datacentre", "take-out", "espoo", "1m", "--hold")
	w.until(k, "all have the hold", held(2))
	w.run(console.Done, "--instance", first, "datacentre", "release", "espoo")
	w.run(console.Invalid, "--instance", first, "datacentre", "take-out", "nowhere", "--hold")
	if !strings.Contains(w.transcript.String(), "confirmed by 2 of 2 instances") {
		t.Error(w.transcript.String())
	}
}

// Guards against a command line that looks for the decision records in another
// stream than the one that the instances append to.
func TestStreamOfRecords(t *testing.T) {
	is.New(t).Equal(console.PrecedenceStream, instance.PrecedenceStream)
}
