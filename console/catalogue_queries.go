package console

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/catalogue"
)

// Entries is a part of the catalogue.
type Entries struct {
	Revision uint64            `json:"revision"`
	Entries  []catalogue.Entry `json:"entries"`
}

// Text returns a catalogue file that Apply accepts, with the revisions.
func (e Entries) Text() string {
	head := fmt.Sprintf("# Catalogue at revision %d.\n", e.Revision)
	return head + catalogue.File{Entries: e.Entries}.String()
}

// Get returns the entries of a kind, or the one with the name; empty strings
// stand for all. It returns ErrUsage for an unknown kind and ErrNotFound for an
// unknown name.
func (q Queries) Get(ctx context.Context, kind, name string) (Entries, error) {
	k := catalogue.Kind(kind)
	if kind != "" && !slices.Contains(catalogue.Kinds(), k) {
		return Entries{}, eris.Wrapf(ErrUsage, "unknown kind %q; the kinds are %v", kind, catalogue.Kinds())
	}
	h, err := q.console.Load(ctx)
	if err != nil {
		return Entries{}, err
	}
	found := Entries{Revision: h.Catalogue.Revision, Entries: []catalogue.Entry{}}
	for _, e := range h.Catalogue.Entries() {
		if (kind == "" || e.Kind == k) && (name == "" || e.Name == name) {
			found.Entries = append(found.Entries, e)
		}
	}
	if name != "" && len(found.Entries) == 0 {
		return Entries{}, eris.Wrapf(ErrNotFound, "%s/%s", kind, name)
	}
	return found, nil
}

// Diff returns what applying a file would change now. A file with faults
// returns catalogue.FileFaults.
func (q Queries) Diff(ctx context.Context, file NamedFile) (Differences, error) {
	d, _, err := q.plan(ctx, file)
	return d, err
}

// NamedFile is the content of a catalogue file and its name for messages.
type NamedFile struct {
	Name string
	Data []byte
}

// plan checks a file in full, then against the current catalogue, and returns
// the changes that it makes.
func (q Queries) plan(ctx context.Context, file NamedFile) (Differences, []catalogue.Change, error) {
	f, faults := catalogue.ReadFile(file.Data, file.Name)
	h, err := q.console.Load(ctx)
	if faults != nil {
		return nil, nil, allFaults(f, faults, h.Catalogue, err)
	}
	if err != nil {
		return nil, nil, err
	}
	if err := f.Check(h.Catalogue, file.Name); err != nil {
		return nil, nil, err
	}
	changes := f.Changes(h.Catalogue)
	if stale := staleChanges(h.Catalogue, changes); len(stale) > 0 {
		return nil, nil, eris.Wrap(ErrConflict, strings.Join(stale, "; "))
	}
	return differences(h.Catalogue, changes), changes, nil
}

// allFaults returns the faults of a file with those beside the current
// catalogue, if that could be read.
func allFaults(f catalogue.File, faults error, current catalogue.Catalogue, readError error) error {
	var found catalogue.FileFaults
	if readError != nil || !errors.As(faults, &found) {
		return faults
	}
	return f.CheckReferences(current, found)
}

// staleChanges names the changes that are based on another revision than the
// current one, so that they can only be refused.
func staleChanges(c catalogue.Catalogue, changes []catalogue.Change) []string {
	var stale []string
	for _, ch := range changes {
		if e, _ := c.Entry(ch.ID.Kind, ch.ID.Name); e.Revision != ch.BaseRevision {
			stale = append(stale, fmt.Sprintf("%s has revision %d, the file is based on %d", ch.ID, e.Revision, ch.BaseRevision))
		}
	}
	return stale
}

// HistoryLine is one edit with the verdict on it.
type HistoryLine struct {
	Offset uint64 `json:"offset"`
	// EditID is what an undecided edit is found by.
	EditID  string             `json:"edit"`
	At      time.Time          `json:"at"`
	Author  string             `json:"author"`
	Verdict catalogue.Decision `json:"verdict"`
	Changed []string           `json:"changed"`
	Detail  string             `json:"detail,omitempty"`
}

// HistoryLines are edits, newest first.
type HistoryLines []HistoryLine

// History returns the retained edits with their verdicts, newest first, at most
// limit of them; 0 means all. The times are those of the authors' clocks.
func (q Queries) History(ctx context.Context, limit int) (HistoryLines, error) {
	h, err := q.console.Load(ctx)
	if err != nil {
		return nil, err
	}
	lines := HistoryLines{}
	for _, v := range slices.Backward(h.Verdicts) {
		if v.Decision == catalogue.NoEdit {
			continue
		}
		if limit > 0 && len(lines) == limit {
			break
		}
		line := HistoryLine{Offset: v.Offset, EditID: v.EditID, At: v.EditedAt.UTC(), Author: v.Author, Verdict: v.Decision, Detail: v.Detail, Changed: []string{}}
		for _, id := range v.ChangedIDs {
			line.Changed = append(line.Changed, id.String())
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// shownChanges is how many changed entries a line of the table names.
const shownChanges = 4

// Text returns a table for people.
func (h HistoryLines) Text() string {
	t := newTable("OFFSET", "TIME", "AUTHOR", "VERDICT", "CHANGED")
	for _, l := range h {
		changed := strings.Join(l.Changed[:min(shownChanges, len(l.Changed))], " ")
		if more := len(l.Changed) - shownChanges; more > 0 {
			changed += fmt.Sprintf(" and %d more", more)
		}
		t.add(l.Offset, l.At.Format(time.RFC3339), l.Author, l.Verdict, changed)
	}
	return t.String()
}
