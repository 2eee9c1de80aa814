package route

import (
	"cmp"
	"slices"
	"strconv"
)

// Severity tells how serious a finding is.
type Severity int

// The severities.
const (
	// Warning is for a part of a configuration that has no effect or probably isn't what
	// its author wanted.
	Warning Severity = iota
	// Error is for a part of a configuration that can't be used as it is written or breaks
	// a rule of the platform.
	Error
)

// String returns the name of a severity.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// MarshalText returns the name of a severity, for JSON.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Path is the place of a value in a configuration, such as routes[2].stages[0].pool. The
// empty path is the whole configuration.
type Path string

// Field returns the path of a field.
func (p Path) Field(name string) Path {
	if p == "" {
		return Path(name)
	}
	return p + "." + Path(name)
}

// Index returns the path of an element of a list.
func (p Path) Index(i int) Path { return p + "[" + Path(strconv.Itoa(i)) + "]" }

// Finding is a fault of a configuration. It is an immutable value.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is in the words of this package until WithPlace replaces it.
	Path Path `json:"key"`
	// Line counts from 1; 0 if it is unknown.
	Line int `json:"line,omitempty"`
	// Value is the value at the path; empty if it is missing, a list or a secret.
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
	// Allowed describes the values that would be accepted.
	Allowed string `json:"allowed,omitempty"`
	// IsSecret is set if the value must not be shown, such as the key of a client.
	IsSecret bool `json:"-"`
}

// WithPlace returns a finding with its place in a file and the value there. The value of
// a secret is left out.
func (f Finding) WithPlace(path Path, line int, value string) Finding {
	f.Path, f.Line, f.Value = path, line, value
	if f.IsSecret {
		f.Value = ""
	}
	return f
}

// Findings are the faults of a configuration.
type Findings []Finding

// Count returns the number of findings of a severity.
func (f Findings) Count(s Severity) int {
	count := 0
	for _, x := range f {
		if x.Severity == s {
			count++
		}
	}
	return count
}

// ByLine returns the findings in the order of their lines.
func (f Findings) ByLine() Findings {
	sorted := append(Findings{}, f...)
	slices.SortStableFunc(sorted, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return sorted
}

// MostSevere returns at most limit findings, errors first.
func (f Findings) MostSevere(limit int) Findings {
	sorted := slices.Clone(f)
	slices.SortStableFunc(sorted, func(a, b Finding) int { return cmp.Compare(b.Severity, a.Severity) })
	return sorted[:min(limit, len(sorted))]
}
