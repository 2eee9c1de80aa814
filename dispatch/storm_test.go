package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/request"
	"lycheecrank.example/worker"
)

// storm runs many steps concurrently, while steps are cancelled and swept and
// servers fail, leave and return, and closes the table at the end. It returns a
// violation, or "".
func storm(t *testing.T, seed uint64, change func(*dispatch.Table)) (found string) {
	synctest.Test(t, func(*testing.T) {
		const steps, workers = 300, 8
		s := newFixture(4, 2)
		s.table.Execute = func(ctx context.Context, a dispatch.Assignment) dispatch.Execution {
			s.start(a)
			return perform(ctx, a, seed)
		}
		if change != nil {
			change(s.table)
		}
		intake, stop := context.WithCancel(context.Background())
		pool := worker.Pool[dispatch.Assignment]{Size: workers, Next: s.commands.Next, Execute: s.commands.Run}
		s.running.Go(func() { _ = pool.Run(intake, context.Background()) })
		s.running.Go(func() { _ = s.commands.RunSweeps(intake) })
		s.running.Go(func() { disturb(intake, s, seed) })
		r := rand.New(rand.NewPCG(seed, 0))
		for n := range steps {
			id := fmt.Sprintf("r%d", n)
			s.submit(request.Step{
				RequestID: id, Workspace: string(rune('a' + n%3)), Rank: n % 3, Weight: 1 + n%3,
				Deadline: time.Now().Add(time.Duration(r.IntN(800)) * time.Millisecond),
			})
			if r.IntN(5) == 0 {
				delay := time.Duration(r.IntN(50)) * time.Millisecond
				s.running.Go(func() {
					time.Sleep(delay)
					s.cancel(id)
				})
			}
			if r.IntN(8) == 0 {
				time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
			}
		}
		s.commands.Close()
		s.commands.AwaitIdle(context.Background())
		stop()
		s.running.Wait()
		found = s.stormViolation(steps)
	})
	return found
}

// perform simulates a call with a random duration and failure, which depend on
// the step and the seed only.
func perform(ctx context.Context, a dispatch.Assignment, seed uint64) dispatch.Execution {
	r := rand.New(rand.NewPCG(seed, uint64(len(a.Step.RequestID))+uint64(a.Step.Deadline.UnixNano())))
	e := dispatch.Execution{Result: request.Result{Identity: a.Step.Identity(), Server: a.Server.Name}}
	timer := time.NewTimer(time.Duration(5+r.IntN(30)) * time.Millisecond)
	defer timer.Stop()
	f := request.Failure{Sent: true, Server: a.Server.Name}
	select {
	case <-timer.C:
		if r.IntN(6) > 0 {
			return e
		}
		f.Reason = failureReasons[r.IntN(len(failureReasons))]
	case <-ctx.Done():
		f.Reason = request.ReasonCancelled
	}
	e.Failure = &f
	return e
}

var failureReasons = []request.Reason{request.ReasonServerCold, request.ReasonServerFailed, request.ReasonServerUnreachable}

// disturb makes servers leave and return, and deletes and adds them, until the
// context ends.
func disturb(ctx context.Context, s *fixture, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	specs := make([]backend.Spec, 0, 4)
	for _, v := range s.servers.Queries().All() {
		specs = append(specs, v.Spec)
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1+r.IntN(20)) * time.Millisecond)
		switch r.IntN(3) {
		case 0:
			s.servers.Commands().SetListedLeaving(specs[r.IntN(len(specs))].Name, r.IntN(4) == 0)
		case 1:
			s.servers.Commands().Sync(specs[:1+r.IntN(len(specs))], time.Now())
		case 2:
			s.commands.WakeWorker()
		}
	}
}

// stormViolation compares the outcomes with the steps that were sent.
func (s *fixture) stormViolation(steps int) string {
	if l := s.leftover(); l != "" {
		return l
	}
	if len(s.ended) != steps {
		return fmt.Sprintf("%d of %d steps ended", len(s.ended), steps)
	}
	for id, err := range s.ended {
		n := s.started[id]
		switch {
		case n > 1:
			return fmt.Sprintf("%s was sent %d times", id, n)
		case err == nil && n == 0:
			return id + " succeeded without being sent"
		case err != nil && request.AsFailure(err).Sent != (n == 1):
			return fmt.Sprintf("%s was sent %d times and ended with %v", id, n, err)
		}
	}
	return ""
}

// Guards against steps that are lost, run twice or return a wrong outcome, and
// against leaked slots, while Do, cancellation, Sweep, Close, Next and Run are
// concurrent.
func TestStorm(t *testing.T) {
	for seed := range uint64(20) {
		if found := storm(t, seed, nil); found != "" {
			t.Errorf("seed %d: %s", seed, found)
		}
	}
}

// The checks of TestStorm must detect each variant, which breaks one rule. Guards
// against checks that pass whatever the code does.
func TestStormVariants(t *testing.T) {
	variants := []struct {
		name   string
		change func(*dispatch.Table)
	}{
		{"slots of unsent steps are not freed", func(t *dispatch.Table) {
			t.CancelReservation = func(string) {}
			t.CurrentServer = func(string) (backend.Server, bool) { return backend.Server{}, false }
		}},
		{"a failed step is retried without a new reservation", func(t *dispatch.Table) {
			execute := t.Execute
			t.Execute = func(ctx context.Context, a dispatch.Assignment) dispatch.Execution {
				if e := execute(ctx, a); e.Failure == nil {
					return e
				}
				return execute(ctx, a)
			}
		}},
		{"failures of sent steps are marked as not sent", func(t *dispatch.Table) {
			execute := t.Execute
			t.Execute = func(ctx context.Context, a dispatch.Assignment) dispatch.Execution {
				e := execute(ctx, a)
				if e.Failure != nil {
					e.Failure.Sent = false
				}
				return e
			}
		}},
	}
	for _, v := range variants {
		if found := storm(t, 1, v.change); found == "" {
			t.Errorf("%s: no violation detected", v.name)
		}
	}
}
