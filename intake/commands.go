package intake

import (
	"context"
	"slices"
	"time"
)

// Commands modifies a Table. It is safe for concurrent use.
type Commands struct {
	table *Table
}

// Connect adds a connection. If its class is full, the connection that has been idle for
// the longest time is closed for it, or else the one whose request makes the least
// progress. If there is none of these either, Connect reports false.
func (c Commands) Connect(class Class, address string, control Control, now time.Time) (*Connection, bool) {
	t := c.table
	next := &Connection{table: t, class: class, address: address, control: control, idleSince: now}
	t.mu.Lock()
	var replaced *Connection
	phase := Idle
	if len(t.connections[class]) >= t.bounds.Connections[class] {
		if replaced = t.claimIdle(class); replaced == nil {
			replaced, phase = t.shedSlowest(class, now)
		}
		if replaced == nil {
			t.mu.Unlock()
			t.Counters.Add("connectionsRefused")
			return nil, false
		}
		t.disconnect(replaced)
	}
	t.connections[class][next] = struct{}{}
	t.mu.Unlock()
	if replaced != nil {
		t.Counters.Add("connectionsReplaced")
		replaced.control.Interrupt(phase)
	}
	return next, true
}

// CloseIdle closes the connections of a class that have no request, except those that have
// had none yet and were opened at or after a time, and those at which a request is arriving
// whose last bytes came within headTimeout. It returns how many it spares.
func (c Commands) CloseIdle(class Class, openedBefore time.Time, headTimeout time.Duration) (spared int) {
	t := c.table
	t.mu.Lock()
	var idle []*Connection
	for connection := range t.connections[class] {
		switch {
		case connection.active > 0:
		case connection.moved.Load() > 0, connection.idleSince.Before(openedBefore):
			idle = append(idle, connection)
		default:
			spared++
		}
	}
	t.mu.Unlock()
	for _, connection := range idle {
		if !connection.control.CloseIdle(headTimeout) {
			spared++
		}
	}
	return spared
}

// shedSlowest sheds the request of a class that makes the least progress and returns its
// connection and phase, nil if all make progress. The caller holds the lock.
func (t *Table) shedSlowest(class Class, now time.Time) (*Connection, Phase) {
	var slowest *Request
	for r := range t.requests {
		if r.connection.class != class || r.connection.isClosed || r.isShed {
			continue
		}
		r.progress = r.progress.withSample(r.connection.moved.Load(), now)
		if r.holder().canBeShed(true) && (slowest == nil || r.progress.rate < slowest.progress.rate) {
			slowest = r
		}
	}
	if slowest == nil {
		return nil, Idle
	}
	slowest.isShed = true
	return slowest.connection, slowest.phase
}

// claimIdle returns the connection of a class that has had no request for the longest time
// and may be closed, nil if there is none. The caller holds the lock.
func (t *Table) claimIdle(class Class) *Connection {
	var idle []*Connection
	for c := range t.connections[class] {
		if c.active == 0 {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *Connection) int { return a.idleSince.Compare(b.idleSince) })
	if n := slices.IndexFunc(idle, func(c *Connection) bool { return c.control.ClaimIdle() }); n >= 0 {
		return idle[n]
	}
	if n := slices.IndexFunc(idle, func(c *Connection) bool { return c.control.ClaimStalled() }); n >= 0 {
		return idle[n]
	}
	return nil
}

// disconnect removes a connection. The caller holds the lock.
func (t *Table) disconnect(c *Connection) {
	c.isClosed = true
	delete(t.connections[c.class], c)
}

// Disconnect removes a connection. Its requests stay until they end.
func (c Commands) Disconnect(connection *Connection) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disconnect(connection)
}

// Begin adds a request of a connection with BaseBytes. It waits for them like Grow. A nil
// connection has requests that aren't accounted for.
func (c *Connection) Begin(ctx context.Context, now time.Time) (*Request, error) {
	if c == nil {
		return nil, nil
	}
	t := c.table
	r := &Request{connection: c, progress: progress{sampledAt: now, moved: c.moved.Load()}}
	t.mu.Lock()
	c.active++
	t.requests[r] = struct{}{}
	if t.fits(r, BaseBytes) {
		t.grow(r, BaseBytes)
		t.mu.Unlock()
		return r, nil
	}
	w := t.startWaiting(r, BaseBytes, Patience, now)
	t.mu.Unlock()
	if err := t.await(ctx, w); err != nil {
		r.End(time.Now())
		return nil, err
	}
	return r, nil
}

// Track adds a request in a phase without memory, such as the messages of a connection
// between instances. A nil connection isn't accounted for.
func (c *Connection) Track(phase Phase, now time.Time) *Request {
	if c == nil {
		return nil
	}
	r := &Request{connection: c, phase: phase, progress: progress{sampledAt: now, moved: c.moved.Load()}}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.active++
	c.table.requests[r] = struct{}{}
	return r
}

// TrackHead adds a request of which only a part of the head has arrived: the connection has
// no request yet. A nil connection isn't accounted for.
func (c *Connection) TrackHead(now time.Time) *Request {
	if c == nil {
		return nil
	}
	r := &Request{connection: c, isHead: true, progress: progress{sampledAt: now, moved: c.moved.Load()}}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.requests[r] = struct{}{}
	return r
}

// Adopt takes over up to a number of bytes that the head of the request holds.
func (r *Request) Adopt(head *Request, bytes int64) {
	if r == nil || head == nil {
		return
	}
	t := r.connection.table
	t.mu.Lock()
	defer t.mu.Unlock()
	bytes = min(bytes, head.held)
	head.held -= bytes
	r.held += bytes
}

// Grow counts bytes for a request before they are allocated. While memory is short, it
// waits for up to patience.
func (r *Request) Grow(ctx context.Context, bytes int64, patience time.Duration) error {
	if r == nil {
		return nil
	}
	t := r.connection.table
	t.mu.Lock()
	if r.isShed || r.isEnded {
		t.mu.Unlock()
		return ErrShed
	}
	if t.fits(r, bytes) {
		t.grow(r, bytes)
		t.mu.Unlock()
		return nil
	}
	w := t.startWaiting(r, bytes, patience, time.Now())
	t.mu.Unlock()
	return t.await(ctx, w)
}

// startWaiting adds a waiter. The caller holds the lock.
func (t *Table) startWaiting(r *Request, bytes int64, patience time.Duration, now time.Time) *waiter {
	w := &waiter{request: r, bytes: bytes, until: now.Add(patience), done: make(chan error, 1)}
	if t.isClosed || r.held+bytes > t.bounds.largest() {
		w.done <- ErrShort
		return w
	}
	r.isWaiting = true
	t.waiting = append(t.waiting, w)
	t.wakeReview()
	return w
}

func (t *Table) wakeReview() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// await waits for the result of a waiter.
func (t *Table) await(ctx context.Context, w *waiter) error {
	t.Counters.Add("waited")
	var err error
	select {
	case err = <-w.done:
	case <-ctx.Done():
		err = t.withdraw(w, ctx.Err())
	}
	if err != nil {
		t.Counters.Add("refused")
	}
	return err
}

// withdraw ends a wait whose client has gone. If the memory was granted meanwhile, it
// stays with the request.
func (t *Table) withdraw(w *waiter, cause error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := slices.Index(t.waiting, w); n >= 0 {
		t.waiting = slices.Delete(t.waiting, n, n+1)
		w.request.isWaiting = false
	}
	return cause
}

// TryGrow counts bytes for a request if they are available, and reports whether they are.
func (r *Request) TryGrow(bytes int64) bool {
	if r == nil {
		return true
	}
	t := r.connection.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.isShed || !t.fits(r, bytes) {
		return false
	}
	t.grow(r, bytes)
	return true
}

// Overdraw counts bytes for a request that can't wait, also if that exceeds the account.
// Others wait until the excess is released.
func (r *Request) Overdraw(bytes int64) {
	if r == nil {
		return
	}
	t := r.connection.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grow(r, bytes)
}

// Shrink deducts bytes that a request has released.
func (r *Request) Shrink(bytes int64) {
	if r == nil {
		return
	}
	t := r.connection.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shrink(r, bytes)
}

// Advance begins a phase of a request. It returns ErrShed if the request was shed in the
// last phase, and must not go on.
func (r *Request) Advance(phase Phase, now time.Time) error {
	if r == nil {
		return nil
	}
	t := r.connection.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.isShed {
		return ErrShed
	}
	r.phase = phase
	r.progress = progress{sampledAt: now, moved: r.connection.moved.Load()}
	return nil
}

// IsShed reports whether the request was shed.
func (r *Request) IsShed() bool {
	if r == nil {
		return false
	}
	t := r.connection.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.isShed
}

// End removes a request and deducts its memory.
func (r *Request) End(now time.Time) {
	if r == nil {
		return
	}
	t := r.connection.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.isEnded {
		return
	}
	r.isEnded = true
	delete(t.requests, r)
	t.shrink(r, r.held)
	if r.isHead {
		return
	}
	r.connection.active--
	r.connection.idleSince = now
}
