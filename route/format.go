package route

import (
	"fmt"
	"slices"
	"strings"
)

// Unreadable returns the finding for a configuration whose text can't be parsed.
func Unreadable(line int, problem string) Finding {
	return Finding{Severity: Error, Line: line, Problem: problem, Allowed: "a valid document"}
}

// WrongType returns the finding for a value of another type than the expected one. The
// whole configuration can't be adopted then.
func WrongType(path Path, line int, value, allowed string) Finding {
	return Finding{Severity: Error, Path: path, Line: line, Value: value, Problem: "the value has another type, so the configuration can't be adopted", Allowed: allowed}
}

// UnknownKind returns the finding for a route whose kind is unknown. Its requests run at
// most once, which may be less than its author wanted.
func UnknownKind(path Path, line int, value string, known []string) Finding {
	return Finding{
		Severity: Error, Path: path, Line: line, Value: value,
		Problem: "unknown kind, requests run at most once", Allowed: strings.Join(known, ", "),
	}
}

// DuplicateField returns the finding for a field that an object has twice.
func DuplicateField(path Path, line, firstLine int) Finding {
	return Finding{
		Severity: Error, Path: path, Line: line,
		Problem: fmt.Sprintf("the same key is set at line %d already, and only the last value counts", firstLine), Allowed: "each key once",
	}
}

// maxMisspelling is the number of inserted, left out or replaced letters up to which an
// unknown field counts as a misspelled one. Other unknown fields belong to readers of the
// configuration apart from this system, and are no findings.
const maxMisspelling = 2

// Misspelled returns the finding for an unknown field whose name resembles a known one, or
// false if it resembles none.
func Misspelled(path Path, line int, name string, known []string) (Finding, bool) {
	if slices.Contains(known, name) {
		return Finding{}, false
	}
	best, least := "", maxMisspelling+1
	for _, k := range known {
		// Short names resemble each other by chance: half of the letters have to agree.
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < least && 2*d < len(k) {
			best, least = k, d
		}
	}
	if best == "" {
		return Finding{}, false
	}
	problem := "unknown key without effect, probably a misspelling"
	if least == 0 {
		problem = "the key differs in upper and lower case"
	}
	return Finding{Severity: Warning, Path: path, Line: line, Problem: problem, Allowed: best}, true
}

// editDistance returns the least number of insertions, deletions and replacements of
// bytes that turn a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
