package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/standin/site"
)

const (
	// pausedFrom and pausedUntil bound the time of a shutdown in which the process doesn't
	// run. The final answers fall due in it.
	pausedFrom  = grace - 900*time.Millisecond
	pausedUntil = grace - 350*time.Millisecond
	// latestResume is the latest time at which the process may be resumed in a valid run.
	latestResume = grace - 300*time.Millisecond
	// frozenOrders is the number of orders whose server doesn't answer.
	frozenOrders = 12
)

// Guards against requests that end without an answer in a planned stop, because the process
// gets no processor time around the moment at which their final answers are due, though
// some of its grace period is left.
func TestLateProcessAnswersBeforeExit(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := newSoakSite(ctx, t, 1, lightLoad)
	s.orderTimeout = 2 * grace
	s.configure(s.key)
	for run := 0; ; run++ {
		s.awaitService(ctx, fmt.Sprintf("run%d", run))
		if s.stopWithPause(ctx, run) || t.Failed() {
			return
		}
		t.Log("the machine was too busy to resume the process in time")
		s.start(s.instances[0])
	}
}

// stopWithPause stops an instance while orders are at servers that don't answer, pauses it
// around their final answers, and checks these. It reports false if the pause didn't end in
// time.
func (s *soakSite) stopWithPause(ctx context.Context, run int) bool {
	i := s.instances[0]
	outcomes := make([]outcome, frozenOrders)
	for _, id := range []string{"registry-1", "registry-2"} {
		s.workers[id].SetFault(site.Fault{Freezes: true})
		defer s.workers[id].SetFault(site.Fault{})
	}
	client := &http.Client{Timeout: 2 * grace}
	defer client.CloseIdleConnections()
	var senders errgroup.Group
	for n := range outcomes {
		senders.Go(func() error {
			outcomes[n] = s.ask(client, i, "order", s.key, fmt.Sprintf("frozen-%d-%d", run, n))
			return nil
		})
	}
	limit := time.Now().Add(recoveryLimit)
	for s.runsOf("registry", "frozen-") < (run+1)*frozenOrders {
		if time.Now().After(limit) {
			s.t.Fatalf("%d orders run", s.runsOf("registry", "frozen-")-run*frozenOrders)
		}
		pause(ctx, 10*time.Millisecond)
	}
	began := time.Now()
	i.process.isExpected.Store(true)
	i.process.signal(syscall.SIGTERM)
	pause(ctx, time.Until(began.Add(pausedFrom)))
	i.process.signal(syscall.SIGSTOP)
	pause(ctx, time.Until(began.Add(pausedUntil)))
	isValid := time.Now().Before(began.Add(latestResume))
	i.process.signal(syscall.SIGCONT)
	_ = senders.Wait()
	<-i.process.exited
	for _, o := range outcomes {
		if isValid && o.status != http.StatusBadGateway {
			s.t.Errorf("%s: status %d, not that of an order that may have run", o.id, o.status)
		}
	}
	return isValid
}

// runsOf returns the number of runs at a pool's workers of attempts whose ID has a prefix.
func (s *soakSite) runsOf(pool, prefix string) int {
	n := 0
	for id, w := range s.workers {
		for _, r := range w.Runs() {
			if strings.HasPrefix(id, pool) && strings.HasPrefix(r.Attempt, prefix) {
				n++
			}
		}
	}
	return n
}
