package settings

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is the sentinel error of settings that can't be used.
var ErrInvalid = errors.New("invalid settings")

// Fault is one mistake in a settings file.
type Fault struct {
	// File is the name that was given to Read.
	File string
	// Line counts from 1. For a missing setting it is the line of the section
	// that lacks it.
	Line int
	// Path is the path of field names, joined by dots; empty for a fault of the
	// whole file.
	Path string
	// Problem is what is wrong; it reads on from the path.
	Problem string
}

// String returns "file:line: path: problem".
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Problem)
}

// Faults is the error with all mistakes of a settings file, by line.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, x := range f {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }
