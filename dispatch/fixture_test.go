package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

// fixture is a dispatch table and its table of servers, in a synctest bubble.
type fixture struct {
	table      *dispatch.Table
	commands   dispatch.Commands
	servers    *backend.Table
	permission backend.Permission
	running    sync.WaitGroup

	mu      sync.Mutex
	ended   map[string]error
	started map[string]int
	cancels map[string]context.CancelFunc
}

// newFixture returns a fixture with servers of pool p that have slots slots each and
// respond immediately.
func newFixture(servers, slots int) *fixture {
	s := &fixture{
		table: dispatch.NewTable(), servers: backend.NewTable(event.Discard()),
		permission: backend.Permission{AllowCold: true, WarmLimitDivisor: 1},
		ended:      map[string]error{}, started: map[string]int{}, cancels: map[string]context.CancelFunc{},
	}
	var specs []backend.Spec
	for n := range servers {
		specs = append(specs, backend.Spec{Name: fmt.Sprintf("s%d", n), Pool: "p", LowestRank: 9, MaxInFlight: slots, ColdInFlight: slots})
	}
	commands, queries := s.servers.Commands(), s.servers.Queries()
	commands.Sync(specs, time.Now())
	t := s.table
	t.Reserve, t.Release, t.CancelReservation, t.CurrentServer = commands.Reserve, commands.Release, commands.CancelReservation, queries.Server
	t.Permission = func(string, time.Time) backend.Permission { return s.permission }
	t.Capacity = func(pool string, rank int, p backend.Permission) backend.Capacity {
		return backend.CapacityOf(queries.Pool(pool), rank, p, time.Now())
	}
	t.MaxQueued = func(string) int { return 1000 }
	t.Failures = counter.NewSet("test.dispatch")
	t.Execute = func(_ context.Context, a dispatch.Assignment) dispatch.Execution {
		s.start(a)
		return dispatch.Execution{Result: request.Result{Identity: a.Step.Identity(), Server: a.Server.Name}}
	}
	s.commands = t.Commands()
	return s
}

func (s *fixture) start(a dispatch.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started[a.Step.RequestID]++
}

// add submits a step and returns once it is waiting or has ended.
func (s *fixture) add(step request.Step) {
	s.submit(step)
	synctest.Wait()
}

// submit runs Do in the background.
func (s *fixture) submit(step request.Step) {
	step.Pool, step.Attempt = "p", 1
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancels[step.RequestID] = cancel
	s.mu.Unlock()
	s.running.Go(func() {
		defer cancel()
		result, err := s.commands.Do(ctx, step, nil)
		if err == nil && result.Identity != step.Identity() {
			err = errors.New("got the result of another step")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, twice := s.ended[step.RequestID]; twice {
			err = errors.New("ended twice")
		}
		s.ended[step.RequestID] = err
	})
}

func (s *fixture) cancel(id string) {
	s.mu.Lock()
	cancel := s.cancels[id]
	s.mu.Unlock()
	cancel()
}

// tryNext returns the next assignment, if a step can be dispatched immediately.
func (s *fixture) tryNext() (a dispatch.Assignment, ok bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var taken sync.WaitGroup
	taken.Go(func() { a, ok = s.commands.Next(ctx) })
	synctest.Wait()
	cancel()
	taken.Wait()
	return a, ok
}

func (s *fixture) run(a dispatch.Assignment) {
	s.commands.Run(context.Background(), a)
	synctest.Wait()
}

// leftover returns the count that isn't zero after all steps have ended, or "".
func (s *fixture) leftover() string {
	for _, v := range s.servers.Queries().All() {
		if v.InFlight != 0 {
			return fmt.Sprintf("%s has %d in flight at the end", v.Name, v.InFlight)
		}
	}
	if n := s.table.Queries().CountWaiting(); n != 0 {
		return fmt.Sprintf("%d steps are waiting at the end", n)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if n := s.commands.AwaitIdle(ended); n != 0 {
		return fmt.Sprintf("%d steps are unfinished at the end", n)
	}
	return ""
}

func (s *fixture) outcome(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	err, ok := s.ended[id]
	if !ok {
		return "pending"
	}
	if err == nil {
		return "succeeded"
	}
	f := request.AsFailure(err)
	return fmt.Sprintf("%s, sent %t, server %q", f.Error(), f.Sent, f.Server)
}

// assertGoldenInBubble runs a function in a synctest bubble and compares its output
// with a golden file.
func assertGoldenInBubble(t *testing.T, name string, play func(out *strings.Builder)) {
	t.Helper()
	var out strings.Builder
	synctest.Test(t, func(*testing.T) { play(&out) })
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(out.String()))
}
