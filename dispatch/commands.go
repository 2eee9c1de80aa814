package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/lock"
	"lycheecrank.example/request"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Do queues a step and waits for its outcome. If the context ends first, a step
// that is still queued is withdrawn. For a dispatched step, Do waits until the
// call to the server returns, which the same context cancels.
func (c Commands) Do(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error) {
	w := &waitingStep{ctx: ctx, step: step, sink: sink, enqueued: time.Now(), done: make(chan Outcome, 1), index: -1}
	if err := c.add(w); err != nil {
		return request.Result{}, err
	}
	select {
	case o := <-w.done:
		return o.unpack()
	case <-ctx.Done():
	}
	if c.withdraw(w) {
		return request.Result{}, contextRefusal(ctx)
	}
	return (<-w.done).unpack()
}

func (o Outcome) unpack() (request.Result, error) {
	if o.Failure != nil {
		return request.Result{}, *o.Failure
	}
	return o.Result, nil
}

func contextRefusal(ctx context.Context) request.Failure {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return request.Refuse(request.ReasonDeadlinePassed, "the deadline passed while the step was queued")
	}
	return request.Refuse(request.ReasonCancelled, "the request was cancelled while the step was queued")
}

// add queues a step or returns the reason for its refusal.
func (c Commands) add(w *waitingStep) error {
	t := c.table
	now := time.Now()
	permission := t.Permission(w.step.Pool, now)
	capacity := t.Capacity(w.step.Pool, w.step.Rank, permission)
	limit := t.MaxQueued(w.step.Pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal := c.enqueue(w, capacity, limit, now)
	if refusal != nil {
		t.reportDecision(Decision{Step: w.step, EnqueuedAt: w.enqueued, Reason: refusal.Reason, DecidedAt: now})
		return *refusal
	}
	return nil
}

// enqueue queues a step or returns its refusal. The caller holds the lock.
func (c Commands) enqueue(w *waitingStep, capacity backend.Capacity, limit int, now time.Time) *request.Failure {
	t := c.table
	q, ok := t.pools[w.step.Pool]
	if !ok {
		q = newPoolQueue(w.step.Pool)
		t.pools[w.step.Pool] = q
		t.poolOrder = append(t.poolOrder, w.step.Pool)
	}
	if t.closed {
		return newRefusal(request.ReasonLeaving, "the instance is leaving")
	}
	if q.count >= limit {
		return newRefusal(request.ReasonQueueFull, "the queue is full for pool "+q.name)
	}
	if capacity.Slots == 0 {
		return newRefusal(request.ReasonNoServer, "pool "+q.name+" has no server that this instance may dispatch to: any server is leaving, in backoff, not for this class, or excluded by the permission")
	}
	wait := expectedWait(q.countUpToRank(w.step.Rank), capacity)
	if now.Add(wait + capacity.MinServiceTime).After(w.step.Deadline) {
		return newRefusal(request.ReasonDeadlineUnattainable, "the deadline cannot be met: expected queue wait "+wait.String()+", shortest service time "+capacity.MinServiceTime.String())
	}
	q.add(w)
	t.unfinished++
	t.stepQueued.Signal()
	t.dispatchable.Signal()
	return nil
}

func newRefusal(r request.Reason, detail string) *request.Failure {
	f := request.Refuse(r, detail)
	return &f
}

// expectedWait estimates the time until a number of steps ahead have been
// dispatched. Steps that fit into the slots of the pool simultaneously add no wait.
func expectedWait(ahead int, c backend.Capacity) time.Duration {
	if c.StepsPerSecond == 0 || ahead < c.Slots {
		return 0
	}
	return time.Duration(float64(ahead-c.Slots) / c.StepsPerSecond * float64(time.Second))
}

// withdraw removes a step from the queue and reports whether it was queued.
func (c Commands) withdraw(w *waitingStep) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.pools[w.step.Pool].remove(w) {
		return false
	}
	t.markFinished()
	return true
}

// Next waits until a step can be dispatched and reserves a slot for it. It
// returns false once the context has ended.
func (c Commands) Next(ctx context.Context) (Assignment, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var a Assignment
	ok := lock.WaitUntil(ctx, t.dispatchable, func() (ok bool) {
		if ctx.Err() == nil {
			a, ok = c.assign(time.Now())
		}
		return ok
	})
	if ok {
		// One change may have made several steps dispatchable.
		t.dispatchable.Signal()
	}
	return a, ok
}

// assign dispatches the next step of the first pool that has an available
// server. The caller holds the lock.
func (c Commands) assign(now time.Time) (Assignment, bool) {
	t := c.table
	for i, name := range t.poolOrder {
		q := t.pools[name]
		w, s, ok := c.reserve(q, now)
		if !ok {
			continue
		}
		q.remove(w)
		q.chargeWorkspace(w)
		t.poolOrder = append(append(append([]string{}, t.poolOrder[i+1:]...), t.poolOrder[:i]...), name)
		t.reportDecision(Decision{Step: w.step, EnqueuedAt: w.enqueued, Server: s.Name, Waiting: q.countUpToRank(w.step.Rank), DecidedAt: now})
		return Assignment{Step: w.step, Server: s, Sink: w.sink, ctx: w.ctx, enqueued: w.enqueued, assigned: now, done: w.done}, true
	}
	return Assignment{}, false
}

// reserve reserves a slot for the next step of a pool. A step that neither the best nor
// the second best available server can finish before the deadline is refused: it would
// waste the slot, and skipping it would break the order. The best server may be slow, if
// it is chosen to warm up. The caller holds the lock.
func (c Commands) reserve(q *poolQueue, now time.Time) (*waitingStep, backend.Server, bool) {
	t := c.table
	for w := q.peek(); w != nil; w = q.peek() {
		permission, avoid := t.Permission(q.name, now), w.step.AvoidServers
		s, ok := t.Reserve(q.name, w.step.Rank, avoid, permission, now)
		if !ok {
			break
		}
		if !canMissDeadline(s, w.step, now) {
			return w, s, true
		}
		t.CancelReservation(s.Name)
		avoid = append(slices.Clip(avoid), s.Name)
		if s, ok := t.Reserve(q.name, w.step.Rank, avoid, permission, now); ok {
			if !canMissDeadline(s, w.step, now) {
				return w, s, true
			}
			t.CancelReservation(s.Name)
		}
		c.refuse(q, w, newRefusal(request.ReasonDeadlineUnattainable, "the deadline cannot be met: a step may take "+s.ServiceTimeBound(now).String()+" on the best available server"), now)
	}
	return nil, backend.Server{}, false
}

// canMissDeadline reports whether a step may take longer on a server than its deadline
// allows.
func canMissDeadline(s backend.Server, step request.Step, now time.Time) bool {
	return now.Add(s.ServiceTimeBound(now)).After(step.Deadline)
}

// refuse removes a waiting step from the queue and sends it its refusal. The
// caller holds the lock.
func (c Commands) refuse(q *poolQueue, w *waitingStep, f *request.Failure, now time.Time) {
	q.remove(w)
	c.table.markFinished()
	c.table.reportDecision(Decision{Step: w.step, EnqueuedAt: w.enqueued, Reason: f.Reason, DecidedAt: now})
	w.done <- Outcome{Failure: f}
}

// Run executes an assignment and sends its outcome to the caller of Do. It is
// called by a worker. The call to the server is cancelled when the context of the
// worker or that of the step ends, with the cause of the one that ended first.
func (c Commands) Run(ctx context.Context, a Assignment) {
	t := c.table
	ctx, cancelDeadline := context.WithDeadline(ctx, a.Step.Deadline)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(a.ctx, func() { cancel(context.Cause(a.ctx)) })
	defer stop()
	now := time.Now()
	if f := c.checkBeforeSend(a, now); f != nil {
		t.CancelReservation(a.Server.Name)
		c.finish(a, Outcome{Failure: f})
		return
	}
	e := t.Execute(ctx, a)
	o := backend.Observation{SentAt: now, ResponseTime: e.ResponseTime, Incarnation: e.Incarnation}
	if e.Failure != nil {
		o.Reason = e.Failure.Reason
		t.Failures.Add(string(o.Reason))
	}
	t.Release(a.Server.Name, o, time.Now())
	e.Result.QueueTime = a.assigned.Sub(a.enqueued)
	c.finish(a, Outcome{Result: e.Result, Failure: e.Failure})
}

// checkBeforeSend checks immediately before a step is sent that the deadline, the
// permission and the limit of the server still allow it. They may have changed
// if the process was paused after the server was selected.
func (c Commands) checkBeforeSend(a Assignment, now time.Time) *request.Failure {
	if !now.Before(a.Step.Deadline) {
		return newRefusal(request.ReasonDeadlinePassed, "the deadline passed before the step was sent")
	}
	s := c.table.currentServer(a.Server)
	permission := c.table.Permission(a.Step.Pool, now)
	limit := s.Limit(permission)
	if s.InFlight <= limit {
		return nil
	}
	if limit == 0 && !s.IsLeaving() {
		return newRefusal(request.ReasonPermissionExpired, "the permission to dispatch to pool "+a.Step.Pool+" has expired")
	}
	f := request.Refuse(request.ReasonServerCold, s.Name+" no longer accepts the step: it is leaving, or its limit was lowered after it was selected")
	f.Server = s.Name
	return &f
}

// finish sends the outcome of an assignment and wakes a worker for the freed
// slot.
func (c Commands) finish(a Assignment, o Outcome) {
	a.done <- o
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markFinished()
	t.dispatchable.Signal()
}

// WakeWorker makes an idle worker search for a dispatchable step again, after a slot
// or a permission has become available.
func (c Commands) WakeWorker() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatchable.Signal()
}

// Sweep refuses the waiting steps whose deadline can no longer be met. It also
// wakes a worker, since permissions and backoffs change with time alone.
func (c Commands) Sweep(now time.Time) {
	t := c.table
	capacities := c.capacities(now)
	var refused []*waitingStep
	t.mu.Lock()
	waitingSteps := 0
	for _, q := range t.pools {
		for rank, class := range q.classes {
			capacity, known := capacities[poolRank{q.name, rank}]
			if !known {
				continue
			}
			for _, w := range class.unservable(capacity, now) {
				q.remove(w)
				refused = append(refused, w)
				t.markFinished()
				t.reportDecision(Decision{Step: w.step, EnqueuedAt: w.enqueued, Reason: sweepReason(w, capacity, now), DecidedAt: now})
			}
		}
		waitingSteps += q.count
	}
	if waitingSteps > 0 {
		t.dispatchable.Signal()
	}
	t.mu.Unlock()
	for _, w := range refused {
		r := sweepReason(w, capacities[poolRank{w.step.Pool, w.step.Rank}], now)
		w.done <- Outcome{Failure: newRefusal(r, "pool "+w.step.Pool+" has no server that this instance may dispatch to, or none was free in time for the deadline")}
	}
}

// sweepReason returns the reason why a waiting step can no longer be served, or
// "".
func sweepReason(w *waitingStep, c backend.Capacity, now time.Time) request.Reason {
	switch {
	case now.Add(c.MinServiceTime).After(w.step.Deadline):
		return request.ReasonDeadlineUnattainable
	case c.Slots == 0:
		return request.ReasonNoServer
	}
	return ""
}

// poolRank identifies a class of a pool. Capacity differs by class, since not
// every server of a pool serves every class.
type poolRank struct {
	pool string
	rank int
}

// capacities returns the capacity of each pool for the classes with waiting
// steps.
func (c Commands) capacities(now time.Time) map[poolRank]backend.Capacity {
	t := c.table
	var keys []poolRank
	t.mu.Lock()
	for name, q := range t.pools {
		for _, r := range q.waitingRanks() {
			keys = append(keys, poolRank{name, r})
		}
	}
	t.mu.Unlock()
	capacities := make(map[poolRank]backend.Capacity, len(keys))
	for _, k := range keys {
		capacities[k] = t.Capacity(k.pool, k.rank, t.Permission(k.pool, now))
	}
	return capacities
}

// sweepInterval bounds the delay until a step whose deadline can't be met is
// refused.
const sweepInterval = 25 * time.Millisecond

// RunSweeps calls Sweep every sweepInterval while steps are waiting, until the
// context ends.
func (c Commands) RunSweeps(ctx context.Context) error {
	started := time.Now()
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for c.awaitQueuedStep(ctx) {
		// Sweeps stay on a fixed schedule. If the interval started when a step is queued,
		// sweeps would fall on multiples of sweepInterval after its arrival and coincide
		// with events of that step, such as a deadline at a round time.
		timer.Reset(sweepInterval - time.Since(started)%sweepInterval)
		select {
		case <-ctx.Done():
			return nil
		case now := <-timer.C:
			c.Sweep(now)
		}
	}
	return nil
}

// awaitQueuedStep waits until a step is queued and returns false once the context
// has ended.
func (c Commands) awaitQueuedStep(ctx context.Context) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return lock.WaitUntil(ctx, t.stepQueued, t.hasWaiting)
}

// AwaitIdle waits until no step is waiting or assigned to a server, or until the
// context ends, and returns the number of unfinished steps.
func (c Commands) AwaitIdle(ctx context.Context) int {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	lock.WaitUntil(ctx, t.idle, func() bool { return t.unfinished == 0 })
	return t.unfinished
}

// Close makes the table refuse new steps. Steps that are already queued are still
// dispatched.
func (c Commands) Close() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}
