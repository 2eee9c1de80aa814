//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// evacuationCase plays a zone that is evacuated, taken back, and evacuated again. One
// instance is frozen over the taking back, another one over the second evacuation. The store
// is down for some seconds when they wake.
func evacuationCase(s *site, hasTrouble bool) ([]string, error) {
	const zone, work = "espoo", 30 * time.Millisecond
	s.configure()
	for id, z := range map[string]string{"i-1": "helsinki-a", "i-2": "helsinki-a", "i-3": zone, "i-4": zone} {
		if _, err := s.addWorker(id, z, work); err != nil {
			return nil, err
		}
	}
	if err := s.start("edge-helsinki-a-1", "edge-helsinki-a-2", "edge-helsinki-a-3"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var violations []string
	const rounds = 4
	for round := range rounds {
		violations = append(violations, s.evacuationRound(zone, s.now(), hasTrouble)...)
		s.write("round %d: %d violations so far", round+1, len(violations))
		if len(violations) > 0 {
			break
		}
	}
	return violations, nil
}

func (s *site) evacuate(zone string, isEvacuated bool) time.Duration {
	value := []byte(nil)
	if isEvacuated {
		value = []byte("{}")
	}
	s.store.Put(operators, "evacuate/"+zone, value)
	s.write("operator: evacuation of %s %v, acknowledged", zone, isEvacuated)
	return s.now()
}

// evacuationRound plays one round, which takes about 22 s.
func (s *site) evacuationRound(zone string, began time.Duration, hasTrouble bool) []string {
	at := func(d time.Duration) { s.sleepUntil(began + d) }
	trouble := func(f func()) {
		if hasTrouble {
			f()
		}
	}
	first, second := s.instances[1], s.instances[2]
	s.evacuate(zone, true)
	at(3000 * time.Millisecond)
	trouble(func() { s.signal(first, syscall.SIGSTOP) })
	at(3600 * time.Millisecond)
	s.evacuate(zone, false)
	at(5000 * time.Millisecond)
	trouble(func() { s.signal(second, syscall.SIGSTOP) })
	at(6500 * time.Millisecond)
	evacuatedAt := s.evacuate(zone, true)
	at(6800 * time.Millisecond)
	trouble(func() {
		s.store.SetDown(true)
		s.write("the store answers 503")
	})
	at(7000 * time.Millisecond)
	trouble(func() { s.signal(first, syscall.SIGCONT) })
	at(9000 * time.Millisecond)
	trouble(func() { s.signal(second, syscall.SIGCONT) })
	at(11300 * time.Millisecond)
	trouble(func() {
		s.store.SetDown(false)
		s.write("the store is back")
	})
	// All machines are in touch stableWindow after that, and no bound is stretched any more.
	checkFrom := max(began+11300*time.Millisecond+stableWindow, evacuatedAt+evacuateTime+maxStretch) + 200*time.Millisecond
	s.sleepUntil(checkFrom)
	s.write("the check begins")
	var sending sync.WaitGroup
	until := checkFrom + 3*time.Second
	for _, n := range s.instances {
		sending.Go(func() { s.sendEvery(n, http.MethodGet, "/lookup/1", 100*time.Millisecond, until) })
	}
	sending.Wait()
	s.evacuate(zone, false)
	time.Sleep(3 * time.Second)
	return s.arrivalsIn(zone, checkFrom, until, evacuatedAt)
}

// arrivalsIn returns the requests that were sent in a time and reached a worker of a zone.
func (s *site) arrivalsIn(zone string, from, until, evacuatedAt time.Duration) []string {
	zones := map[string]string{}
	for _, w := range s.workers {
		zones[w.id] = w.zone
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var violations []string
	for _, q := range s.requests {
		for k, id := range q.workers {
			if zones[id] == zone && q.sentAt >= from && q.sentAt <= until {
				violations = append(violations, fmt.Sprintf("EVAC: %s was evacuated at %.3f; request %s, sent to %s at %.3f, reached %s there at %.3f",
					zone, evacuatedAt.Seconds(), q.id, q.instance.name, q.sentAt.Seconds(), id, q.reachedAt[k].Seconds()))
			}
		}
	}
	return violations
}
