package catalogue

import (
	"time"

	"github.com/rotisserie/eris"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Apply applies the record at raw.Offset and keeps its bytes for peers that are
// behind. Records at or below the applied offset change nothing and return
// false. A record that doesn't follow the last one returns ErrGap. The exception is
// a snapshot that covers its own offset: only peers send it, and it replaces the
// whole catalogue. A snapshot in the log covers an earlier offset and changes no
// entry.
func (c Commands) Apply(raw RawRecord, r Record) (Verdict, bool, error) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := *t.current.Load()
	if raw.Offset <= v.catalogue.Offset {
		return Verdict{}, false, nil
	}
	if s := r.Snapshot; s != nil && s.Offset == raw.Offset {
		c.storeView(v, FromSnapshot(*s), nil)
		return Verdict{Offset: raw.Offset, Decision: Accepted}, true, nil
	}
	if raw.Offset != v.catalogue.Offset+1 {
		return Verdict{}, false, eris.Wrapf(ErrGap, "record at offset %d, but the last applied offset is %d", raw.Offset, v.catalogue.Offset)
	}
	next, verdict := v.catalogue.Apply(raw.Offset, r)
	if r.Snapshot != nil {
		v.snapshotOffset = raw.Offset
	}
	c.storeView(v, next, appendRecent(v.recentRecords, raw))
	return verdict, true, nil
}

// Replace replaces the catalogue in force if the offset of next is higher, and
// reports whether it did. The argument snapshotOffset is the offset of the latest snapshot in
// the log, 0 if there is none.
func (c Commands) Replace(next Catalogue, snapshotOffset uint64) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	v := *t.current.Load()
	if next.Offset <= v.catalogue.Offset {
		return false
	}
	v.snapshotOffset = max(v.snapshotOffset, snapshotOffset)
	c.storeView(v, next, nil)
	return true
}

// ApplyHold stores a hold received from a peer and reports whether it replaced the
// known one.
func (c Commands) ApplyHold(h Hold) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.storeHold(h)
}

// PlaceHold stores a hold that an operator placed or released and returns it as
// stored. Its sequence
// number is raised above that of the known hold, so that it takes precedence
// even if the clocks of the instances differ. A hold on a data centre that is
// already taken out has no effect.
func (c Commands) PlaceHold(h Hold) Hold {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.current.Load().holds.OfDataCentre(h.DataCentre); ok {
		h = h.WithSequence(max(h.Sequence, old.Sequence+1))
	}
	c.storeHold(h)
	stored, _ := t.current.Load().holds.OfDataCentre(h.DataCentre)
	return stored
}

// storeHold stores a hold unless the known one takes precedence. The caller holds
// the lock.
func (c Commands) storeHold(h Hold) bool {
	v := *c.table.current.Load()
	if v.catalogue.IsTakenOut(h.DataCentre) {
		h = h.WithRecorded()
	}
	holds, replaced := v.holds.With(h)
	if replaced {
		v.holds = holds
		c.table.current.Store(&v)
	}
	return replaced
}

// storeView makes a catalogue the one in force. The caller holds the lock.
func (c Commands) storeView(v view, next Catalogue, recent []RawRecord) {
	v.catalogue = next
	v.holds = v.holds.withRecordedTakeOuts(next)
	v.recentRecords = recent
	v.appliedAt = time.Now()
	c.table.current.Store(&v)
}

// appendRecent returns recent with one more record and without those beyond
// maxRecentRecords. It copies the slice because readers may use the old one.
func appendRecent(recent []RawRecord, raw RawRecord) []RawRecord {
	if len(recent) >= maxRecentRecords {
		recent = recent[len(recent)-maxRecentRecords+1:]
	}
	next := make([]RawRecord, 0, len(recent)+1)
	return append(append(next, recent...), raw)
}
