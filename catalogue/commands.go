package catalogue

import (
	"time"

	"github.com/rotisserie/eris"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Apply applies the record at an offset, whose bytes peers may ask for. Records
// at or below the applied offset change nothing and report false. A record
// that doesn't follow the last one returns ErrGap, unless it is a snapshot of
// the state at its own offset, as peers send it, which is adopted whole.
func (c Commands) Apply(raw Raw, r Record) (Verdict, bool, error) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := *t.current.Load()
	if raw.Offset <= v.catalogue.Offset {
		return Verdict{}, false, nil
	}
	if s := r.Snapshot; s != nil && s.Through == raw.Offset {
		c.adopt(v, FromSnapshot(*s), nil)
		return Verdict{Offset: raw.Offset, Decision: Accepted}, true, nil
	}
	if raw.Offset != v.catalogue.Offset+1 {
		return Verdict{}, false, eris.Wrapf(ErrGap, "offset %d after %d", raw.Offset, v.catalogue.Offset)
	}
	next, verdict := v.catalogue.Apply(raw.Offset, r)
	if r.Snapshot != nil {
		v.snapshotAt = raw.Offset
	}
	c.adopt(v, next, appendRecent(v.recent, raw))
	return verdict, true, nil
}

// Adopt puts a catalogue in force if its offset is higher than that of the
// current one, and reports whether it did. SnapshotAt is the offset of the
// latest snapshot in the log, 0 if there is none.
func (c Commands) Adopt(next Catalogue, snapshotAt uint64) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := *t.current.Load()
	if next.Offset <= v.catalogue.Offset {
		return false
	}
	v.snapshotAt = max(v.snapshotAt, snapshotAt)
	c.adopt(v, next, nil)
	return true
}

// Hold takes a hold from a peer and reports whether it counts more than the
// known one.
func (c Commands) Hold(h Hold) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.hold(h)
}

// PlaceHold takes a hold from an operator, which overrides the known one
// whatever the clocks of the instances say, and returns it as it was taken. A
// hold on a data centre that is taken out already has no effect of its own.
func (c Commands) PlaceHold(h Hold) Hold {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.current.Load().holds.Of(h.DataCentre); ok {
		h = h.WithSequence(max(h.Sequence, old.Sequence+1))
	}
	c.hold(h)
	taken, _ := t.current.Load().holds.Of(h.DataCentre)
	return taken
}

// hold takes a hold. The caller holds the lock.
func (c Commands) hold(h Hold) bool {
	v := *c.table.current.Load()
	if v.catalogue.IsTakenOut(h.DataCentre) {
		h = h.WithRecorded()
	}
	holds, taken := v.holds.With(h)
	if taken {
		v.holds = holds
		c.table.current.Store(&v)
	}
	return taken
}

// adopt swaps the view. The caller holds the lock.
func (c Commands) adopt(v view, next Catalogue, recent []Raw) {
	v.catalogue = next
	v.holds = v.holds.withTakenOut(next)
	v.recent = recent
	v.adoptedAt = time.Now()
	c.table.current.Store(&v)
}

// appendRecent returns a new slice, since readers may hold the old one.
func appendRecent(recent []Raw, raw Raw) []Raw {
	if len(recent) >= keptRecords {
		recent = recent[len(recent)-keptRecords+1:]
	}
	next := make([]Raw, 0, len(recent)+1)
	return append(append(next, recent...), raw)
}
