package batch

import (
	"context"
	"strings"
	"time"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct{ table *Table }

// SetPool takes over what a pool declares and which of its servers may get work.
// What is known of a server that stays is kept.
func (c Commands) SetPool(spec Spec, places []Place) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(spec.Pool)
	p.spec = spec
	servers := make(map[string]Server, len(places))
	for id, s := range p.servers {
		if s.Calls > 0 {
			s.isUnlisted = true
			servers[id] = s
		}
	}
	for _, pl := range places {
		s, ok := p.servers[pl.ID]
		if !ok || s.Address != pl.Address {
			s = newServer(pl)
		}
		s.isUnlisted = false
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

// Withdraw removes the waiting pieces of a request.
func (c Commands) Withdraw(request string) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.queue.removeRequest(request)
	}
}

// Next blocks until a call is due. It reports false once the context has ended.
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
		t.expire(now)
		if call, ok := t.next(now); ok {
			// There may be more: the next worker looks.
			t.changed.Signal()
			return call, true
		}
		t.wait(t.wakeAfter(now))
	}
	return Call{}, false
}

// wait waits for a change, at most for a time if one is given.
func (t *Table) wait(limit time.Duration) {
	if limit > 0 {
		timer := time.AfterFunc(limit, t.rouse)
		defer timer.Stop()
	}
	t.changed.Wait()
}

func (t *Table) rouse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed.Signal()
}

// Made is a result of a call.
type Made struct {
	Piece  Piece
	Handle string
}

// End takes over the results of a call. Pieces that are not among them use no
// room.
func (c Commands) End(call Call, made []Made, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[call.Pool]
	unused := call.Bytes()
	for _, m := range made {
		unused -= m.Piece.Bytes
		t.keep(p, m.Handle, result{
			pool: call.Pool, server: call.Server.ID, address: call.Server.Address,
			dataCentre: call.Server.DataCentre, bytes: m.Piece.Bytes,
		}, now)
	}
	if s, ok := p.servers[call.Server.ID]; ok && s.Address == call.Server.Address {
		p.servers[s.ID] = s.WithEnd(now.Sub(call.SentAt), call.Usual, unused, now)
		t.outages.RecordSuccess(s.DataCentre)
	}
	t.changed.Signal()
}

// Fail notes that a call failed as a whole. A server that is full counts as busy,
// not as failed.
func (c Commands) Fail(call Call, isFull bool, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[call.Pool]
	if s, ok := p.servers[call.Server.ID]; ok && s.Address == call.Server.Address {
		if isFull {
			s = s.WithEnd(0, 0, call.Bytes(), now).WithFull(now)
		} else {
			s = s.WithFailure(call.Bytes(), now)
			if took := now.Sub(call.SentAt); took >= call.Limit() {
				s = s.WithTimeout(took, call.Usual, now)
			}
			t.outages.RecordFailure(s.DataCentre, s.ID, now)
		}
		p.servers[s.ID] = s
	}
	t.changed.Signal()
}

// MarkFull notes that a server had no room for a result.
func (c Commands) MarkFull(call Call, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[call.Pool]
	if s, ok := p.servers[call.Server.ID]; ok {
		p.servers[s.ID] = s.WithFull(now)
	}
}

// Release gives back the room of results. It is called once their makers were
// told, since the room is taken until then.
func (c Commands) Release(handles []string) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range handles {
		t.release(h)
	}
	t.changed.Signal()
}

// Adopt counts results that an earlier coordinator had made. Their handles begin
// with the address of their maker.
func (c Commands) Adopt(pool string, handles []string, bytes int64, now time.Time) {
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
				t.keep(p, h, result{pool: pool, server: id, address: address, dataCentre: s.DataCentre, bytes: bytes}, now)
				p.servers[id] = s.WithAdopted(bytes)
			}
		}
	}
}

// Correct takes over how much room a server says that it has free. The results
// that this table doesn't know, such as those of an earlier coordinator, count
// for a short time, after which the server is asked again if it has no room.
func (c Commands) Correct(pool, id string, free int64, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return
	}
	if s, ok := p.servers[id]; ok {
		p.servers[id] = s.WithUnknown(p.spec.Room-free-s.Held, now)
	}
	t.changed.Signal()
}
