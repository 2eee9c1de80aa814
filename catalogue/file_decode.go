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

// decoder decodes one entry of a file. Unlike the YAML library it goes on after
// a fault, so that all faults of an entry are found at once.
type decoder struct {
	reader *fileReader
	field  string
	// lines holds the lines of the fields by their paths; the entry itself has
	// the empty path.
	lines map[string]int
	// faulty holds the paths of the fields that have a fault.
	faulty map[string]bool
}

func newDecoder(r *fileReader, field string) *decoder {
	return &decoder{reader: r, field: field, lines: map[string]int{}, faulty: map[string]bool{}}
}

func (d *decoder) fault(line int, path, format string, args ...any) {
	d.faulty[path] = true
	d.reader.fault(line, strings.TrimSuffix(d.field+"."+path, "."), format, args...)
}

var durationType = reflect.TypeFor[time.Duration]()

// decode sets a value from a node.
func (d *decoder) decode(node ast.Node, path string, into reflect.Value) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = lineOf(node)
	}
	switch {
	case into.Type() == durationType:
		d.duration(node, path, into)
	case into.Kind() == reflect.Struct:
		d.mapping(node, path, into)
	case into.Kind() == reflect.Slice:
		d.list(node, path, into)
	case into.Kind() == reflect.String:
		d.text(node, path, into)
	case into.Kind() == reflect.Bool:
		d.truth(node, path, into)
	case into.Kind() == reflect.Int:
		d.number(node, path, into)
	case into.Kind() == reflect.Uint64:
		d.revision(node, path, into)
	default:
		panic(fmt.Sprintf("catalogue: no decoder for %s", into.Type()))
	}
}

func (d *decoder) mapping(node ast.Node, path string, into reflect.Value) {
	values := mappingValues(node)
	if values == nil {
		d.fault(lineOf(node), path, "must be a mapping, is %s", describe(node))
		return
	}
	names := fieldNames(into.Type())
	for _, v := range values {
		key := keyOf(v)
		inner := strings.TrimPrefix(path+"."+key, ".")
		if before, ok := d.lines[inner]; ok {
			d.fault(lineOf(v), inner, "stands at line %d already", before)
			continue
		}
		n := slices.Index(names, key)
		if n < 0 {
			d.fault(lineOf(v), inner, "unknown field; known are %s", strings.Join(names, ", "))
			continue
		}
		d.lines[inner] = lineOf(v)
		d.decode(v.Value, inner, into.Field(n))
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

func (d *decoder) list(node ast.Node, path string, into reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fault(lineOf(node), path, "must be a list, is %s", describe(node))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Values), len(list.Values)))
	for n, v := range list.Values {
		d.decode(v, path+"["+strconv.Itoa(n)+"]", into.Index(n))
	}
}

func (d *decoder) text(node ast.Node, path string, into reflect.Value) {
	switch n := node.(type) {
	case *ast.StringNode:
		into.SetString(n.Value)
	case *ast.LiteralNode:
		into.SetString(n.Value.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		d.fault(lineOf(node), path, "must be text, is %s; put it in quotes", describe(node))
	default:
		d.fault(lineOf(node), path, "must be text, is %s", describe(node))
	}
}

func (d *decoder) truth(node ast.Node, path string, into reflect.Value) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		d.fault(lineOf(node), path, "must be true or false, is %s", describe(node))
		return
	}
	into.SetBool(n.Value)
}

func (d *decoder) number(node ast.Node, path string, into reflect.Value) {
	switch n := integerOf(node).(type) {
	case int64:
		into.SetInt(n)
	case uint64:
		if n > math.MaxInt64 {
			d.fault(lineOf(node), path, "is too large")
			return
		}
		into.SetInt(int64(n))
	default:
		d.fault(lineOf(node), path, "must be an integer, is %s", describe(node))
	}
}

func (d *decoder) revision(node ast.Node, path string, into reflect.Value) {
	n, ok := integerOf(node).(uint64)
	if !ok {
		d.fault(lineOf(node), path, "must be an integer of at least 0, is %s", describe(node))
		return
	}
	into.SetUint(n)
}

// integerOf returns an int64 for a negative integer, a uint64 for another one,
// and nil for other nodes.
func integerOf(node ast.Node) any {
	if n, ok := node.(*ast.IntegerNode); ok {
		return n.Value
	}
	return nil
}

func (d *decoder) duration(node ast.Node, path string, into reflect.Value) {
	n, ok := node.(*ast.StringNode)
	if !ok {
		d.fault(lineOf(node), path, "must be a duration with a unit, such as 10s, is %s", describe(node))
		return
	}
	value, err := time.ParseDuration(n.Value)
	if err != nil {
		d.fault(lineOf(node), path, "must be a duration with a unit, such as 10s")
		return
	}
	into.SetInt(int64(value))
}

// describe names the type of a node.
func describe(node ast.Node) string {
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
		return "true or false"
	case *ast.NullNode:
		return "empty"
	}
	return "something else"
}
