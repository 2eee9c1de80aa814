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

// Reset replaces the state, for example after the records that this instance must
// read next have expired from the log. It ends
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

// removeOwnTerms removes the terms of this instance for pools, before they
// are released, and returns them.
func (c Commands) removeOwnTerms(pools []string) map[string]ownTerm {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.current.Load()
	former := map[string]ownTerm{}
	for _, p := range pools {
		if o, ok := v.ownTerms[p]; ok {
			former[p] = o
		}
	}
	next := v.withoutOwnTerms(pools...)
	t.current.Store(&next)
	return former
}

// endPermissions ends all permissions of this instance permanently and returns
// its terms.
func (c Commands) endPermissions() map[string]ownTerm {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.current.Load()
	next := v.withClosed()
	t.current.Store(&next)
	return v.ownTerms
}

// viewAfter returns the view after a record that changed the state.
func (t *Table) viewAfter(before *view, s State, offset uint64, r Record, at time.Time) view {
	next := before.withState(s, at)
	var alive []Key
	for _, rt := range r.Terms {
		k := Key{rt.Pool, r.DataCentre}
		position, known := s.index[k]
		if !known {
			continue
		}
		term := s.terms[position]
		// An acquisition that can't be verified may be valid, so its instance counts as
		// an owner that is alive. Without a known owner, any record of the pool counts.
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
	heldTerm, holdsTerm := v.ownTerms[pool]
	ownsTerm := term.IsOwnedBy(t.self.Instance, t.self.Incarnation)
	started, known := t.appendStarts[r.Sequence]
	switch {
	case ownsTerm && r.Kind == Acquire && term.ID != before.ID:
		o := ownTerm{term: term.ID}
		if known {
			o.coldUntil = started.Add(t.timing.Lease)
			o.waitUntil = started.Add(t.timing.TakeoverWait)
		} else {
			o.waitUntil = at.Add(t.timing.TakeoverWait)
		}
		if before.Released && before.Drained || v.wasNeverOwned(before) {
			o.waitUntil = time.Time{}
		}
		return v.withOwnTerm(pool, o)
	case holdsTerm && (!ownsTerm || term.ID != heldTerm.term):
		return v.withoutOwnTerms(pool)
	case holdsTerm && known && recordTerm == heldTerm.term && r.isRenewalBy(t.self):
		return v.withOwnTerm(pool, heldTerm.withColdUntil(started.Add(t.timing.Lease)))
	}
	return v
}

// logChanges logs the terms that were acquired or lost.
func (t *Table) logChanges(before, next *view) {
	if maps.Equal(before.ownTerms, next.ownTerms) {
		return
	}
	for _, p := range next.ownedPools() {
		if o := next.ownTerms[p]; before.ownTerms[p].term != o.term {
			t.Logger.Write(event.OwnershipAcquired, p, t.self.DataCentre, o.term)
		}
	}
	end := event.OwnershipLost
	if next.closed {
		// The instance has released its terms itself.
		end = event.OwnershipReleased
	}
	for _, p := range before.ownedPools() {
		if o, owns := next.ownTerms[p]; !owns || o.term != before.ownTerms[p].term {
			t.Logger.Write(end, p, t.self.DataCentre, before.ownTerms[p].term)
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
