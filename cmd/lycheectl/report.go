package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/console"
)

// result is what a command prints: a text for people and a value for JSON.
type result struct {
	text  string
	value any
}

// actionError is an error of an action; all other errors of the command line
// are wrong usage.
type actionError struct{ error }

// Unwrap returns the error of the action.
func (a actionError) Unwrap() error { return a.error }

// action prints the result of do, which may come with an error.
func action(do func(ctx context.Context, c *cli.Command, k *console.Console) (result, error)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		k, isLog, err := logConsole(c)
		if !isLog {
			k, err = consoleOf(c)
		}
		if err != nil {
			return actionError{err}
		}
		r, err := do(ctx, c, k)
		if r.value != nil {
			if printErr := printResult(c, r); printErr != nil {
				err = errors.Join(err, printErr)
			}
		}
		if err != nil {
			return actionError{err}
		}
		return nil
	}
}

func printResult(c *cli.Command, r result) error {
	out := c.Root().Writer
	if c.String("output") == jsonOutput {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return eris.Wrap(e.Encode(r.value), "print result")
	}
	_, err := io.WriteString(out, r.text)
	return eris.Wrap(err, "print result")
}

// hints say what an operator can do about a failure.
var hints = map[console.Code]string{
	console.Usage:       "run with --help for the usage",
	console.Conflict:    "nothing has changed; look at the current entries with: lycheectl catalogue get",
	console.Invalid:     "nothing has changed",
	console.Unavailable: "no edit was made; the instances go on by the catalogue that they have. While the log is down, datacentre take-out --hold works through the instances",
	console.Undecided:   "the edit may be in the log or not; don't repeat it before you have looked for it with: lycheectl --output json catalogue history",
}

// report prints an error and returns its exit code.
func report(err error, errOut io.Writer) console.Code {
	if err == nil {
		return console.Done
	}
	var checked codeError
	if errors.As(err, &checked) {
		return checked.code
	}
	code := console.Usage
	var failed actionError
	if errors.As(err, &failed) {
		code = console.CodeOf(failed.error)
	}
	fmt.Fprintln(errOut, "lycheectl:", strings.TrimSpace(err.Error()))
	if hint := hints[code]; hint != "" {
		fmt.Fprintln(errOut, hint)
	}
	return code
}

// arguments returns the positional arguments, of which there must be from least
// to most.
func arguments(c *cli.Command, least, most int) ([]string, error) {
	if n := c.Args().Len(); n < least || n > most {
		takes := c.ArgsUsage
		if most == 0 {
			takes = "no arguments"
		}
		return nil, eris.Wrapf(console.ErrUsage, "%s takes %s", c.FullName(), takes)
	}
	return append(c.Args().Slice(), make([]string, most-c.Args().Len())...), nil
}
