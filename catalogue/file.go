package catalogue

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ErrFile is returned for a catalogue file with faults.
var ErrFile = errors.New("invalid catalogue file")

// FileFault is a fault of a catalogue file.
type FileFault struct {
	// Line counts from 1; 0 if the fault concerns no line of the file.
	Line    int
	Field   string
	Message string
}

// maxFaults bounds the number of faults in an error text.
const maxFaults = 1000

// FileFaults are all faults of a file. They match ErrFile.
type FileFaults struct {
	Name   string
	Faults []FileFault
}

// Error lists the faults, one a line, as NAME:LINE: FIELD: MESSAGE.
func (f FileFaults) Error() string {
	var lines []string
	for _, fault := range f.Faults[:min(len(f.Faults), maxFaults)] {
		place := f.Name
		if fault.Line > 0 {
			place += ":" + strconv.Itoa(fault.Line)
		}
		lines = append(lines, fmt.Sprintf("%s: %s: %s", place, fault.Field, fault.Message))
	}
	if more := len(f.Faults) - maxFaults; more > 0 {
		lines = append(lines, fmt.Sprintf("%s: %d further faults not shown", f.Name, more))
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrFile.
func (f FileFaults) Is(target error) bool { return target == ErrFile }

// File is the content of a catalogue file: entries to set and entries to delete.
type File struct {
	Entries []Entry
	Delete  []ID
	// lines holds the line of each field of an entry by its path; the empty path is
	// that of the entry itself.
	lines map[ID]map[string]int
	// deleteLines holds the lines of the elements of Delete.
	deleteLines []int
	// hasUnreadEntries reports that some entries could not be read completely.
	hasUnreadEntries bool
	// incomplete is the readable part of a file with faults. It is used only to
	// find further faults.
	incomplete *File
}

// MaxFileBytes bounds the size of a file. The largest planned deployment, with 600
// servers and 230 workspaces, needs some 150 KB.
const MaxFileBytes = 1 << 20

// ReadFile reads a catalogue file; name is its name in error texts. All faults
// that can be found without the rest of the catalogue are returned together as
// FileFaults. The File returned with the faults has no entries and may only be used
// to call CheckReferences, which checks the part of the file that could be read.
func ReadFile(data []byte, name string) (File, error) {
	r := fileReader{name: name, file: File{lines: map[ID]map[string]int{}}}
	r.read(data)
	if len(r.faults) > 0 {
		return File{incomplete: &r.file}, r.fileFaults()
	}
	return r.file, nil
}

// CheckReferences returns the faults that ReadFile found in a file, together with
// those of references between its entries and a catalogue. If some entries could not
// be read, it checks no references, because other entries may refer to the unread
// ones.
func (f File) CheckReferences(c Catalogue, found FileFaults) error {
	if f.incomplete == nil || f.incomplete.hasUnreadEntries {
		return found
	}
	r := fileReader{name: found.Name, faults: slices.Clone(found.Faults)}
	for _, fault := range Check(f.incomplete.mergedEntries(c)) {
		if fault.IsCrossEntry {
			r.addFault(f.incomplete.fieldLine(fault.ID, fault.Field), fault.ID.String()+"."+fault.Field, "%s", fault.Message)
		}
	}
	return r.fileFaults()
}

// Check returns the faults of a catalogue to which the file is applied as
// FileFaults, or nil.
func (f File) Check(c Catalogue, name string) error {
	r := fileReader{name: name, file: f}
	for _, fault := range Check(f.mergedEntries(c)) {
		r.addFault(f.fieldLine(fault.ID, fault.Field), fault.ID.String()+"."+fault.Field, "%s", fault.Message)
	}
	if len(r.faults) == 0 {
		return nil
	}
	return r.fileFaults()
}

// mergedEntries returns the entries of a catalogue after the file is applied.
func (f File) mergedEntries(c Catalogue) []Entry {
	entries := map[ID]Entry{}
	for _, e := range c.Entries() {
		entries[e.ID()] = e
	}
	for _, id := range f.Delete {
		delete(entries, id)
	}
	for _, e := range f.Entries {
		entries[e.ID()] = e
	}
	merged := make([]Entry, 0, len(entries))
	for _, e := range entries {
		merged = append(merged, e)
	}
	return merged
}

// fieldLine returns the line of a field or, if unknown, of its entry, or 0.
func (f File) fieldLine(id ID, field string) int { return nearestLine(f.lines[id], field) }

// nearestLine returns the line of a field or, if unknown, that of the closest
// enclosing field or of the entry.
func nearestLine(lines map[string]int, field string) int {
	for field != "" {
		if n, ok := lines[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return lines[""]
}

// Changes returns the changes that apply the file to a catalogue. The change of an
// entry without a revision is based on its revision in the catalogue. Entries
// with the same content as in the catalogue need no change.
func (f File) Changes(c Catalogue) []Change {
	var changes []Change
	for _, e := range f.Entries {
		current, _ := c.Entry(e.Kind, e.Name)
		if current.Revision > 0 && current.SameContent(e) {
			continue
		}
		basedOn := current.Revision
		if e.Revision > 0 {
			basedOn = e.Revision
		}
		next := e.WithRevision(0)
		changes = append(changes, Change{ID: e.ID(), BaseRevision: basedOn, Entry: &next})
	}
	for _, id := range f.Delete {
		if current, ok := c.Entry(id.Kind, id.Name); ok {
			changes = append(changes, Change{ID: id, BaseRevision: current.Revision})
		}
	}
	return changes
}
