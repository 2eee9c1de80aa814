package catalogue

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrGap is returned for a record whose offset doesn't follow that of the last
// applied record.
var ErrGap = errors.New("gap before catalogue record")

// Apply returns the catalogue after the record at an offset, and the verdict on
// the record. It is a pure function, so all readers reach the same result. The
// offset must be Catalogue.Offset+1.
func (c Catalogue) Apply(offset uint64, r Record) (Catalogue, Verdict) {
	if r.Edit == nil {
		return c.WithOffset(offset), Verdict{Offset: offset, Decision: NoEdit}
	}
	e := *r.Edit
	v := Verdict{Offset: offset, EditID: e.ID, Author: e.Author, EditedAt: e.CreatedAt}
	for _, ch := range e.Changes {
		v.ChangedIDs = append(v.ChangedIDs, ch.ID)
	}
	if slices.Contains(c.judgedEdits, e.ID) {
		v.Decision, v.Detail = Repeated, "an edit with this identifier already has a verdict"
		return c.WithOffset(offset), v
	}
	next := c.WithJudgedEdit(e.ID).WithOffset(offset)
	entries, conflict := c.applyChanges(offset, e)
	if conflict != "" {
		v.Decision, v.Detail = Conflict, conflict
		return next, v
	}
	if faults := Check(slices.Collect(maps.Values(entries))); len(faults) > 0 {
		v.Decision, v.Detail = Invalid, joinFaults(faults)
		return next, v
	}
	v.Decision = Accepted
	return next.WithEntries(offset, entries), v
}

// applyChanges returns the entries after an edit, or a description of the first
// conflict.
func (c Catalogue) applyChanges(offset uint64, e Edit) (map[ID]Entry, string) {
	entries := maps.Clone(c.entries)
	if entries == nil {
		entries = map[ID]Entry{}
	}
	for _, ch := range e.Changes {
		if current := c.entries[ch.ID].Revision; current != ch.BaseRevision {
			return nil, fmt.Sprintf("%s has revision %d, but the edit is based on revision %d", ch.ID, current, ch.BaseRevision)
		}
		if ch.Entry == nil {
			delete(entries, ch.ID)
			continue
		}
		if ch.Entry.ID() != ch.ID {
			return nil, fmt.Sprintf("the change of %s contains the entry %s", ch.ID, ch.Entry.ID())
		}
		entries[ch.ID] = ch.Entry.WithRevision(offset)
	}
	return entries, ""
}

func joinFaults(faults []Fault) string {
	sentences := make([]string, 0, len(faults))
	for _, f := range faults {
		sentences = append(sentences, f.String())
	}
	return strings.Join(sentences, "; ")
}

// FromSnapshot restores a catalogue from a snapshot.
func FromSnapshot(s Snapshot) Catalogue {
	entries := make(map[ID]Entry, len(s.Entries))
	for _, e := range s.Entries {
		entries[e.ID()] = e
	}
	c := Catalogue{judgedEdits: slices.Clone(s.JudgedEdits)}.WithEntries(s.Offset, entries)
	c.Revision = s.Revision
	return c
}

// NumberedRecord is a decoded record with its offset.
type NumberedRecord struct {
	Offset uint64
	Record Record
}

// Replay applies consecutive records that start at the earliest retained offset
// and returns the resulting catalogue. If older records have expired, it starts
// from the first snapshot after whose Snapshot.Offset all records are retained;
// without such a snapshot it returns ErrGap.
func Replay(records []NumberedRecord) (Catalogue, []Verdict, error) {
	c, err := replayStart(records)
	if err != nil {
		return Catalogue{}, nil, err
	}
	var verdicts []Verdict
	for _, n := range records {
		if n.Offset <= c.Offset {
			continue
		}
		if n.Offset != c.Offset+1 {
			return Catalogue{}, nil, eris.Wrapf(ErrGap, "record at offset %d, but the last applied offset is %d", n.Offset, c.Offset)
		}
		var v Verdict
		c, v = c.Apply(n.Offset, n.Record)
		verdicts = append(verdicts, v)
	}
	return c, verdicts, nil
}

// replayStart returns the catalogue to which the records are applied: an empty
// one, or that of a snapshot if the first records have expired.
func replayStart(records []NumberedRecord) (Catalogue, error) {
	if len(records) == 0 || records[0].Offset == 1 {
		return Catalogue{}, nil
	}
	earliest := records[0].Offset
	for _, n := range records {
		if s := n.Record.Snapshot; s != nil && s.Offset+1 >= earliest {
			return FromSnapshot(*s), nil
		}
	}
	return Catalogue{}, eris.Wrapf(ErrGap, "records before offset %d have expired and no snapshot covers them", earliest)
}
