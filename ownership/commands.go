package ownership

import (
	"maps"
	"time"

	"lycheecrank.example/event"
)

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// Apply applies the record of the stream at an offset, which this instance
// received at the given time. The zero Record stands for one that can't be
// decoded. Records at or below the applied offset change nothing. ErrGap is
// returned if the record before it is missing.
func (c Commands) Apply(offset uint64, r Record, receivedAt time.Time) error {
	t := c.table
	t.mu.Lock()
	before := t.current.Load()
	s, err := before.state.Apply(offset, r)
	if err != nil || s.applied == before.state.applied {
		t.mu.Unlock()
		return err
	}
	next := t.after(before, s, offset, r, receivedAt)
	t.current.Store(&next)
	t.mu.Unlock()
	t.report(before, &next)
	if r.Kind == Release && r.DataCentre == t.self.DataCentre {
		t.wake()
	}
	return nil
}

// Restart starts again with another state, such as when the next records have
// expired. Terms of this instance are given up, since others may have taken them
// in the records that it missed.
func (c Commands) Restart(s State, at time.Time) {
	t := c.table
	t.mu.Lock()
	before := t.current.Load()
	next := newView(s, at)
	next.left = before.left
	t.current.Store(&next)
	t.mu.Unlock()
	t.report(before, &next)
}

// heardInterval bounds how often the view changes for answers of the log.
const heardInterval = 250 * time.Millisecond

// Heard notes that the log has answered this instance. Without it the instance
// assumes that the log always answers.
func (c Commands) Heard(at time.Time) {
	t := c.table
	if at.Sub(t.current.Load().heard) < heardInterval {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.current.Load().withHeard(at, t.timing.ContactGap)
	t.current.Store(&next)
}

// begin returns the sequence number of a record whose append starts at the given
// time.
func (c Commands) begin(at time.Time) uint64 {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.started, func(_ uint64, s time.Time) bool { return at.Sub(s) > t.timing.Lease })
	t.sequence++
	t.started[t.sequence] = at
	return t.sequence
}

// serveFor sets the pools that this instance serves for their owners.
func (c Commands) serveFor(standIns map[string]bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.current.Load(); !maps.Equal(v.standIns, standIns) {
		next := v.withStandIns(standIns)
		t.current.Store(&next)
	}
}

// giveUp ends the rights of this instance to pools before it releases them, and
// returns the terms that it had.
func (c Commands) giveUp(pools []string) map[string]lease {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.current.Load()
	former := map[string]lease{}
	for _, p := range pools {
		if l, ok := v.own[p]; ok {
			former[p] = l
		}
	}
	next := v.withoutOwn(pools...)
	t.current.Store(&next)
	return former
}

// leave ends all rights of this instance for good and returns the terms that it
// had.
func (c Commands) leave() map[string]lease {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.current.Load()
	next := v.withLeft()
	t.current.Store(&next)
	return v.own
}

// after returns the view after a record that changed the state.
func (t *Table) after(before *view, s State, offset uint64, r Record, at time.Time) view {
	next := before.withState(s, at)
	var signs []Key
	for _, rt := range r.Terms {
		k := Key{rt.Pool, r.DataCentre}
		now, known := s.index[k]
		if !known {
			continue
		}
		term := s.terms[now]
		// A take that can't be judged may be valid, so it counts as a sign.
		if term.Renewal == offset || term.Doubt == offset || term.ID == 0 {
			signs = append(signs, k)
		}
		if r.DataCentre == t.self.DataCentre {
			next = t.withOwnTerm(next, before.state.Term(k), term, r, rt.Term, at)
		}
	}
	return next.withSign(signs, at)
}

// withOwnTerm returns the view after a record, which named a term, may have won,
// renewed or lost a term of this instance.
func (t *Table) withOwnTerm(v view, before, term Term, r Record, named uint64, at time.Time) view {
	pool := term.Key.Pool
	own, owns := v.own[pool]
	mine := term.IsOwnedBy(t.self.Instance, t.self.Incarnation)
	started, known := t.started[r.Sequence]
	switch {
	case mine && r.Kind == Take && term.ID != before.ID:
		l := lease{term: term.ID}
		if known {
			l.end = started.Add(t.timing.Lease)
			l.from = started.Add(t.timing.Wait)
		} else {
			l.from = at.Add(t.timing.Wait)
		}
		if before.Released && before.Settled || v.isNew(before) {
			l.from = time.Time{}
		}
		return v.withOwn(pool, l)
	case owns && (!mine || term.ID != own.term):
		return v.withoutOwn(pool)
	case owns && known && named == own.term && r.isRenewalBy(t.self):
		return v.withOwn(pool, own.withEnd(started.Add(t.timing.Lease)))
	}
	return v
}

// report writes the events about terms that were won or lost.
func (t *Table) report(before, next *view) {
	if maps.Equal(before.own, next.own) {
		return
	}
	for _, p := range next.ownPools() {
		if l := next.own[p]; before.own[p].term != l.term {
			t.Logger.Write(event.OwnershipTaken, p, t.self.DataCentre, l.term)
		}
	}
	end := event.OwnershipLost
	if next.left {
		// The instance has released its terms itself.
		end = event.OwnershipReleased
	}
	for _, p := range before.ownPools() {
		if l, owns := next.own[p]; !owns || l.term != before.own[p].term {
			t.Logger.Write(end, p, t.self.DataCentre, before.own[p].term)
		}
	}
}

func (t *Table) wake() {
	select {
	case t.released <- struct{}{}:
	default:
	}
}
