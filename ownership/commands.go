package ownership

import (
	"maps"
	"time"

	"lycheecrank.example/event"
)

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// Apply applies the record at an offset, which this instance received at the
// given time. The zero Record stands for one that can't be decoded. Records at or
// below the applied offset change nothing. ErrGap is returned if the record
// before it is missing.
func (c Commands) Apply(offset uint64, r Record, receivedAt time.Time) error {
	t := c.table
	t.mu.Lock()
	before := t.current.Load()
	s, err := before.state.Apply(offset, r)
	if err != nil || s.applied == before.state.applied {
		t.mu.Unlock()
		return err
	}
	next := t.viewAfter(before, s, offset, r, receivedAt)
	t.current.Store(&next)
	t.mu.Unlock()
	t.logChanges(before, &next)
	if r.Kind == Release && r.DataCentre == t.self.DataCentre {
		t.signalRelease()
	}
	return nil
}

// Reset replaces the state, such as when the next records have expired. It ends
// the leases of this instance, because other instances may have acquired the
// terms in the records that it missed.
func (c Commands) Reset(s State, at time.Time) {
	t := c.table
	t.mu.Lock()
	before := t.current.Load()
	next := newView(s, at)
	next.closed = before.closed
	t.current.Store(&next)
	t.mu.Unlock()
	t.logChanges(before, &next)
}

// contactInterval is the shortest time between two updates of the view for
// answers of the log.
const contactInterval = 250 * time.Millisecond

// RecordLogContact records that the log has answered this instance. If it is
// never called, the log counts as always answering.
func (c Commands) RecordLogContact(at time.Time) {
	t := c.table
	if at.Sub(t.current.Load().lastLogContact) < contactInterval {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.current.Load().withLogContact(at, t.timing.LogTimeout)
	t.current.Store(&next)
}

// nextSequence returns the sequence number of a record whose append starts at the
// given time.
func (c Commands) nextSequence(at time.Time) uint64 {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.appendStarts, func(_ uint64, s time.Time) bool { return at.Sub(s) > t.timing.Lease })
	t.sequence++
	t.appendStarts[t.sequence] = at
	return t.sequence
}

// setSubstitutePools sets the pools for which this instance is the temporary
// substitute of the owner.
func (c Commands) setSubstitutePools(pools map[string]bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.current.Load(); !maps.Equal(v.substitutePools, pools) {
		next := v.withSubstitutePools(pools)
		t.current.Store(&next)
	}
}

// removeLeases removes the leases of this instance for pools, before their terms
// are released, and returns them.
func (c Commands) removeLeases(pools []string) map[string]lease {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.current.Load()
	former := map[string]lease{}
	for _, p := range pools {
		if l, ok := v.leases[p]; ok {
			former[p] = l
		}
	}
	next := v.withoutLeases(pools...)
	t.current.Store(&next)
	return former
}

// endPermissions ends all permissions of this instance permanently and returns
// its leases.
func (c Commands) endPermissions() map[string]lease {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.current.Load()
	next := v.withClosed()
	t.current.Store(&next)
	return v.leases
}

// viewAfter returns the view after a record that changed the state.
func (t *Table) viewAfter(before *view, s State, offset uint64, r Record, at time.Time) view {
	next := before.withState(s, at)
	var alive []Key
	for _, rt := range r.Terms {
		k := Key{rt.Pool, r.DataCentre}
		now, known := s.index[k]
		if !known {
			continue
		}
		term := s.terms[now]
		// An acquisition that can't be verified may be valid, so its instance
		// counts as an owner that is alive.
		if term.LastRenewal == offset || term.LastUnverified == offset || term.ID == 0 {
			alive = append(alive, k)
		}
		if r.DataCentre == t.self.DataCentre {
			next = t.withLeaseChange(next, before.state.Term(k), term, r, rt.Term, at)
		}
	}
	return next.withLastSeen(alive, at)
}

// withLeaseChange returns the view after a record that may have acquired, renewed
// or ended a term of this instance. The record refers to the term with the ID
// recordTerm.
func (t *Table) withLeaseChange(v view, before, term Term, r Record, recordTerm uint64, at time.Time) view {
	pool := term.Key.Pool
	own, owns := v.leases[pool]
	mine := term.IsOwnedBy(t.self.Instance, t.self.Incarnation)
	started, known := t.appendStarts[r.Sequence]
	switch {
	case mine && r.Kind == Acquire && term.ID != before.ID:
		l := lease{term: term.ID}
		if known {
			l.coldUntil = started.Add(t.timing.Lease)
			l.waitUntil = started.Add(t.timing.TakeoverWait)
		} else {
			l.waitUntil = at.Add(t.timing.TakeoverWait)
		}
		if before.Released && before.Drained || v.wasNeverOwned(before) {
			l.waitUntil = time.Time{}
		}
		return v.withLease(pool, l)
	case owns && (!mine || term.ID != own.term):
		return v.withoutLeases(pool)
	case owns && known && recordTerm == own.term && r.isRenewalBy(t.self):
		return v.withLease(pool, own.withColdUntil(started.Add(t.timing.Lease)))
	}
	return v
}

// logChanges logs the terms that were acquired or lost.
func (t *Table) logChanges(before, next *view) {
	if maps.Equal(before.leases, next.leases) {
		return
	}
	for _, p := range next.leasedPools() {
		if l := next.leases[p]; before.leases[p].term != l.term {
			t.Logger.Write(event.OwnershipAcquired, p, t.self.DataCentre, l.term)
		}
	}
	end := event.OwnershipLost
	if next.closed {
		// The instance has released its terms itself.
		end = event.OwnershipReleased
	}
	for _, p := range before.leasedPools() {
		if l, owns := next.leases[p]; !owns || l.term != before.leases[p].term {
			t.Logger.Write(end, p, t.self.DataCentre, before.leases[p].term)
		}
	}
}

// signalRelease wakes Run without blocking.
func (t *Table) signalRelease() {
	select {
	case t.releaseSignal <- struct{}{}:
	default:
	}
}
