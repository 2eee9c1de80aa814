package catalogue

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// decoder decodes one entry of a file. Unlike the YAML library it continues after
// a fault, so that all faults of an entry are found in one run.
type decoder struct {
	reader *fileReader
	field  string
	// lines holds the lines of the fields by their paths; the empty path is that of
	// the entry itself.
	lines map[string]int
	// faultyPaths holds the paths of the fields with a fault.
	faultyPaths map[string]bool
}

func newDecoder(r *fileReader, field string) *decoder {
	return &decoder{reader: r, field: field, lines: map[string]int{}, faultyPaths: map[string]bool{}}
}

func (d *decoder) addFault(line int, path, format string, args ...any) {
	d.faultyPaths[path] = true
	d.reader.addFault(line, strings.TrimSuffix(d.field+"."+path, "."), format, args...)
}

var durationType = reflect.TypeFor[time.Duration]()

// decode sets target from a node and adds a fault if the type of the node doesn't
// match.
func (d *decoder) decode(node ast.Node, path string, target reflect.Value) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = lineOf(node)
	}
	switch {
	case target.Type() == durationType:
		d.decodeDuration(node, path, target)
	case target.Kind() == reflect.Struct:
		d.decodeMapping(node, path, target)
	case target.Kind() == reflect.Slice:
		d.decodeList(node, path, target)
	case target.Kind() == reflect.String:
		d.decodeText(node, path, target)
	case target.Kind() == reflect.Bool:
		d.decodeBool(node, path, target)
	case target.Kind() == reflect.Int:
		d.decodeInt(node, path, target)
	case target.Kind() == reflect.Uint64:
		d.decodeUint(node, path, target)
	default:
		panic(fmt.Sprintf("catalogue: no decoder for %s", target.Type()))
	}
}

func (d *decoder) decodeMapping(node ast.Node, path string, target reflect.Value) {
	values := mappingValues(node)
	if values == nil {
		d.addFault(lineOf(node), path, "must be a mapping, got %s", typeName(node))
		return
	}
	names := fieldNames(target.Type())
	for _, v := range values {
		key := keyText(v)
		inner := strings.TrimPrefix(path+"."+key, ".")
		if before, ok := d.lines[inner]; ok {
			d.addFault(lineOf(v), inner, "duplicate field, first set at line %d", before)
			continue
		}
		n := slices.Index(names, key)
		if n < 0 {
			d.addFault(lineOf(v), inner, "unknown field; known fields are %s", strings.Join(names, ", "))
			continue
		}
		d.lines[inner] = lineOf(v)
		d.decode(v.Value, inner, target.Field(n))
	}
}

// fieldNames returns the names of a struct's fields in files.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for n := range names {
		names[n], _, _ = strings.Cut(t.Field(n).Tag.Get("yaml"), ",")
	}
	return names
}

func (d *decoder) decodeList(node ast.Node, path string, target reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addFault(lineOf(node), path, "must be a list, got %s", typeName(node))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values)))
	for n, v := range list.Values {
		d.decode(v, path+"["+strconv.Itoa(n)+"]", target.Index(n))
	}
}

func (d *decoder) decodeText(node ast.Node, path string, target reflect.Value) {
	switch n := node.(type) {
	case *ast.StringNode:
		target.SetString(n.Value)
	case *ast.LiteralNode:
		target.SetString(n.Value.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		d.addFault(lineOf(node), path, "must be text, got %s; put it in quotes", typeName(node))
	default:
		d.addFault(lineOf(node), path, "must be text, got %s", typeName(node))
	}
}

func (d *decoder) decodeBool(node ast.Node, path string, target reflect.Value) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		d.addFault(lineOf(node), path, "must be true or false, got %s", typeName(node))
		return
	}
	target.SetBool(n.Value)
}

func (d *decoder) decodeInt(node ast.Node, path string, target reflect.Value) {
	switch n := integerOf(node).(type) {
	case int64:
		target.SetInt(n)
	case uint64:
		if n > math.MaxInt64 {
			d.addFault(lineOf(node), path, "must be at most %d, got %d", int64(math.MaxInt64), n)
			return
		}
		target.SetInt(int64(n))
	default:
		d.addFault(lineOf(node), path, "must be an integer, got %s", typeName(node))
	}
}

func (d *decoder) decodeUint(node ast.Node, path string, target reflect.Value) {
	n, ok := integerOf(node).(uint64)
	if !ok {
		d.addFault(lineOf(node), path, "must be an integer of at least 0, got %s", typeName(node))
		return
	}
	target.SetUint(n)
}

// integerOf returns an int64 for a negative integer, a uint64 for another one,
// and nil for other nodes.
func integerOf(node ast.Node) any {
	if n, ok := node.(*ast.IntegerNode); ok {
		return n.Value
	}
	return nil
}

func (d *decoder) decodeDuration(node ast.Node, path string, target reflect.Value) {
	n, ok := node.(*ast.StringNode)
	if !ok {
		d.addFault(lineOf(node), path, "must be a duration with a unit, such as 10s, got %s", typeName(node))
		return
	}
	value, err := time.ParseDuration(n.Value)
	if err != nil {
		d.addFault(lineOf(node), path, "must be a duration with a unit, such as 10s, got %q", n.Value)
		return
	}
	target.SetInt(int64(value))
}

// typeName returns the type of a node for fault messages.
func typeName(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "a boolean"
	case *ast.NullNode:
		return "no value"
	}
	return "unsupported YAML"
}
