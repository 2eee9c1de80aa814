package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Read parses and checks settings; name is the file's name in messages. The
// error is of the type Faults, lists every mistake and matches ErrInvalid.
func Read(data []byte, name string) (Settings, error) {
	r := reader{file: name, lines: map[string]int{}}
	for _, e := range table {
		if !e.Required {
			r.mustSet(e)
		}
	}
	r.readFile(data)
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, r.faults
	}
	return r.settings, nil
}

// reader collects the settings and faults of one file.
type reader struct {
	file     string
	settings Settings
	faults   Faults
	// lines holds the line of each section and setting seen, by path.
	lines map[string]int
}

// mustSet sets a default. A default that its own check refuses is a
// programmer's mistake.
func (r *reader) mustSet(e entry) {
	if problem := e.value(&r.settings).set(e.Default); problem != "" {
		panic("settings: default of " + e.Path + " " + problem)
	}
}

func (r *reader) fault(line int, path, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Line: max(line, 1), Path: path, Problem: fmt.Sprintf(format, args...)})
}

func (r *reader) readFile(data []byte) {
	// The parser stops at the first duplicate key unless it is told to allow
	// them; readMapping reports all of them.
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.faultSyntax(err)
		return
	}
	if len(file.Docs) > 1 {
		r.fault(lineOf(file.Docs[1].Body), "", "has more than one YAML document")
	}
	if len(file.Docs) > 0 {
		r.readSection("", file.Docs[0].Body)
	}
	r.checkRequired()
	r.checkListen()
}

// faultSyntax reports an error of the parser without the excerpt of the file
// that the parser's own text has.
func (r *reader) faultSyntax(err error) {
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		line := 1
		if t := syntax.GetToken(); t != nil && t.Position != nil {
			line = t.Position.Line
		}
		r.fault(line, "", "is no YAML: %s", syntax.GetMessage())
		return
	}
	r.fault(1, "", "is no YAML")
}

func (r *reader) readSection(prefix string, node ast.Node) {
	switch n := node.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
	case *ast.MappingNode:
		for _, v := range n.Values {
			r.readPair(prefix, v)
		}
	case *ast.MappingValueNode:
		r.readPair(prefix, n)
	default:
		r.fault(lineOf(node), prefix, "must be a section with named fields")
	}
}

func (r *reader) readPair(prefix string, pair *ast.MappingValueNode) {
	field := pair.Key.GetToken().Value
	path := strings.TrimPrefix(prefix+"."+field, ".")
	line := lineOf(pair.Key)
	if first, ok := r.lines[path]; ok {
		r.fault(line, path, "is given twice, first on line %d", first)
		return
	}
	r.lines[path] = line
	if strings.Contains(field, ".") {
		// A dotted field would pass for a setting inside a section.
		r.fault(line, path, "is no setting")
		return
	}
	for _, e := range table {
		if e.Path == path {
			r.readSetting(e, line, pair.Value)
			return
		}
		if strings.HasPrefix(e.Path, path+".") {
			r.readSection(path, pair.Value)
			return
		}
	}
	r.fault(line, path, "is no setting")
}

func (r *reader) readSetting(e entry, line int, node ast.Node) {
	var text string
	switch n := node.(type) {
	case *ast.LiteralNode:
		text = n.Value.Value
	case *ast.StringNode:
		text = n.Value
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		text = n.GetToken().Value
	case nil, *ast.NullNode:
		r.fault(line, e.Path, "has no value")
		return
	default:
		r.fault(line, e.Path, "must be a single plain value")
		return
	}
	if problem := e.value(&r.settings).set(text); problem != "" {
		r.fault(line, e.Path, "%s", problem)
	}
}

func (r *reader) checkRequired() {
	for _, e := range table {
		if _, ok := r.lines[e.Path]; ok || !e.Required {
			continue
		}
		section, _, _ := strings.Cut(e.Path, ".")
		r.fault(r.lines[section], e.Path, "is required")
	}
}

func (r *reader) checkListen() {
	l := r.settings.Listen
	a, err := netip.ParseAddrPort(l.Peers)
	if err == nil && l.Callers == l.Peers && a.Port() != 0 {
		r.fault(max(r.lines["listen.peers"], r.lines["listen.callers"]), "listen.peers", "must differ from listen.callers")
	}
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 1
	}
	return n.GetToken().Position.Line
}
