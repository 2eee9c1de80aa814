package catalogue

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrGap is returned for a record that doesn't follow the last applied one.
var ErrGap = errors.New("gap before catalogue record")

// Apply returns the catalogue after the record at an offset, and the verdict on
// the record. It is a pure function, so that all readers agree. Call it with
// the offset that follows Catalogue.Offset.
func (c Catalogue) Apply(offset uint64, r Record) (Catalogue, Verdict) {
	if r.Edit == nil {
		return c.WithOffset(offset), Verdict{Offset: offset, Decision: Passed}
	}
	e := *r.Edit
	v := Verdict{Offset: offset, EditID: e.ID, Author: e.Author, At: e.At}
	for _, ch := range e.Changes {
		v.Changed = append(v.Changed, ch.ID)
	}
	if slices.Contains(c.judged, e.ID) {
		v.Decision, v.Detail = Repeated, "an edit with this identifier was judged before"
		return c.WithOffset(offset), v
	}
	next := c.WithJudged(e.ID).WithOffset(offset)
	entries, conflict := c.changed(offset, e)
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

// changed returns the entries after an edit, or a sentence about a conflict.
func (c Catalogue) changed(offset uint64, e Edit) (map[ID]Entry, string) {
	entries := maps.Clone(c.entries)
	if entries == nil {
		entries = map[ID]Entry{}
	}
	for _, ch := range e.Changes {
		if current := c.entries[ch.ID].Revision; current != ch.BasedOn {
			return nil, fmt.Sprintf("%s has revision %d, the edit is based on %d", ch.ID, current, ch.BasedOn)
		}
		if ch.Entry == nil {
			delete(entries, ch.ID)
			continue
		}
		if ch.Entry.ID() != ch.ID {
			return nil, fmt.Sprintf("the change of %s carries %s", ch.ID, ch.Entry.ID())
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

// FromSnapshot returns the catalogue that a snapshot stands for.
func FromSnapshot(s Snapshot) Catalogue {
	entries := make(map[ID]Entry, len(s.Entries))
	for _, e := range s.Entries {
		entries[e.ID()] = e
	}
	c := Catalogue{judged: slices.Clone(s.Judged)}.WithEntries(s.Through, entries)
	c.Revision = s.Revision
	return c
}

// Numbered is a record with its offset.
type Numbered struct {
	Offset uint64
	Record Record
}

// Replay returns the catalogue after a run of records that starts at the
// earliest retained offset. If older records have expired it starts from the
// first snapshot whose records are all there; without one it returns ErrGap.
func Replay(records []Numbered) (Catalogue, []Verdict, error) {
	c, err := base(records)
	if err != nil {
		return Catalogue{}, nil, err
	}
	var verdicts []Verdict
	for _, n := range records {
		if n.Offset <= c.Offset {
			continue
		}
		if n.Offset != c.Offset+1 {
			return Catalogue{}, nil, eris.Wrapf(ErrGap, "offset %d after %d", n.Offset, c.Offset)
		}
		var v Verdict
		c, v = c.Apply(n.Offset, n.Record)
		verdicts = append(verdicts, v)
	}
	return c, verdicts, nil
}

// base returns the catalogue from which the records can be applied.
func base(records []Numbered) (Catalogue, error) {
	if len(records) == 0 || records[0].Offset == 1 {
		return Catalogue{}, nil
	}
	earliest := records[0].Offset
	for _, n := range records {
		if s := n.Record.Snapshot; s != nil && s.Through+1 >= earliest {
			return FromSnapshot(*s), nil
		}
	}
	return Catalogue{}, eris.Wrapf(ErrGap, "records before offset %d have expired and no snapshot covers them", earliest)
}
