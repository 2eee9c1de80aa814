package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/link"
	"lycheecrank.example/standin/site"
)

// faultCount is the number of faults in a second of a run.
const faultCount = 2

// play plays random faults until the time is over; each one ends by itself. Faults
// overlap, but an instance has one fault of its process at a time.
func (s *soakSite) play(ctx context.Context, r *rand.Rand, length time.Duration) {
	var group errgroup.Group
	busy := map[*instance]time.Time{}
	steps := int(length.Seconds() * faultCount)
	for range steps {
		pause(ctx, time.Duration(r.Int64N(int64(2*time.Second/faultCount))))
		lasts := 200*time.Millisecond + time.Duration(r.Int64N(int64(2500*time.Millisecond)))
		i := s.instances[r.IntN(len(s.instances))]
		kind := r.IntN(10)
		seed := r.Uint64()
		switch {
		case kind < 4:
			group.Go(func() error { return s.disturbLink(ctx, rand.New(rand.NewPCG(seed, 0)), i, lasts) })
		case kind < 7:
			if time.Now().Before(busy[i]) {
				continue
			}
			// The longest is a stop: grace, restart and the lookout of the balancer.
			busy[i] = time.Now().Add(grace + lasts + 2*time.Second)
			group.Go(func() error { return s.disturbProcess(ctx, rand.New(rand.NewPCG(seed, 0)), i, lasts) })
		case kind < 9:
			group.Go(func() error { return s.disturbWorker(ctx, rand.New(rand.NewPCG(seed, 0)), lasts) })
		default:
			group.Go(func() error { return s.disturbStore(ctx, rand.New(rand.NewPCG(seed, 0)), lasts) })
		}
	}
	_ = group.Wait()
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
	p := i.process
	switch r.IntN(4) {
	case 0:
		s.note("%s pauses for %v", i.name, lasts)
		p.signal(syscall.SIGSTOP)
		pause(ctx, lasts)
		p.signal(syscall.SIGCONT)
	case 1:
		s.note("%s is killed, back after %v", i.name, lasts/2)
		p.kill()
		pause(ctx, lasts/2)
		s.start(i)
	case 2:
		s.note("%s gets SIGTERM", i.name)
		p.isExpected.Store(true)
		p.signal(syscall.SIGTERM)
		limit := time.NewTimer(grace)
		defer limit.Stop()
		select {
		case <-p.exited:
			if code := p.command.ProcessState.ExitCode(); code != 0 {
				s.t.Errorf("%s ended with %d after SIGTERM", i.name, code)
			}
		case <-limit.C:
			s.t.Errorf("%s still ran %v after SIGTERM", i.name, grace)
			p.kill()
		}
		s.start(i)
	default:
		s.note("%s gets SIGHUP", i.name)
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// disturbWorker makes a worker misbehave, or drain and come back.
func (s *soakSite) disturbWorker(ctx context.Context, r *rand.Rand, lasts time.Duration) error {
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

// disturbStore takes the store away, drops its history, or changes the keys.
func (s *soakSite) disturbStore(ctx context.Context, r *rand.Rand, lasts time.Duration) error {
	switch r.IntN(3) {
	case 0:
		s.note("the store is down for %v", lasts)
		s.store.SetDown(true)
		pause(ctx, lasts)
		s.store.SetDown(false)
	case 1:
		s.note("the store drops its history")
		for _, topic := range slices.Sorted(slices.Values([]string{platform.OperatorStream, platform.ServerStream})) {
			s.store.Forget(topic)
		}
	default:
		key := fmt.Sprint("key-", 2+r.IntN(1000))
		s.note("the key becomes %s", key)
		s.configure(key)
	}
	return nil
}
