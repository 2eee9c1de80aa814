package batch

import (
	"context"
	"strings"
	"time"

	"lycheecrank.example/speed"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct{ table *Table }

// SetPool replaces the specification and the eligible servers of a pool. The state of a
// server that remains is kept, and a removed server finishes its calls.
func (c Commands) SetPool(spec Spec, endpoints []Endpoint) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(spec.Pool)
	p.spec = spec
	servers := make(map[string]Server, len(endpoints))
	for id, s := range p.servers {
		if s.Calls > 0 {
			s.isDraining = true
			servers[id] = s
		}
	}
	for _, pl := range endpoints {
		s, ok := p.servers[pl.ID]
		if !ok || s.Address != pl.Address {
			s = newServer(pl)
		}
		s.isDraining, s.IsTrial, s.StartedUnixMilli = false, pl.IsTrial, pl.StartedUnixMilli
		servers[pl.ID] = s
	}
	p.setServers(servers)
	t.changed.Signal()
}

// Enqueue adds pieces to the queue of their pool.
func (c Commands) Enqueue(pieces []Piece) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, p := range pieces {
		t.pool(p.Pool).queue.add(p, now)
	}
	t.changed.Signal()
}

// RemoveRequest removes the waiting pieces of a request.
func (c Commands) RemoveRequest(request string) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.queue.removeRequest(request)
	}
}

// SetAnswerBy records when the instance that a request came to gives its final answers.
func (c Commands) SetAnswerBy(request string, at time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.queue.setAnswerBy(request, at)
	}
}

// Next blocks until a call can be sent. It returns false once the context has ended.
func (c Commands) Next(ctx context.Context) (Call, bool) {
	t := c.table
	stop := context.AfterFunc(ctx, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.changed.Broadcast()
	})
	defer stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	for ctx.Err() == nil {
		now := time.Now()
		t.expireResults(now)
		if call, ok := t.nextCall(now); ok {
			// Another call may be possible: let the next worker check.
			t.changed.Signal()
			return call, true
		}
		t.waitForChange(t.wakeAfter(now))
	}
	return Call{}, false
}

// waitForChange blocks until the table changes, or until a time limit if it is
// positive.
func (t *Table) waitForChange(limit time.Duration) {
	if limit > 0 {
		timer := time.AfterFunc(limit, t.wake)
		defer timer.Stop()
	}
	t.changed.Wait()
}

func (t *Table) wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed.Signal()
}

// CompletedPiece is a completed piece with the handle of its result.
type CompletedPiece struct {
	Piece  Piece
	Handle string
}

// CompleteCall records the results of a call. The memory reserved for pieces without a
// result is freed.
func (c Commands) CompleteCall(call Call, completed []CompletedPiece, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[call.Pool]
	unused := call.ResultBytes()
	for _, m := range completed {
		unused -= m.Piece.ResultBytes
		t.pieces[m.Handle] = m.Piece.Identity
		t.addResult(p, m.Handle, result{
			pool: call.Pool, server: call.Server.ID, address: call.Server.Address,
			dataCentre: call.Server.DataCentre, bytes: m.Piece.ResultBytes,
		}, now)
	}
	if s, ok := p.servers[call.Server.ID]; ok && s.Address == call.Server.Address {
		p.servers[s.ID] = s.WithCallEnd(now.Sub(call.SentAt), call.TypicalTime, unused, now)
		t.outages.RecordSuccess(s.DataCentre)
	}
	t.changed.Signal()
}

// FailCall records that a whole call failed. A server that is full is treated as busy,
// not as failed.
func (c Commands) FailCall(call Call, isFull bool, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[call.Pool]
	if s, ok := p.servers[call.Server.ID]; ok && s.Address == call.Server.Address {
		if isFull {
			s = s.WithCallEnd(0, 0, call.ResultBytes(), now).WithFull(now)
		} else {
			s = s.WithFailure(call.ResultBytes(), now)
			if took := now.Sub(call.SentAt); took >= call.Timeout() {
				s = s.WithTimeout(took, call.TypicalTime, now)
			}
			t.outages.RecordFailure(s.DataCentre, s.ID, now)
		}
		p.servers[s.ID] = s
	}
	t.changed.Signal()
}

// Pause records that a server wants no calls until a time.
func (c Commands) Pause(id string, until time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if s, ok := p.servers[id]; ok {
			p.servers[id] = s.WithPause(until)
		}
	}
}

// RecordLoad records the load that a server reported with a response, received at a time.
func (c Commands) RecordLoad(id string, load speed.Report, at time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if s, ok := p.servers[id]; ok {
			p.servers[id] = s.WithLoad(load, at)
		}
	}
}

// MarkFull records that a server had no memory for a result.
func (c Commands) MarkFull(call Call, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[call.Pool]
	if s, ok := p.servers[call.Server.ID]; ok {
		p.servers[s.ID] = s.WithFull(now)
	}
}

// ReleaseResults frees the memory of results. It is called after the stage servers that
// hold them have been notified, because the memory is in use until then.
func (c Commands) ReleaseResults(handles []string) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range handles {
		t.releaseResult(h)
	}
	t.changed.Signal()
}

// RestoreResults restores results that were computed for an earlier coordinator. A
// handle begins with the address of the stage server that holds the result.
func (c Commands) RestoreResults(pool string, handles []string, bytes int64, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return
	}
	for _, h := range handles {
		address, _, _ := strings.Cut(h, "/")
		_, isKnown := t.results[h]
		for id, s := range p.servers {
			if s.Address == address && h != "" && !isKnown {
				t.addResult(p, h, result{pool: pool, server: id, address: address, dataCentre: s.DataCentre, bytes: bytes}, now)
				p.servers[id] = s.WithRestored(bytes)
			}
		}
	}
}

// SetFreeMemory applies the free result memory that a server reports. Memory that is
// used by results which are not in this table, such as those of an earlier coordinator,
// counts as used for unaccountedLifetime. After that it counts as free, and the
// coordinator queries the server again if a piece finds it full.
func (c Commands) SetFreeMemory(pool, id string, free int64, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return
	}
	if s, ok := p.servers[id]; ok {
		p.servers[id] = s.WithUnaccounted(p.spec.ResultMemoryBytes-free-s.AllocatedMemory, now)
	}
	t.changed.Signal()
}
