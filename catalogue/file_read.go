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
	if len(data) > MaxFileBytes {
		r.fault(0, "file", "has %d bytes, the limit is %d", len(data), MaxFileBytes)
		return
	}
	if r.lineLengths(data); len(r.found) > 0 {
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
			r.document(doc.Body)
		}
	}
	if empty {
		r.fault(0, "file", "is empty; it must have entries or delete")
	}
	r.deletions()
}

// parse returns the tree of the file, or nil after a fault.
func (r *fileReader) parse(data []byte) (tree *ast.File) {
	// The YAML library panics on some malformed files.
	defer func() {
		if p := recover(); p != nil {
			r.fault(0, "file", "is no YAML: %v", p)
			tree = nil
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if r.bounds(tokens); len(r.found) > 0 {
		return nil
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return nil
	}
	return tree
}

// syntax reports an error of the YAML library with its line.
func (r *fileReader) syntax(err error) {
	line, message := 0, err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			line = t.Position.Line
		}
	}
	message, _, _ = strings.Cut(message, "\n")
	r.fault(line, "file", "%s", message)
}

func (r *fileReader) document(body ast.Node) {
	values := mappingValues(body)
	if values == nil {
		r.fault(lineOf(body), "file", "must be a mapping with entries and delete")
		return
	}
	lines := map[string]int{}
	for _, v := range values {
		key := keyOf(v)
		if before, ok := lines[key]; ok {
			r.fault(lineOf(v), key, "stands at line %d already", before)
			continue
		}
		lines[key] = lineOf(v)
		switch key {
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
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
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
	d := newDecoder(r, field)
	d.decode(node, "", reflect.ValueOf(&e).Elem())
	// An entry by itself, without the rules that concern other entries.
	for _, f := range Check([]Entry{e}) {
		if !f.Reference && !d.faulty[f.Field] && !d.faulty[""] {
			r.fault(lineIn(d.lines, f.Field), field+"."+f.Field, "%s", f.Message)
		}
	}
	if d.faulty["kind"] || d.faulty["name"] || d.faulty[""] {
		return
	}
	if before, ok := r.file.lines[e.ID()]; ok {
		r.fault(lineOf(node), field, "%s stands at line %d already", e.ID(), before[""])
		return
	}
	r.file.lines[e.ID()] = d.lines
	r.file.Entries = append(r.file.Entries, e)
}

func (r *fileReader) deletion(node ast.Node, field string) {
	var id ID
	d := newDecoder(r, field)
	d.decode(node, "", reflect.ValueOf(&id).Elem())
	if len(d.faulty) > 0 {
		return
	}
	if !slices.Contains(Kinds(), id.Kind) {
		r.fault(lineIn(d.lines, "kind"), field+".kind", "must be one of %v", Kinds())
	}
	if id.Name == "" {
		r.fault(lineIn(d.lines, "name"), field+".name", "must not be empty")
	}
	if slices.Contains(r.file.Delete, id) {
		r.fault(lineOf(node), field, "%s is deleted twice", id)
	}
	r.file.Delete = append(r.file.Delete, id)
	r.file.deleteLines = append(r.file.deleteLines, lineOf(node))
}

// deletions finds entries that the file both sets and deletes.
func (r *fileReader) deletions() {
	for n, id := range r.file.Delete {
		if lines, ok := r.file.lines[id]; ok {
			r.fault(r.file.deleteLines[n], "delete["+strconv.Itoa(n)+"]", "%s is also an entry, at line %d", id, lines[""])
		}
	}
}

// keyOf returns the key of a pair as it stands in the file.
func keyOf(v *ast.MappingValueNode) string {
	if t := v.Key.GetToken(); t != nil {
		return t.Value
	}
	return ""
}

// mappingValues returns the pairs of a mapping, nil for other nodes. The
// library has a type of its own for a mapping of one pair.
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
