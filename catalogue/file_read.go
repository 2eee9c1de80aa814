package catalogue

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// fileReader collects the content and the faults of a file.
type fileReader struct {
	name   string
	file   File
	faults []FileFault
}

func (r *fileReader) addFault(line int, field, format string, args ...any) {
	r.faults = append(r.faults, FileFault{Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (r *fileReader) fileFaults() error {
	slices.SortStableFunc(r.faults, func(a, b FileFault) int { return cmp.Compare(a.Line, b.Line) })
	return FileFaults{Name: r.name, Faults: r.faults}
}

func (r *fileReader) read(data []byte) {
	if len(data) > MaxFileBytes {
		r.addFault(0, "file", "has %d bytes, the limit is %d", len(data), MaxFileBytes)
		return
	}
	if r.checkLineLengths(data); len(r.faults) > 0 {
		return
	}
	tree := r.parse(data)
	if tree == nil {
		return
	}
	empty := true
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			empty = false
			r.readDocument(doc.Body)
		}
	}
	if empty {
		r.addFault(0, "file", "is empty; set entries, delete or both")
	}
	r.checkDeletions()
}

// parse returns the syntax tree of the file, or nil if it added a fault.
func (r *fileReader) parse(data []byte) (tree *ast.File) {
	// The YAML library panics on some malformed files.
	defer func() {
		if p := recover(); p != nil {
			r.addFault(0, "file", "is not valid YAML: %v", p)
			tree = nil
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if r.checkBounds(tokens); len(r.faults) > 0 {
		return nil
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addSyntaxFault(err)
		return nil
	}
	return tree
}

// addSyntaxFault adds an error of the YAML library with its line as a fault.
func (r *fileReader) addSyntaxFault(err error) {
	line, message := 0, err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			line = t.Position.Line
		}
	}
	message, _, _ = strings.Cut(message, "\n")
	r.addFault(line, "file", "%s", message)
}

func (r *fileReader) readDocument(body ast.Node) {
	values := mappingValues(body)
	if values == nil {
		r.addFault(lineOf(body), "file", "must be a mapping with the fields entries, delete or both")
		return
	}
	lines := map[string]int{}
	for _, v := range values {
		key := keyText(v)
		if before, ok := lines[key]; ok {
			r.addFault(lineOf(v), key, "duplicate field, first set at line %d", before)
			continue
		}
		lines[key] = lineOf(v)
		switch key {
		case "entries":
			r.readList(v.Value, key, r.readEntry)
		case "delete":
			r.readList(v.Value, key, r.readDeletion)
		default:
			r.addFault(lineOf(v), key, "unknown field; known fields are entries, delete")
		}
	}
}

func (r *fileReader) readList(node ast.Node, field string, item func(ast.Node, string)) {
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		r.addFault(lineOf(node), field, "must be a list")
		return
	}
	for n, v := range list.Values {
		item(v, field+"["+strconv.Itoa(n)+"]")
	}
}

func (r *fileReader) readEntry(node ast.Node, field string) {
	var e Entry
	d := newDecoder(r, field)
	d.decode(node, "", reflect.ValueOf(&e).Elem())
	// Rules that depend on other entries are checked by File.Check.
	for _, f := range Check([]Entry{e}) {
		if !f.IsCrossEntry && !d.faultyPaths[f.Field] && !d.faultyPaths[""] {
			r.addFault(nearestLine(d.lines, f.Field), field+"."+f.Field, "%s", f.Message)
		}
	}
	r.file.hasUnreadEntries = r.file.hasUnreadEntries || len(d.faultyPaths) > 0
	if d.faultyPaths["kind"] || d.faultyPaths["name"] || d.faultyPaths[""] {
		return
	}
	if before, ok := r.file.lines[e.ID()]; ok {
		r.addFault(lineOf(node), field, "duplicate entry %s, first set at line %d", e.ID(), before[""])
		return
	}
	r.file.lines[e.ID()] = d.lines
	r.file.Entries = append(r.file.Entries, e)
}

func (r *fileReader) readDeletion(node ast.Node, field string) {
	var id ID
	d := newDecoder(r, field)
	d.decode(node, "", reflect.ValueOf(&id).Elem())
	if len(d.faultyPaths) > 0 {
		return
	}
	if !slices.Contains(Kinds(), id.Kind) {
		r.addFault(nearestLine(d.lines, "kind"), field+".kind", "must be one of %v, got %q", Kinds(), id.Kind)
	}
	if id.Name == "" {
		r.addFault(nearestLine(d.lines, "name"), field+".name", "must not be empty")
	}
	if slices.Contains(r.file.Delete, id) {
		r.addFault(lineOf(node), field, "duplicate deletion of %s", id)
	}
	r.file.Delete = append(r.file.Delete, id)
	r.file.deleteLines = append(r.file.deleteLines, lineOf(node))
}

// checkDeletions adds a fault for each entry that the file both sets and deletes.
func (r *fileReader) checkDeletions() {
	for n, id := range r.file.Delete {
		if lines, ok := r.file.lines[id]; ok {
			r.addFault(r.file.deleteLines[n], "delete["+strconv.Itoa(n)+"]", "%s is both set, at line %d, and deleted", id, lines[""])
		}
	}
}

// keyText returns the key of a pair as written in the file.
func keyText(v *ast.MappingValueNode) string {
	if t := v.Key.GetToken(); t != nil {
		return t.Value
	}
	return ""
}

// mappingValues returns the pairs of a mapping, nil for other nodes. The library
// represents a mapping of one pair by a separate type.
func mappingValues(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		if n.Values == nil {
			return []*ast.MappingValueNode{}
		}
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	return nil
}

func lineOf(node ast.Node) int {
	if node == nil {
		return 0
	}
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
