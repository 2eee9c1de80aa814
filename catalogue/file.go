package catalogue

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
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

// FileFaults are all faults of a file. They match ErrFile.
type FileFaults struct {
	Name   string
	Faults []FileFault
}

// Error lists all faults, one a line, as NAME:LINE: FIELD: MESSAGE.
func (f FileFaults) Error() string {
	lines := make([]string, 0, len(f.Faults))
	for _, fault := range f.Faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", f.Name, fault.Line, fault.Field, fault.Message))
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
}

// MaxFileBytes bounds the size of a file; the entries of the largest planned
// deployment take less than 1 MiB.
const MaxFileBytes = 16 << 20

// ReadFile reads a catalogue file. The name stands in the messages. All faults
// that can be found without the rest of the catalogue are reported at once, as
// FileFaults.
func ReadFile(data []byte, name string) (File, error) {
	r := fileReader{name: name, file: File{lines: map[ID]map[string]int{}}}
	if len(data) > MaxFileBytes {
		r.fault(0, "file", "has %d bytes, the limit is %d", len(data), MaxFileBytes)
		return File{}, r.faults()
	}
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
func (f File) line(id ID, field string) int {
	lines := f.lines[id]
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

// fileReader collects the content and the faults of a file.
type fileReader struct {
	name  string
	file  File
	found []FileFault
}

func (r *fileReader) fault(line int, field, format string, args ...any) {
	r.found = append(r.found, FileFault{Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (r *fileReader) faults() error {
	slices.SortStableFunc(r.found, func(a, b FileFault) int { return cmp.Compare(a.Line, b.Line) })
	return FileFaults{Name: r.name, Faults: r.found}
}

func (r *fileReader) read(data []byte) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.syntax(err)
		return
	}
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			r.document(doc.Body)
		}
	}
}

// syntax reports an error of the YAML library with its line.
func (r *fileReader) syntax(err error) {
	line := 0
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil && located.GetToken().Position != nil {
		line = located.GetToken().Position.Line
	}
	message, _, _ := strings.Cut(err.Error(), "\n")
	r.fault(line, "file", "%s", message)
}

func (r *fileReader) document(body ast.Node) {
	values := mappingValues(body)
	if values == nil {
		r.fault(lineOf(body), "file", "must be a mapping with entries and delete")
		return
	}
	for _, v := range values {
		switch key := v.Key.String(); key {
		case "entries":
			r.list(v.Value, key, r.entry)
		case "delete":
			r.list(v.Value, key, r.deletion)
		default:
			r.fault(lineOf(v), key, "unknown field; entries and delete are known")
		}
	}
}

func (r *fileReader) list(node ast.Node, field string, item func(ast.Node, string)) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		r.fault(lineOf(node), field, "must be a list")
		return
	}
	for n, v := range list.Values {
		item(v, field+"["+strconv.Itoa(n)+"]")
	}
}

func (r *fileReader) entry(node ast.Node, field string) {
	var e Entry
	if !r.decode(node, field, &e) {
		return
	}
	if lines, ok := r.file.lines[e.ID()]; ok {
		r.fault(lineOf(node), field, "%s stands at line %d already", e.ID(), lines[""])
		return
	}
	r.file.lines[e.ID()] = fieldLines(node)
	r.file.Entries = append(r.file.Entries, e)
}

func (r *fileReader) deletion(node ast.Node, field string) {
	var id ID
	if r.decode(node, field, &id) {
		r.file.Delete = append(r.file.Delete, id)
	}
}

func (r *fileReader) decode(node ast.Node, field string, into any) bool {
	if mappingValues(node) == nil {
		r.fault(lineOf(node), field, "must be a mapping")
		return false
	}
	err := yaml.NodeToValue(node, into, yaml.DisallowUnknownField())
	if err == nil {
		return true
	}
	line := lineOf(node)
	var located yaml.Error
	message := err.Error()
	if errors.As(err, &located) {
		message = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			line = t.Position.Line
		}
	}
	r.fault(line, field, "%s", message)
	return false
}

// fieldLines returns the lines of an entry's fields by their path; the entry
// itself has the empty path.
func fieldLines(node ast.Node) map[string]int {
	lines := map[string]int{"": lineOf(node)}
	addFieldLines(lines, "", node)
	return lines
}

func addFieldLines(lines map[string]int, path string, node ast.Node) {
	for _, v := range mappingValues(node) {
		field := path + v.Key.String()
		lines[field] = lineOf(v)
		addFieldLines(lines, field+".", v.Value)
		if list, ok := v.Value.(*ast.SequenceNode); ok {
			for n, item := range list.Values {
				element := field + "[" + strconv.Itoa(n) + "]"
				lines[element] = lineOf(item)
				addFieldLines(lines, element+".", item)
			}
		}
	}
}

// mappingValues returns the pairs of a mapping, nil for other nodes. The
// library has a type of its own for a mapping of one pair.
func mappingValues(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	return nil
}

func lineOf(node ast.Node) int {
	if v, ok := node.(*ast.MappingValueNode); ok {
		node = v.Key
	}
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		node = m.Values[0].Key
	}
	if t := node.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}
