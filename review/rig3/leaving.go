//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// leavingCase plays a worker that leaves without reporting draining: its entry is removed.
// The store executes its last heartbeat late, after the removal. The worker says in all its
// answers that it is leaving.
func leavingCase(s *site, hasTrouble bool) ([]string, error) {
	const work = 1500 * time.Millisecond
	s.configure()
	var workers []*worker
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		w, err := s.addWorker(id, "helsinki-a", work)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if err := s.start("edge-helsinki-a-1", "edge-helsinki-a-2", "edge-helsinki-a-3", "edge-helsinki-a-4"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the traffic starts some seconds after the machines
	left := workers[0]

	// Many users come at once; their requests are at the workers when one of them leaves.
	leavesAt := s.now() + time.Second
	var sending sync.WaitGroup
	s.sleepUntil(leavesAt - 500*time.Millisecond)
	for _, n := range s.instances {
		for range 9 {
			sending.Go(func() { s.send(n, http.MethodPost, "/order/1") })
		}
	}
	s.sleepUntil(leavesAt - 100*time.Millisecond)
	left.setSilent(true)
	last := left.nextEntry()
	if hasTrouble {
		s.write("the store gets the last heartbeat of %s, sequence %v, and gives no answer", left.id, last["sequence"])
	} else {
		s.store.PutJSON(servers, left.id, last)
		s.write("the store executes the last heartbeat of %s, sequence %v", left.id, last["sequence"])
	}
	s.sleepUntil(leavesAt)
	left.leave()
	s.store.Put(servers, left.id, nil)
	s.write("%s leaves: its entry is removed", left.id)

	// Afterwards clients go on with single requests.
	lateAt, exitsAt := leavesAt+4*time.Second, leavesAt+7*time.Second
	s.sleepUntil(leavesAt + 1200*time.Millisecond)
	for _, n := range s.instances {
		sending.Go(func() {
			s.sendEvery(n, http.MethodPost, "/order/2", 400*time.Millisecond, exitsAt+500*time.Millisecond)
		})
	}
	s.sleepUntil(lateAt)
	if hasTrouble {
		s.store.PutJSON(servers, left.id, last)
		s.write("the store executes the last heartbeat of %s late", left.id)
	}
	s.sleepUntil(exitsAt)
	left.stop()
	s.write("%s exits", left.id)
	if hasTrouble {
		s.sleepUntil(lateAt + 3*beatInterval)
		s.store.Put(servers, left.id, nil)
		s.write("the entry of %s expires", left.id)
	}
	sending.Wait()
	return s.lateArrivals(left.id), nil
}

// lateArrivals returns the requests that reached a worker although their instance had
// passed on an answer which says that the worker is leaving, more than drainTime before the
// client sent them.
func (s *site) lateArrivals(left string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	toldAt := map[*instance]time.Duration{}
	for _, q := range s.requests {
		if at, ok := toldAt[q.instance]; q.isLeaving && (!ok || q.endedAt < at) {
			toldAt[q.instance] = q.endedAt
		}
	}
	var violations []string
	lost := 0
	for _, q := range s.requests {
		at, isTold := toldAt[q.instance]
		for k, id := range q.workers {
			if !isTold || id != left || q.sentAt <= at+drainTime {
				continue
			}
			violations = append(violations, fmt.Sprintf("DRAIN: %s passed on an answer with Server-Leaving at %.3f; request %s, sent at %.3f, reached %s at %.3f, client got %d",
				q.instance.name, at.Seconds(), q.id, q.sentAt.Seconds(), left, q.reachedAt[k].Seconds(), q.status))
			if q.status == http.StatusBadGateway || q.status == 0 {
				lost++
			}
		}
	}
	s.write("instances that passed on an answer with Server-Leaving: %d of %d; late requests without an answer of a worker: %d", len(toldAt), len(s.instances), lost)
	return violations
}
