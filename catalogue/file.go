package catalogue

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrFile is returned for a catalogue file with faults.
var ErrFile = errors.New("catalogue file has faults")

// FileFault is a fault of a catalogue file.
type FileFault struct {
	// Line counts from 1; 0 if the fault has no place in the file.
	Line    int
	Field   string
	Message string
}

// maxFaults bounds how many faults a message lists.
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
		lines = append(lines, fmt.Sprintf("%s: %d further faults", f.Name, more))
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrFile.
func (f FileFaults) Is(target error) bool { return target == ErrFile }

// File is the content of a catalogue file: entries to be in force, and entries
// to be deleted.
type File struct {
	Entries []Entry
	Delete  []ID
	// lines holds the line of each entry and of its fields.
	lines map[ID]map[string]int
	// deleteLines holds the lines of the elements of Delete.
	deleteLines []int
}

// MaxFileBytes bounds the size of a file; the 600 servers and 230 workspaces of
// the largest planned deployment take some 150 KB.
const MaxFileBytes = 1 << 20

// ReadFile reads a catalogue file. The name stands in the messages. All faults
// that can be found without the rest of the catalogue are reported at once, as
// FileFaults.
func ReadFile(data []byte, name string) (File, error) {
	r := fileReader{name: name, file: File{lines: map[ID]map[string]int{}}}
	r.read(data)
	if len(r.found) > 0 {
		return File{}, r.faults()
	}
	return r.file, nil
}

// Check returns the faults that the file would have as an edit of a catalogue,
// as FileFaults, or nil.
func (f File) Check(c Catalogue, name string) error {
	r := fileReader{name: name, file: f}
	for _, fault := range Check(f.merged(c)) {
		r.fault(f.line(fault.ID, fault.Field), fault.ID.String()+"."+fault.Field, "%s", fault.Message)
	}
	if len(r.found) == 0 {
		return nil
	}
	return r.faults()
}

// merged returns the entries of a catalogue after the file was applied.
func (f File) merged(c Catalogue) []Entry {
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

// line returns the line of a field, or of its entry, or 0.
func (f File) line(id ID, field string) int { return lineIn(f.lines[id], field) }

// lineIn returns the line of a field, of the field around it, or of the entry.
func lineIn(lines map[string]int, field string) int {
	for field != "" {
		if n, ok := lines[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return lines[""]
}

// Changes returns the changes that bring a catalogue to what the file says. An
// entry without a revision is based on the catalogue's one. Entries that are in
// force already need no change.
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
		changes = append(changes, Change{ID: e.ID(), BasedOn: basedOn, Entry: &next})
	}
	for _, id := range f.Delete {
		if current, ok := c.Entry(id.Kind, id.Name); ok {
			changes = append(changes, Change{ID: id, BasedOn: current.Revision})
		}
	}
	return changes
}
