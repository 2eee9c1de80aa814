// Package policy compares ways to dispatch a pool under load. It has test code
// only.
package policy

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// slots is how many steps a warm server runs at a time.
const slots = 8

// coldFor is how many steps must succeed until a server in cold start is warm.
const coldFor = 8

// server is a backend server as it really is, whatever instances believe.
type server struct {
	spec backend.Spec
	// took is the mean time of a step.
	took time.Duration

	mu          sync.Mutex
	running     int
	coldLeft    int
	fallenUntil time.Time
	// fell is closed when the server falls over and drops all that it runs.
	fell chan struct{}
}

func newServer(n int) *server {
	speeds := []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond}
	name := fmt.Sprintf("s%02d", n)
	return &server{
		spec: backend.Spec{Name: name, Pool: "p", Address: name, LowestRank: 9, MaxInFlight: slots, ColdInFlight: 1},
		took: speeds[n%len(speeds)], fell: make(chan struct{}),
	}
}

// begin takes a slot. It returns false if the server refuses.
func (s *server) begin(m *measure) (fell <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cold := s.coldLeft > 0
	switch {
	case time.Now().Before(s.fallenUntil):
		m.add(&m.pastLimit, 1)
		return nil, false
	case cold && s.running >= s.spec.ColdInFlight:
		m.add(&m.pastLimit, 1)
		m.add(&m.fallen, 1)
		close(s.fell)
		s.fell = make(chan struct{})
		s.fallenUntil, s.coldLeft = time.Now().Add(time.Second), coldFor
		return nil, false
	case s.running >= slots:
		m.add(&m.pastLimit, 1)
		return nil, false
	}
	s.running++
	return s.fell, true
}

func (s *server) end(succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if succeeded && s.coldLeft > 0 {
		s.coldLeft--
	}
}

func (s *server) report() backend.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backend.Report{Incarnation: "1", Cold: s.coldLeft > 0, MeasuredAt: time.Now()}
}

// perform runs a step: its time is the mean of the server, up to a fifth more or
// less, as the step has it.
func (s *server) perform(ctx context.Context, step request.Step, m *measure) *request.Failure {
	f := request.Failure{Reason: request.ReasonServerCold, Sent: true, Server: s.spec.Name}
	fell, ok := s.begin(m)
	if !ok {
		s.answer(step)
		return &f
	}
	started := time.Now()
	timer := time.NewTimer(time.Duration(float64(s.took) * (0.8 + 0.4*fraction(step.Input))))
	defer timer.Stop()
	select {
	case <-timer.C:
		s.end(true)
		m.work(&m.useful, started)
		return nil
	case <-fell:
		f.Reason = request.ReasonServerFailed
		s.answer(step)
	case <-ctx.Done():
		f.Reason = request.ReasonDeadlinePassed
	}
	s.end(false)
	m.work(&m.wasted, started)
	return &f
}

// answer takes the time of a refusal, which differs by step: what happens at the
// same moment would happen in any order.
func (s *server) answer(step request.Step) {
	time.Sleep(time.Duration((1 + fraction(step.Input)) * float64(time.Millisecond)))
}

// fraction returns a number in [0, 1) that depends on the input only, so that
// all policies get the same work.
func fraction(input []byte) float64 {
	h := fnv.New64a()
	_, _ = h.Write(input)
	return float64(h.Sum64()>>11) / math.Exp2(53)
}

// measure collects what an experiment shows. The window leaves out the start and
// the end.
type measure struct {
	from, until time.Time

	mu sync.Mutex
	// asked and answered count requests by rank.
	asked, answered [ranks]int
	// waiting counts the steps that wait anywhere for the pool.
	waiting    [ranks]int
	inversions int
	dispatches int
	pastLimit  int
	fallen     int
	// useful and wasted are the times that servers spent on steps that succeeded
	// and that did not.
	useful, wasted time.Duration
}

func (m *measure) add(counter *int, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*counter += n
}

// work adds the time since the start of a step, as far as the window has it.
func (m *measure) work(to *time.Duration, started time.Time) {
	ended := time.Now()
	if started.Before(m.from) {
		started = m.from
	}
	if ended.After(m.until) {
		ended = m.until
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	*to += max(0, ended.Sub(started))
}

// dispatched notes that a step of a rank was sent.
func (m *measure) dispatched(rank int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dispatches++
	for r := range rank {
		if m.waiting[r] > 0 {
			m.inversions++
			return
		}
	}
}

// asks notes a request that arrived at a moment.
func (m *measure) asks(rank int, at time.Time, answered bool) {
	if at.Before(m.from) || at.After(m.until) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked[rank]++
	if answered {
		m.answered[rank]++
	}
}
