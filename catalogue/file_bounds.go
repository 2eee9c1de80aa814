package catalogue

import (
	"bytes"
	"slices"

	"github.com/goccy/go-yaml/token"
)

const (
	// maxLineBytes bounds the length of a line because the scanner of the YAML
	// library takes quadratic time for some long lines.
	maxLineBytes = 8 << 10
	// maxNesting bounds nested brackets and the indicators (keys and dashes of list
	// elements) on one line. The parser
	// is recursive, and deep nesting would exhaust the stack, which terminates the
	// process. An entry needs 3.
	maxNesting = 16
	// maxIndentColumns bounds the column at which a line starts, and so the
	// nesting by indentation.
	maxIndentColumns = 128
	// maxEmptyValues bounds the keys and list elements without a value. For each of
	// them the parser scans all following tokens.
	maxEmptyValues = 64
	// maxMappingKeys bounds the keys of a mapping in block style because the parser
	// recurses one level for each. An entry has at most 17.
	maxMappingKeys = 64
)

// checkLineLengths adds a fault for each line longer than maxLineBytes.
func (r *fileReader) checkLineLengths(data []byte) {
	number := 0
	for line := range bytes.Lines(data) {
		number++
		if len(line) > maxLineBytes {
			r.addFault(number, "file", "the line has %d bytes, the limit is %d", len(line), maxLineBytes)
		}
	}
}

// checkBounds adds faults for tokens that would make the parser exhaust the stack
// or take quadratic time, and for YAML features that are not supported.
func (r *fileReader) checkBounds(tokens token.Tokens) {
	n := nesting{}
	// The parser drops comments, so a comment is not counted as the value of a key.
	tokens = slices.DeleteFunc(slices.Clone(tokens), func(t *token.Token) bool { return t.Type == token.CommentType })
	for i, t := range tokens {
		switch t.Type {
		case token.DocumentHeaderType:
			if i > 0 {
				r.addFault(t.Position.Line, "file", "must be a single YAML document")
				return
			}
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			r.addFault(t.Position.Line, "file", "%q: anchors, aliases, tags, merge keys, complex keys and directives are not supported", t.Value)
		}
		var next *token.Token
		if i+1 < len(tokens) {
			next = tokens[i+1]
		}
		n.addToken(t, next)
		if n.brackets > maxNesting || n.indicators > maxNesting || n.indent > maxIndentColumns {
			r.addFault(t.Position.Line, "file", "nested too deeply, or a list directly in a list; the limits are %d nested brackets, or keys and dashes on a line, and %d columns of indentation", maxNesting, maxIndentColumns)
			return
		}
		if n.emptyValues > maxEmptyValues {
			r.addFault(t.Position.Line, "file", "more than %d keys and list elements have no value", maxEmptyValues)
			return
		}
		if n.brackets == 0 && n.keyCounts[n.keyColumn] > maxMappingKeys {
			r.addFault(t.Position.Line, "file", "a mapping has more than %d keys", maxMappingKeys)
			return
		}
	}
}

// nesting tracks, token by token, the counts that bound the depth of the tree.
type nesting struct {
	line     int
	brackets int
	// indicators is the number of keys and dashes of list elements on the line.
	indicators int
	indent     int
	// emptyValues is the number of keys and list elements without a value.
	emptyValues int
	// isBrace reports for each open bracket whether it is a brace.
	isBrace [maxNesting + 2]bool
	// keyPending reports that the current key in braces has no value so far, because
	// its colon was not read.
	keyPending bool
	// elementLine is the line of the last list element in block style.
	elementLine int
	// keyColumn is the column of the last key or list element in block style.
	// keyCounts[c] is the number of keys so far in the open mapping at column c.
	keyColumn int
	keyCounts [maxIndentColumns + 1]int
}

// addToken counts a token; next is the token that follows it.
func (n *nesting) addToken(t, next *token.Token) {
	if t.Position.Line != n.line {
		n.line, n.indicators, n.indent = t.Position.Line, 0, t.Position.Column
		if n.brackets > 0 {
			n.indent = 0
		}
	}
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.brackets = min(n.brackets+1, maxNesting+1)
		n.isBrace[n.brackets] = t.Type == token.MappingStartType
		n.keyPending = n.expectsKey(next)
	case token.SequenceEndType, token.MappingEndType, token.CollectEntryType:
		// A key in braces without a colon has no value.
		if n.keyPending {
			n.emptyValues++
		}
		if t.Type != token.CollectEntryType {
			n.brackets = max(n.brackets-1, 0)
		}
		n.keyPending = t.Type == token.CollectEntryType && n.expectsKey(next)
	case token.SequenceEntryType:
		n.addIndicator(t, 0)
		n.countIfEmpty(t, next)
	case token.MappingValueType:
		n.keyPending = false
		n.addIndicator(t.Prev, 1)
		n.countIfEmpty(t.Prev, next)
	}
}

// expectsKey reports whether the next token is a key in braces.
func (n *nesting) expectsKey(next *token.Token) bool {
	return n.isBrace[n.brackets] && next != nil && next.Type != token.MappingEndType
}

// addIndicator counts a key or a list element in block style, which ends all
// mappings with a larger indentation. The argument keys is 1 for a key and 0 for a
// list element.
func (n *nesting) addIndicator(t *token.Token, keys int) {
	if n.brackets > 0 || t == nil {
		return
	}
	n.indicators++
	if keys == 0 && n.elementLine == t.Position.Line {
		// No field is a list of lists, and the parser takes quadratic time for many
		// of them.
		n.indicators = maxNesting + 1
	}
	if keys == 0 {
		n.elementLine = t.Position.Line
	}
	n.keyColumn = min(t.Position.Column, maxIndentColumns)
	n.keyCounts[n.keyColumn] += keys
	clear(n.keyCounts[n.keyColumn+1:])
}

// countIfEmpty counts a key or list element if next, the token that follows, is
// not its value.
func (n *nesting) countIfEmpty(t, next *token.Token) {
	if t == nil || next == nil {
		return
	}
	if n.brackets > 0 {
		if next.Type == token.CollectEntryType || next.Type == token.MappingEndType || next.Type == token.SequenceEndType {
			n.emptyValues++
		}
		return
	}
	if next.Position.Line == t.Position.Line || next.Position.Column > t.Position.Column {
		return
	}
	// A list may have the same indentation as its key.
	if t.Type == token.SequenceEntryType || next.Type != token.SequenceEntryType || next.Position.Column < t.Position.Column {
		n.emptyValues++
	}
}
