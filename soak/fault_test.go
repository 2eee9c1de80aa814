package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/link"
	"lycheecrank.example/standin/site"
)

// faultCount is the number of faults in a second of a run.
const faultCount = 2

// play plays random faults until the time is over, or planned work only; each one ends by
// itself. Faults overlap, but an instance has one fault of its process at a time.
func (s *soakSite) play(ctx context.Context, r, returns *rand.Rand, length time.Duration, isPlanned bool) {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	faults := []func(context.Context, *rand.Rand, *instance, time.Duration) error{s.roll, s.sendSignals, s.changeKeys}
	if !isPlanned {
		faults = append(faults, s.disturbLink, s.disturbLink, s.disturbLink, s.disturbLink, s.disturbProcess,
			s.disturbProcess, s.disturbProcess, s.disturbWorker, s.disturbWorker, s.disturbStore)
	}
	if !isPlanned {
		group.Go(func() error { return s.returnStore(ctx, returns, length) })
	}
	for range int(length.Seconds() * faultCount) {
		pause(ctx, time.Duration(r.Int64N(int64(2*time.Second/faultCount))))
		lasts := 200*time.Millisecond + time.Duration(r.Int64N(int64(2500*time.Millisecond)))
		play, i := faults[r.IntN(len(faults))], s.instances[r.IntN(len(s.instances))]
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		group.Go(func() error { return play(ctx, own, i, lasts) })
	}
}

// disturbLink cuts, silences, delays or resets a link.
func (s *soakSite) disturbLink(ctx context.Context, r *rand.Rand, i *instance, lasts time.Duration) error {
	names := []string{"models-1", "models-2", "registry-1", "encode-1", "rerank-2"}
	name := names[r.IntN(len(names))]
	l := s.links[name]
	switch r.IntN(3) {
	case 0:
		name, l = i.name+" to the store", i.store
	case 1:
		name, l = "clients to "+i.name, i.clients
	}
	states := []link.State{
		{IsCut: true},
		{IsSilent: true},
		{IsDeaf: true},
		{IsMute: true},
		{Delay: time.Duration(20+r.IntN(200)) * time.Millisecond},
	}
	n := r.IntN(len(states) + 1)
	if l == i.clients {
		defer s.beginSpan(&s.disturbed, i)()
	}
	if n == len(states) {
		s.note("link %s is reset", name)
		l.Reset()
		return nil
	}
	s.note("link %s: %+v for %v", name, states[n], lasts)
	l.Set(states[n])
	pause(ctx, lasts)
	l.Set(link.State{})
	return nil
}

// disturbProcess stops, pauses, kills or reloads an instance.
func (s *soakSite) disturbProcess(ctx context.Context, r *rand.Rand, i *instance, lasts time.Duration) error {
	if !i.mu.TryLock() {
		return nil
	}
	defer i.mu.Unlock()
	p := i.process
	switch r.IntN(4) {
	case 0:
		defer s.beginSpan(&s.disturbed, i)()
		s.note("%s pauses for %v", i.name, lasts)
		p.signal(syscall.SIGSTOP)
		pause(ctx, lasts)
		p.signal(syscall.SIGCONT)
	case 1:
		defer s.beginSpan(&s.disturbed, i)()
		s.note("%s is killed, back after %v", i.name, lasts/2)
		p.kill()
		pause(ctx, lasts/2)
		s.start(i)
	case 2:
		return s.restart(i)
	default:
		s.note("%s gets SIGHUP", i.name)
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// restart plays a planned stop of an instance, whose lock is held, and starts it again.
func (s *soakSite) restart(i *instance) error {
	s.note("%s gets SIGTERM", i.name)
	p, end := i.process, s.beginSpan(&s.stops, i)
	p.isExpected.Store(true)
	p.signal(syscall.SIGTERM)
	limit := time.NewTimer(grace)
	defer limit.Stop()
	select {
	case <-p.exited:
		// SIGTERM may end a process that has not begun to receive signals, and has no clients.
		state := p.command.ProcessState.String()
		if state != "exit status 0" && (state != "signal: terminated" || len(i.readLog()) > p.logStart) {
			s.t.Errorf("%s ended with %s after SIGTERM", i.name, state)
		}
	case <-limit.C:
		s.t.Errorf("%s still ran %v after SIGTERM", i.name, grace)
		p.kill()
	}
	end()
	s.start(i)
	return nil
}

// roll restarts instances one after the other, whose stops may overlap.
func (s *soakSite) roll(ctx context.Context, r *rand.Rand, _ *instance, _ time.Duration) error {
	count, gap := 1+r.IntN(len(s.instances)), time.Duration(100+r.IntN(900))*time.Millisecond
	s.note("%d instances are restarted every %v", count, gap)
	var group errgroup.Group
	for _, n := range r.Perm(len(s.instances))[:count] {
		if i := s.instances[n]; i.mu.TryLock() {
			group.Go(func() error {
				defer i.mu.Unlock()
				return s.restart(i)
			})
		}
		pause(ctx, gap)
	}
	return group.Wait()
}

// sendSignals sends SIGHUP in series to an instance before, during and after a SIGTERM, and
// SIGTERM once more, so that both overlap.
func (s *soakSite) sendSignals(ctx context.Context, r *rand.Rand, i *instance, _ time.Duration) error {
	if !i.mu.TryLock() {
		return nil
	}
	defer i.mu.Unlock()
	s.note("%s gets signals in series", i.name)
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	p, stopAt := i.process, r.IntN(4)
	for n := range 8 {
		p.signal(syscall.SIGHUP)
		if n == stopAt {
			group.Go(func() error { return s.restart(i) })
		} else if n > stopAt && r.IntN(3) == 0 {
			p.signal(syscall.SIGTERM)
		}
		pause(ctx, time.Duration(r.IntN(600))*time.Millisecond)
	}
	return nil
}

// changeKeys changes the keys in series.
func (s *soakSite) changeKeys(ctx context.Context, r *rand.Rand, _ *instance, _ time.Duration) error {
	for range 2 + r.IntN(6) {
		key := fmt.Sprint("key-", 2+r.IntN(1000))
		s.note("the key becomes %s", key)
		s.configure(key)
		pause(ctx, time.Duration(r.IntN(300))*time.Millisecond)
	}
	return nil
}

// disturbWorker makes a worker misbehave, or drain and come back.
func (s *soakSite) disturbWorker(ctx context.Context, r *rand.Rand, _ *instance, lasts time.Duration) error {
	pool := pools[r.IntN(len(pools))]
	id := fmt.Sprintf("%s-%d", pool, 1+r.IntN(2))
	w := s.workers[id]
	faults := []site.Fault{{IsFull: true}, {LosesAnswers: true}, {HasForeignID: true}, {Freezes: true}, {Status: 500}, {IsFull: true, RetryAfter: 0.5}}
	if pool == "models" {
		faults = append(faults, site.Fault{CutAfter: 1 + r.IntN(3)}, site.Fault{CrashPart: crashPart})
	}
	n := r.IntN(len(faults) + 2)
	if n < len(faults) {
		s.note("worker %s: %+v for %v", id, faults[n], lasts)
		w.SetFault(faults[n])
		pause(ctx, lasts)
		w.SetFault(site.Fault{})
		return nil
	}
	if n == len(faults) {
		s.note("worker %s says that it is leaving for %v, and is replaced", id, lasts)
		w.SetFault(site.Fault{SaysLeaving: true})
		pause(ctx, lasts)
		w.SetFault(site.Fault{})
		s.list(pool, id, "ready")
		return nil
	}
	s.note("worker %s drains for %v", id, lasts)
	s.list(pool, id, "draining")
	pause(ctx, lasts)
	s.list(pool, id, "ready")
	return nil
}

// maxReturns is the largest number of returns of the store in a run.
const maxReturns = 3

// returnStore takes the store away and brings it back from a copy that is up to some seconds
// old, once or several times. The operator and the workers then write again what they wrote.
func (s *soakSite) returnStore(ctx context.Context, r *rand.Rand, length time.Duration) error {
	count := r.IntN(maxReturns + 1)
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	for range count {
		pause(ctx, upTo(length/2))
		older := s.store.Copy()
		age := upTo(5 * time.Second)
		pause(ctx, age)
		s.store.SetDown(true)
		pause(ctx, upTo(time.Second))
		s.store.Restore(older)
		s.note("the store is back from a copy that was %v old", age)
		pause(ctx, upTo(time.Second))
		s.writeAgain()
	}
	return nil
}

// disturbStore takes the store away or drops its history.
func (s *soakSite) disturbStore(ctx context.Context, r *rand.Rand, _ *instance, lasts time.Duration) error {
	if r.IntN(2) == 0 {
		s.note("the store is down for %v", lasts)
		s.store.SetDown(true)
		pause(ctx, lasts)
		s.store.SetDown(false)
		return nil
	}
	s.note("the store drops its history")
	s.store.Forget(platform.OperatorStream)
	s.store.Forget(platform.ServerStream)
	return nil
}
