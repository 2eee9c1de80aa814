package console

import (
	"errors"
	"fmt"
	"strings"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/editor"
	"lycheecrank.example/operator"
	"lycheecrank.example/provider"
)

// Code is the exit code of a command. Scripts rely on the numbers.
type Code int

// The exit codes.
const (
	// Done: the command did what it was asked.
	Done Code = 0
	// Failed: any other failure.
	Failed Code = 1
	// Usage: wrong arguments or flags.
	Usage Code = 2
	// Conflict: the edit is based on an older revision; nothing has changed.
	Conflict Code = 3
	// Invalid: the file has faults, or the edit breaks a rule; nothing has changed.
	Invalid Code = 4
	// Unavailable: the platform or all instances don't answer.
	Unavailable Code = 5
	// Undecided: the answer got lost and the edit could not be read back.
	Undecided Code = 6
	// NotInForce: not in force on every instance in time.
	NotInForce Code = 7
	// Violated: the catalogue did not entitle a request to its place, or decision
	// records are not intact.
	Violated Code = 8
)

// codeMeanings are the texts of the help, by code.
var codeMeanings = []string{
	"done", "failed", "usage", "conflict with another edit", "invalid file or edit", "platform unavailable",
	"undecided: the edit could not be read back", "not in force everywhere in time", "precedence violated or records not intact",
}

// CodesHelp lists the codes with their meanings, one a line.
func CodesHelp() string {
	var b strings.Builder
	for n, m := range codeMeanings {
		fmt.Fprintf(&b, "%d  %s\n", n, m)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// Sentinel errors of the commands and queries.
var (
	// ErrUsage: an argument is wrong.
	ErrUsage = errors.New("wrong usage")
	// ErrConflict: the edit was refused because of another one.
	ErrConflict = errors.New("refused: conflict")
	// ErrInvalid: the edit or hold was refused because it breaks a rule.
	ErrInvalid = errors.New("refused: invalid")
	// ErrNotInForce: some instances don't follow in time.
	ErrNotInForce = errors.New("not in force everywhere")
	// ErrViolated: decision records show a violation or are not intact.
	ErrViolated = errors.New("precedence violated or records not intact")
	// ErrNoInstance: no instance answered.
	ErrNoInstance = errors.New("no instance answers")
	// ErrNotFound: the catalogue has no such entry.
	ErrNotFound = errors.New("not in the catalogue")
)

// codes maps errors to codes, the most telling ones first.
var codes = []struct {
	err  error
	code Code
}{
	{ErrUsage, Usage},
	{ErrConflict, Conflict},
	{ErrInvalid, Invalid},
	{catalogue.ErrFile, Invalid},
	{editor.ErrUndecided, Undecided},
	{ErrNotInForce, NotInForce},
	{ErrViolated, Violated},
	{ErrNoInstance, Unavailable},
	{provider.ErrUnavailable, Unavailable},
	{provider.ErrRateLimited, Unavailable},
	{operator.ErrUnavailable, Unavailable},
}

// CodeOf returns the exit code for the error of a command, Done for nil.
func CodeOf(err error) Code {
	if err == nil {
		return Done
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return Failed
}
