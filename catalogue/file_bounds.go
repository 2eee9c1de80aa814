package catalogue

import (
	"bytes"
	"slices"

	"github.com/goccy/go-yaml/token"
)

const (
	// maxLine bounds the length of a line in bytes, since the scanner of the
	// library takes quadratic time for some long lines.
	maxLine = 8 << 10
	// maxNesting bounds brackets within brackets, and the indicators of one line.
	// The parser is recursive, and a deep nesting would exhaust the stack, which
	// no program survives. An entry needs 3.
	maxNesting = 16
	// maxIndent bounds the column at which a line starts, and with it the nesting
	// by indentation.
	maxIndent = 128
	// maxEmpty bounds the keys and list elements without a value, for each of
	// which the parser goes through all tokens behind it.
	maxEmpty = 64
	// maxKeys bounds the keys of a mapping in block style, since the parser
	// descends one level for each. An entry has at most 17.
	maxKeys = 64
)

// lineLengths finds lines that are too long.
func (r *fileReader) lineLengths(data []byte) {
	number := 0
	for line := range bytes.Lines(data) {
		number++
		if len(line) > maxLine {
			r.fault(number, "file", "the line has %d bytes, the limit is %d", len(line), maxLine)
		}
	}
}

// bounds finds what the parser must not see, and YAML features that files don't
// need.
func (r *fileReader) bounds(tokens token.Tokens) {
	n := nesting{}
	// The parser drops comments, so they don't count as values here.
	tokens = slices.DeleteFunc(slices.Clone(tokens), func(t *token.Token) bool { return t.Type == token.CommentType })
	for i, t := range tokens {
		switch t.Type {
		case token.DocumentHeaderType:
			if i > 0 {
				r.fault(t.Position.Line, "file", "must be a single document")
				return
			}
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			r.fault(t.Position.Line, "file", "%q: anchors, aliases, tags, merge keys, complex keys and directives are not supported", t.Value)
		}
		var next *token.Token
		if i+1 < len(tokens) {
			next = tokens[i+1]
		}
		n.add(t, next)
		if n.brackets > maxNesting || n.indicators > maxNesting || n.indent > maxIndent {
			r.fault(t.Position.Line, "file", "is nested too deep")
			return
		}
		if n.empty > maxEmpty {
			r.fault(t.Position.Line, "file", "more than %d keys and list elements have no value", maxEmpty)
			return
		}
		if n.brackets == 0 && n.keys[n.column] > maxKeys {
			r.fault(t.Position.Line, "file", "a mapping has more than %d keys", maxKeys)
			return
		}
	}
}

// nesting is what bounds the depth of the tree at a token.
type nesting struct {
	line       int
	brackets   int
	indicators int
	indent     int
	// empty is the number of keys and list elements without a value.
	empty int
	// braces tells which of the brackets are braces.
	braces [maxNesting + 2]bool
	// pending tells that an opening brace or a comma in braces has had no colon
	// behind it yet.
	pending bool
	// element is the line of the latest list element in block style.
	element int
	// column is that of the latest key or list element in block style, keys the
	// number of keys of the mappings around it by their column.
	column int
	keys   [maxIndent + 1]int
}

// add takes a token and the one behind it.
func (n *nesting) add(t, next *token.Token) {
	if t.Position.Line != n.line {
		n.line, n.indicators, n.indent = t.Position.Line, 0, t.Position.Column
		if n.brackets > 0 {
			n.indent = 0
		}
	}
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.brackets = min(n.brackets+1, maxNesting+1)
		n.braces[n.brackets] = t.Type == token.MappingStartType
		n.pending = n.awaitsKey(next)
	case token.SequenceEndType, token.MappingEndType, token.CollectEntryType:
		// A key in braces that no colon followed has no value.
		if n.pending {
			n.empty++
		}
		if t.Type != token.CollectEntryType {
			n.brackets = max(n.brackets-1, 0)
		}
		n.pending = t.Type == token.CollectEntryType && n.awaitsKey(next)
	case token.SequenceEntryType:
		n.indicator(t, 0)
		n.value(t, next)
	case token.MappingValueType:
		n.pending = false
		n.indicator(t.Prev, 1)
		n.value(t.Prev, next)
	}
}

// awaitsKey reports whether a key in braces comes next.
func (n *nesting) awaitsKey(next *token.Token) bool {
	return n.braces[n.brackets] && next != nil && next.Type != token.MappingEndType
}

// indicator takes a key or a list element in block style, which ends all
// mappings that stand further right.
func (n *nesting) indicator(t *token.Token, keys int) {
	if n.brackets > 0 || t == nil {
		return
	}
	n.indicators++
	if keys == 0 && n.element == t.Position.Line {
		// A list within a list has no use, and the parser takes quadratic time
		// for many of them.
		n.indicators = maxNesting + 1
	}
	if keys == 0 {
		n.element = t.Position.Line
	}
	n.column = min(t.Position.Column, maxIndent)
	n.keys[n.column] += keys
	clear(n.keys[n.column+1:])
}

// value takes the token behind a key or list element.
func (n *nesting) value(t, next *token.Token) {
	if t == nil || next == nil {
		return
	}
	if n.brackets > 0 {
		if next.Type == token.CollectEntryType || next.Type == token.MappingEndType || next.Type == token.SequenceEndType {
			n.empty++
		}
		return
	}
	if next.Position.Line == t.Position.Line || next.Position.Column > t.Position.Column {
		return
	}
	// A list may stand in the same column as its key.
	if t.Type == token.SequenceEntryType || next.Type != token.SequenceEntryType || next.Position.Column < t.Position.Column {
		n.empty++
	}
}
