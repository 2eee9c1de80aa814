// Package policy compares dispatch policies by simulating a pool under load. It
// contains only tests.
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

// slots is the number of steps that a warm server runs concurrently.
const slots = 8

// stepsUntilWarm is the number of steps that must succeed until a cold server is
// warm.
const stepsUntilWarm = 8

// simulatedServer is a backend server with its actual state, from which the views of
// the instances may differ.
type simulatedServer struct {
	spec backend.Spec
	// meanServiceTime is the mean service time of a step.
	meanServiceTime time.Duration
	timeline        *timeline

	mu            sync.Mutex
	running       int
	coldStepsLeft int
	crashedUntil  time.Time
	// crashed is closed when the server crashes and all its running steps fail.
	crashed chan struct{}
}

func newServer(n int, l *timeline) *simulatedServer {
	speeds := []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond}
	name := fmt.Sprintf("s%02d", n)
	return &simulatedServer{
		spec:            backend.Spec{Name: name, Pool: "p", Address: name, LowestRank: 9, MaxInFlight: slots, ColdInFlight: 1},
		meanServiceTime: speeds[n%len(speeds)], timeline: l, crashed: make(chan struct{}),
	}
}

// begin starts a step. It returns false if the server rejects it. A cold server
// that gets more steps than its cold limit crashes.
func (s *simulatedServer) begin(m *results) (fell <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cold := s.coldStepsLeft > 0
	switch {
	case time.Now().Before(s.crashedUntil):
		m.add(&m.overLimit, 1)
		return nil, false
	case cold && s.running >= s.spec.ColdInFlight:
		m.add(&m.overLimit, 1)
		m.add(&m.crashes, 1)
		close(s.crashed)
		s.crashed = make(chan struct{})
		s.crashedUntil, s.coldStepsLeft = time.Now().Add(time.Second), stepsUntilWarm
		return nil, false
	case s.running >= slots:
		m.add(&m.overLimit, 1)
		return nil, false
	}
	s.running++
	return s.crashed, true
}

func (s *simulatedServer) end(succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if succeeded && s.coldStepsLeft > 0 {
		s.coldStepsLeft--
	}
}

func (s *simulatedServer) report() backend.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backend.Report{Incarnation: "1", Cold: s.coldStepsLeft > 0, MeasuredAt: time.Now()}
}

// perform runs a step. Its duration is the mean service time of the server,
// varied by up to 20 % depending on the input of the step.
func (s *simulatedServer) perform(ctx context.Context, step request.Step, m *results) *request.Failure {
	f := request.Failure{Reason: request.ReasonServerCold, Sent: true, Server: s.spec.Name}
	fell, ok := s.begin(m)
	if !ok {
		s.waitResponse(step)
		return &f
	}
	started := time.Now()
	serviceTime := time.Duration(float64(s.meanServiceTime) * (0.8 + 0.4*fraction(step.Input)))
	select {
	case <-s.timeline.after(serviceTime, eventKey(step)):
		s.end(true)
		m.addServerTime(&m.useful, started)
		return nil
	case <-fell:
		f.Reason = request.ReasonServerFailed
		s.waitResponse(step)
	case <-ctx.Done():
		f.Reason = request.ReasonDeadlinePassed
	}
	s.end(false)
	m.addServerTime(&m.wasted, started)
	return &f
}

// waitResponse waits for the response time of a failed step, which varies by step.
func (s *simulatedServer) waitResponse(step request.Step) {
	<-s.timeline.after(time.Duration((1+fraction(step.Input))*float64(time.Millisecond)), eventKey(step))
}

// eventKey returns the key of the events of a step. The input differs by request, and
// nothing waits for more than one event of a request.
func eventKey(step request.Step) string { return "step " + string(step.Input) }

// fraction returns a number in [0, 1) that depends only on the input, so that all
// policies get the same work.
func fraction(input []byte) float64 {
	h := fnv.New64a()
	_, _ = h.Write(input)
	return float64(h.Sum64()>>11) / math.Exp2(53)
}

// results collects the results of an experiment in the measured window, which
// excludes the warm-up and the end.
type results struct {
	from, until time.Time

	mu sync.Mutex
	// requests and succeeded count the requests, and those that succeeded in time, by
	// rank.
	requests, succeeded [ranks]int
	// waiting counts the waiting steps of the pool on all dispatchers, by rank.
	waiting    [ranks]int
	inversions int
	dispatches int
	overLimit  int
	crashes    int
	// useful and wasted are the total times that servers spent on steps that
	// succeeded and steps that failed.
	useful, wasted time.Duration
}

func (m *results) add(counter *int, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*counter += n
}

// addServerTime adds the time after the start of a step, as far as it is within the
// window.
func (m *results) addServerTime(to *time.Duration, started time.Time) {
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

// recordDispatch counts a dispatched step of a rank, and a priority inversion if a
// step of a better class was waiting.
func (m *results) recordDispatch(rank int) {
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

// recordRequest counts a request by its time of arrival.
func (m *results) recordRequest(rank int, at time.Time, answered bool) {
	if at.Before(m.from) || at.After(m.until) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[rank]++
	if answered {
		m.succeeded[rank]++
	}
}
