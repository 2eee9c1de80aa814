package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/lock"
	"lycheecrank.example/request"
	"lycheecrank.example/stage"
)

// The ways of dispatching that results are compared with.
const (
	// RoundRobin sends every step to the next server, without limits and queues.
	RoundRobin = "roundRobin"
	// LeastInFlight sends a step to the server with the fewest steps of the same
	// instance, of which each may have its share of the server's limit; further
	// steps wait in order of arrival.
	LeastInFlight = "leastInFlight"
)

// baselineAttempts bounds the attempts of a step that may be repeated, as a
// usual client with two retries has.
const baselineAttempts = 3

// Dispatcher calls backend servers directly, stage by stage, as a number of
// independent instances without ownership, classes and warmth would. Create it
// with NewDispatcher. Concurrent calls are safe.
type Dispatcher struct {
	// Execute runs a step at a server.
	Execute func(ctx context.Context, step request.Step, s backend.Server, sink request.Sink) stage.Execution

	balance   string
	pipelines map[string][]catalogue.Stage
	instances []string

	mu       *lock.Ranked
	servers  []backend.Server
	share    int
	takenOut map[string]bool
	down     map[int]context.CancelFunc
	contexts []context.Context
	turn     int
	turns    map[string]int
	inFlight map[string]int
	// waiting holds the steps without a server in order of arrival.
	waiting []waiter
}

// waiter is a step that waits for a server.
type waiter struct {
	instance int
	pool     string
	// granted takes the server that the step may use; it holds one.
	granted chan backend.Server
}

// NewDispatcher returns a dispatcher for the servers of a site.
func NewDispatcher(s *Site, balance string) *Dispatcher {
	d := &Dispatcher{
		Execute: stage.NewClient(NewHTTP()).Execute, balance: balance,
		pipelines: map[string][]catalogue.Stage{},
		mu:        lock.New(rankTally+3, "bench dispatcher"), share: s.cell.Instances,
		takenOut: map[string]bool{}, down: map[int]context.CancelFunc{}, turns: map[string]int{}, inFlight: map[string]int{},
	}
	for _, e := range s.cell.Entries {
		switch e.Kind {
		case catalogue.PipelineKind:
			d.pipelines[e.Name] = e.Stages
		case catalogue.ServiceKind:
			d.pipelines[e.Name] = []catalogue.Stage{{Name: "call", Kind: request.Call, Pool: e.Pool}}
		}
	}
	for _, one := range s.servers {
		d.servers = append(d.servers, backend.Server{Spec: backend.Spec{
			Name: one.Name, Pool: one.Pool, DataCentre: one.DataCentre, Address: one.address, MaxInFlight: one.Group.MaxInFlight,
		}})
	}
	for _, dc := range s.cell.DataCentres {
		for range s.cell.Instances {
			ctx, stop := context.WithCancel(context.Background())
			d.down[len(d.instances)] = stop
			d.contexts = append(d.contexts, ctx)
			d.instances = append(d.instances, dc)
		}
	}
	return d
}

// SetTakenOut says whether a data centre may get new work; all instances know
// at once.
func (d *Dispatcher) SetTakenOut(dataCentre string, out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.takenOut[dataCentre] = out
	d.grant()
}

// Kill ends an instance, counted from 1, with all its requests. The balancer
// notices after the time between two checks.
func (d *Dispatcher) Kill(number int) error {
	d.mu.Lock()
	stop, ok := d.down[number-1]
	d.mu.Unlock()
	if !ok {
		return eris.Errorf("no instance %d", number)
	}
	stop()
	time.AfterFunc(readyEvery, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.down, number-1)
	})
	return nil
}

// choose returns the instance for the next request.
func (d *Dispatcher) choose() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for range d.instances {
		d.turn = (d.turn + 1) % len(d.instances)
		if _, up := d.down[d.turn]; up {
			return d.turn
		}
	}
	return d.turn
}

// Send runs one request through its stages.
func (d *Dispatcher) Send(ctx context.Context, a Arrival, start time.Time) Reply {
	instance := d.choose()
	ctx, cancel := context.WithDeadline(ctx, start.Add(a.Timeout))
	defer cancel()
	defer context.AfterFunc(d.contexts[instance], cancel)()
	if d.contexts[instance].Err() != nil {
		return Reply{Err: errNoneReady}
	}
	run := baselineRun{Dispatcher: d, instance: instance, arrival: a, start: start, input: []byte(a.Input)}
	for _, s := range d.pipelines[a.Target] {
		if f := run.stage(ctx, s); f != nil {
			if d.contexts[instance].Err() != nil {
				return Reply{Err: errNoneReady}
			}
			return Reply{RequestID: a.ID(), Outcome: run.outcome(*f), Reason: string(f.Reason)}
		}
	}
	run.reply.RequestID, run.reply.Outcome, run.reply.Output = a.ID(), request.Ran, run.input
	return run.reply
}

// baselineRun is one request on its way.
type baselineRun struct {
	*Dispatcher
	instance int
	arrival  Arrival
	start    time.Time
	input    []byte
	sent     bool
	reply    Reply
}

func (r *baselineRun) outcome(f request.Failure) request.Outcome {
	if r.sent || f.Sent {
		return request.MayHaveRun
	}
	return request.NotRun
}

func (r *baselineRun) stage(ctx context.Context, s catalogue.Stage) *request.Failure {
	step := request.Step{
		RequestID: r.arrival.ID(), Workspace: r.arrival.Workspace, Stage: s.Name, Kind: s.Kind, Pool: s.Pool,
		Attempt: 1, Input: r.input, Operation: r.arrival.Operation, Deadline: r.start.Add(r.arrival.Timeout),
	}
	if r.arrival.Keyed {
		step.Key = r.arrival.ID()
	}
	for {
		f := r.attempt(ctx, step)
		if f == nil {
			return nil
		}
		r.sent = r.sent || f.Sent
		if r.arrival.Keyed && f.Sent || step.Attempt == baselineAttempts || ctx.Err() != nil {
			return f
		}
		step = step.WithRetry(*f)
	}
}

func (r *baselineRun) attempt(ctx context.Context, step request.Step) *request.Failure {
	server, err := r.acquire(ctx, r.instance, step.Pool)
	if err != nil {
		f := request.Refuse(request.ReasonDeadlinePassed, "waited for a server until the deadline")
		return &f
	}
	defer r.release(r.instance, server)
	var sink request.Sink
	if r.arrival.Streamed && step.Kind == request.Generate {
		sink = r.piece()
	}
	e := r.Execute(ctx, step, server, sink)
	if e.Failure == nil {
		r.input = e.Result.Output
	}
	return e.Failure
}

// piece returns a sink that times the pieces of a new attempt.
func (r *baselineRun) piece() request.Sink {
	r.reply = Reply{}
	var last time.Time
	return func(request.Piece) error {
		now := time.Now()
		if last.IsZero() {
			r.reply.FirstPiece = now.Sub(r.start)
		} else {
			r.reply.Gaps = append(r.reply.Gaps, now.Sub(last))
		}
		last = now
		return nil
	}
}

// acquire returns a server for a step of an instance, and waits for one if the
// limits allow none.
func (d *Dispatcher) acquire(ctx context.Context, instance int, pool string) (backend.Server, error) {
	w := waiter{instance, pool, make(chan backend.Server, 1)}
	d.mu.Lock()
	d.waiting = append(d.waiting, w)
	d.grant()
	d.mu.Unlock()
	select {
	case s := <-w.granted:
		return s, nil
	case <-ctx.Done():
		d.abandon(w)
		return backend.Server{}, ctx.Err()
	}
}

// abandon removes a waiting step, and gives its server back if it was granted
// one in the meantime.
func (d *Dispatcher) abandon(w waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = slices.DeleteFunc(d.waiting, func(o waiter) bool { return o.granted == w.granted })
	select {
	case s := <-w.granted:
		d.inFlight[slot(w.instance, s)]--
		d.grant()
	default:
	}
}

func (d *Dispatcher) release(instance int, s backend.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[slot(instance, s)]--
	d.grant()
}

// queue names the steps that wait for the same servers.
type queue struct {
	instance int
	pool     string
}

// grant gives free servers to the waiting steps in order of arrival. The lock is
// held.
func (d *Dispatcher) grant() {
	full := map[queue]bool{}
	d.waiting = slices.DeleteFunc(d.waiting, func(w waiter) bool {
		q := queue{w.instance, w.pool}
		if full[q] {
			return false
		}
		s, ok := d.pick(w.instance, w.pool)
		if !ok {
			full[q] = true
			return false
		}
		d.inFlight[slot(w.instance, s)]++
		w.granted <- s
		return true
	})
}

func slot(instance int, s backend.Server) string { return fmt.Sprintf("%d/%s", instance, s.Name) }

// pick chooses a server of the instance's data centre, or of all that are in
// service if its own is not.
func (d *Dispatcher) pick(instance int, pool string) (backend.Server, bool) {
	home := d.instances[instance]
	var open []backend.Server
	for _, s := range d.servers {
		if s.Pool == pool && !d.takenOut[s.DataCentre] && (s.DataCentre == home || d.takenOut[home]) {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return backend.Server{}, false
	}
	if d.balance == RoundRobin {
		key := fmt.Sprintf("%d/%s", instance, pool)
		d.turns[key]++
		return open[d.turns[key]%len(open)], true
	}
	best, found := backend.Server{}, false
	for _, s := range open {
		s.InFlight = d.inFlight[slot(instance, s)]
		if s.InFlight < max(1, s.MaxInFlight/d.share) && (!found || s.InFlight < best.InFlight) {
			best, found = s, true
		}
	}
	return best, found
}
