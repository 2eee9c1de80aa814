package dispatch

import (
	"context"
	"errors"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/lock"
	"lycheecrank.example/request"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Do queues a step and waits for its outcome. If the context ends first, a
// waiting step is withdrawn; one that was dispatched is waited for, since its
// server gets the same context.
func (c Commands) Do(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error) {
	w := &waiting{ctx: ctx, step: step, sink: sink, enqueued: time.Now(), done: make(chan Outcome, 1), index: -1}
	if err := c.add(w); err != nil {
		return request.Result{}, err
	}
	select {
	case o := <-w.done:
		return o.unpack()
	case <-ctx.Done():
	}
	if c.withdraw(w) {
		return request.Result{}, contextFailure(ctx)
	}
	return (<-w.done).unpack()
}

func (o Outcome) unpack() (request.Result, error) {
	if o.Failure != nil {
		return request.Result{}, *o.Failure
	}
	return o.Result, nil
}

func contextFailure(ctx context.Context) request.Failure {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return request.Refuse(request.ReasonDeadlinePassed, "the deadline passed while the step waited")
	}
	return request.Refuse(request.ReasonCancelled, "the request was cancelled while the step waited")
}

// add puts a step into the queue unless it can't be served.
func (c Commands) add(w *waiting) error {
	t := c.table
	now := time.Now()
	rights := t.Rights(w.step.Pool, now)
	capacity := t.Capacity(w.step.Pool, w.step.Rank, rights)
	limit := t.MaxQueued(w.step.Pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal := c.enqueue(w, capacity, limit, now)
	if refusal != nil {
		t.decide(Decision{Step: w.step, Enqueued: w.enqueued, Reason: refusal.Reason, At: now})
		return *refusal
	}
	return nil
}

// enqueue adds a step or returns why not. The caller holds the lock.
func (c Commands) enqueue(w *waiting, capacity backend.Capacity, limit int, now time.Time) *request.Failure {
	t := c.table
	q, ok := t.pools[w.step.Pool]
	if !ok {
		q = newPoolQueue(w.step.Pool)
		t.pools[w.step.Pool] = q
		t.order = append(t.order, w.step.Pool)
	}
	if t.closed {
		return refusal(request.ReasonLeaving, "the instance is leaving")
	}
	if q.count >= limit {
		return refusal(request.ReasonQueueFull, "too many steps wait for pool "+q.name)
	}
	if capacity.Slots == 0 {
		return refusal(request.ReasonNoServer, "pool "+q.name+" has no server that may get work here")
	}
	wait := expectedWait(q.ahead(w.step.Rank), capacity)
	if now.Add(wait + capacity.Fastest).After(w.step.Deadline) {
		return refusal(request.ReasonDeadlineUnattainable, "the steps ahead take "+wait.String()+" and the step itself "+capacity.Fastest.String())
	}
	q.add(w)
	t.unfinished++
	t.arrived.Signal()
	t.changed.Signal()
	return nil
}

func refusal(r request.Reason, detail string) *request.Failure {
	f := request.Refuse(r, detail)
	return &f
}

// expectedWait is the time until a number of steps ahead have been dispatched;
// steps that fit into the pool's slots at once cost nothing.
func expectedWait(ahead int, c backend.Capacity) time.Duration {
	if c.PerSecond == 0 || ahead < c.Slots {
		return 0
	}
	return time.Duration(float64(ahead-c.Slots) / c.PerSecond * float64(time.Second))
}

func (c Commands) withdraw(w *waiting) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.pools[w.step.Pool].remove(w) {
		return false
	}
	t.leave()
	return true
}

// Next waits for a step that a server can take, and reserves the slot. It
// reports false once the context has ended.
func (c Commands) Next(ctx context.Context) (Assignment, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var a Assignment
	ok := lock.WaitUntil(ctx, t.changed, func() (ok bool) {
		if ctx.Err() == nil {
			a, ok = c.assign(time.Now())
		}
		return ok
	})
	if ok {
		// One change may have made several steps dispatchable.
		t.changed.Signal()
	}
	return a, ok
}

// assign takes the best step of the first pool that has a free server. The
// caller holds the lock.
func (c Commands) assign(now time.Time) (Assignment, bool) {
	t := c.table
	for i, name := range t.order {
		q := t.pools[name]
		w, s, ok := c.reserve(q, now)
		if !ok {
			continue
		}
		q.remove(w)
		q.charge(w)
		t.order = append(append(append([]string{}, t.order[i+1:]...), t.order[:i]...), name)
		t.decide(Decision{Step: w.step, Enqueued: w.enqueued, Server: s.Name, Waiting: q.ahead(w.step.Rank), At: now})
		return Assignment{Step: w.step, Server: s, Sink: w.sink, ctx: w.ctx, enqueued: w.enqueued, assigned: now, done: w.done}, true
	}
	return Assignment{}, false
}

// reserve takes a slot for the best step of a pool. A step that the best free
// server can't finish in time is refused: it would waste the slot, and passing
// it over would break the order. The caller holds the lock.
func (c Commands) reserve(q *poolQueue, now time.Time) (*waiting, backend.Server, bool) {
	t := c.table
	for w := q.best(); w != nil; w = q.best() {
		s, ok := t.Reserve(q.name, w.step.Rank, w.step.Avoid, t.Rights(q.name, now), now)
		if !ok {
			break
		}
		if !now.Add(s.LikelyTime(now)).After(w.step.Deadline) {
			return w, s, true
		}
		t.Return(s.Name)
		c.refuse(q, w, refusal(request.ReasonDeadlineUnattainable, "a step takes "+s.LikelyTime(now).String()+" at the best free server"), now)
	}
	return nil, backend.Server{}, false
}

// refuse takes a waiting step out of the queue. The caller holds the lock.
func (c Commands) refuse(q *poolQueue, w *waiting, f *request.Failure, now time.Time) {
	q.remove(w)
	c.table.leave()
	c.table.decide(Decision{Step: w.step, Enqueued: w.enqueued, Reason: f.Reason, At: now})
	w.done <- Outcome{Failure: f}
}

// Run executes an assignment and reports its outcome. It is the job of a
// worker. The call to the server ends with the worker's context or with the
// context of the step, whichever ends first, and with the cause of that one.
func (c Commands) Run(ctx context.Context, a Assignment) {
	t := c.table
	ctx, done := context.WithDeadline(ctx, a.Step.Deadline)
	defer done()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(a.ctx, func() { cancel(context.Cause(a.ctx)) })
	defer stop()
	now := time.Now()
	if f := c.checkRight(a, now); f != nil {
		t.Return(a.Server.Name)
		c.finish(a, Outcome{Failure: f})
		return
	}
	e := t.Execute(ctx, a)
	o := backend.Observation{Sent: now, Responded: e.Responded, Incarnation: e.Incarnation}
	if e.Failure != nil {
		o.Reason = e.Failure.Reason
		t.Failures.Add(string(o.Reason))
	}
	t.Release(a.Server.Name, o, time.Now())
	e.Result.Waited = a.assigned.Sub(a.enqueued)
	c.finish(a, Outcome{Result: e.Result, Failure: e.Failure})
}

// checkRight is the check at the last moment before a step is sent: an
// instance that was paused since the choice must not send any more.
func (c Commands) checkRight(a Assignment, now time.Time) *request.Failure {
	if !now.Before(a.Step.Deadline) {
		return refusal(request.ReasonDeadlinePassed, "the deadline passed before the step was sent")
	}
	s := c.table.current(a.Server)
	rights := c.table.Rights(a.Step.Pool, now)
	limit := s.Limit(rights)
	if s.InFlight <= limit {
		return nil
	}
	if limit == 0 && !s.IsLeaving() {
		return refusal(request.ReasonRightEnded, "the right to dispatch to pool "+a.Step.Pool+" has ended")
	}
	f := request.Refuse(request.ReasonServerCold, s.Name+" may get less work than when it was chosen")
	f.Server = s.Name
	return &f
}

func (c Commands) finish(a Assignment, o Outcome) {
	a.done <- o
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave()
	t.changed.Signal()
}

// Wake makes a waiting worker look again, after a slot has become free.
func (c Commands) Wake() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed.Signal()
}

// Sweep refuses the waiting steps whose deadline can't be met any more, and
// makes a worker look again, since rights and servers change with time.
func (c Commands) Sweep(now time.Time) {
	t := c.table
	capacities := c.capacities(now)
	var refused []*waiting
	t.mu.Lock()
	waitingSteps := 0
	for _, q := range t.pools {
		for rank, class := range q.classes {
			capacity, known := capacities[poolRank{q.name, rank}]
			if !known {
				continue
			}
			for _, w := range class.hopeless(capacity, now) {
				q.remove(w)
				refused = append(refused, w)
				t.leave()
				t.decide(Decision{Step: w.step, Enqueued: w.enqueued, Reason: sweepReason(w, capacity, now), At: now})
			}
		}
		waitingSteps += q.count
	}
	if waitingSteps > 0 {
		t.changed.Signal()
	}
	t.mu.Unlock()
	for _, w := range refused {
		r := sweepReason(w, capacities[poolRank{w.step.Pool, w.step.Rank}], now)
		w.done <- Outcome{Failure: refusal(r, "no server of pool "+w.step.Pool+" became free in time")}
	}
}

// sweepReason returns why a waiting step can't be served any more, or "".
func sweepReason(w *waiting, c backend.Capacity, now time.Time) request.Reason {
	switch {
	case now.Add(c.Fastest).After(w.step.Deadline):
		return request.ReasonDeadlineUnattainable
	case c.Slots == 0:
		return request.ReasonNoServer
	}
	return ""
}

// poolRank names a class of a pool. Not every server of a pool serves every
// class.
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
		for _, r := range q.ranks() {
			keys = append(keys, poolRank{name, r})
		}
	}
	t.mu.Unlock()
	capacities := make(map[poolRank]backend.Capacity, len(keys))
	for _, k := range keys {
		capacities[k] = t.Capacity(k.pool, k.rank, t.Rights(k.pool, now))
	}
	return capacities
}

// sweepInterval bounds how late a step is refused whose deadline can't be met.
const sweepInterval = 25 * time.Millisecond

// RunSweeps sweeps until the context ends.
func (c Commands) RunSweeps(ctx context.Context) error {
	started := time.Now()
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for c.awaitWaiting(ctx) {
		// Sweeps keep to a fixed beat, so that they fall on no event of a step that
		// came to an empty queue.
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

// awaitWaiting waits until there is a step in the queue and reports false once
// the context has ended.
func (c Commands) awaitWaiting(ctx context.Context) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return lock.WaitUntil(ctx, t.arrived, t.hasWaiting)
}

// AwaitIdle waits until no step is waiting or at a server, or the context ends,
// and returns the number of steps that are left.
func (c Commands) AwaitIdle(ctx context.Context) int {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	lock.WaitUntil(ctx, t.idle, func() bool { return t.unfinished == 0 })
	return t.unfinished
}

// Close refuses all further steps; those in the queue are still served.
func (c Commands) Close() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}
