package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/console"
)

// textOutput is another name of the table output, for results that are no table.
const textOutput = "text"

// maxConfigurationBytes bounds the size of a file. A configuration of 200 routes and 230
// tenants has some 100 KB.
const maxConfigurationBytes = 16 << 20

// checkCommand works on files alone, without the platform.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a configuration of the users' platform before it is written to the store",
		ArgsUsage:   "FILE",
		Description: "FILE is a configuration in JSON, - for the standard input. Results are printed as text or, with --output json, as JSON.\n\nExit codes:\n0  clean\n1  warnings\n2  errors, or a file can't be read",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "against", Usage: "`FILE` with the active configuration, to show the differences from it"}},
		Action:      checkConfiguration,
	}
}

// codeError ends the program with a code after its results have been printed.
type codeError struct{ code console.Code }

// Error names the code.
func (e codeError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

func checkConfiguration(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	if o := c.String("output"); o != tableOutput && o != textOutput && o != jsonOutput {
		return eris.Wrapf(console.ErrUsage, "--output must be %s or %s, got %q", textOutput, jsonOutput, o)
	}
	file, err := readConfiguration(c, args[0])
	if err != nil {
		return err
	}
	var active *console.NamedFile
	if name := c.String("against"); name != "" {
		read, err := readConfiguration(c, name)
		if err != nil {
			return err
		}
		active = &read
	}
	checked, err := console.CheckConfiguration(file, active)
	if err != nil {
		return err
	}
	if err := printResult(c, result{text: checked.Text(), value: checked}); err != nil {
		return err
	}
	if code := checked.Code(); code != console.CheckClean {
		return codeError{code}
	}
	return nil
}

// readConfiguration reads a file, or the standard input if its name is -.
func readConfiguration(c *cli.Command, name string) (console.NamedFile, error) {
	in := c.Root().Reader
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return console.NamedFile{}, eris.Wrap(console.ErrUsage, err.Error())
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxConfigurationBytes+1))
	switch {
	case err != nil:
		return console.NamedFile{}, eris.Wrap(console.ErrUsage, err.Error())
	case len(data) > maxConfigurationBytes:
		return console.NamedFile{}, eris.Wrapf(console.ErrUsage, "%s is larger than %d bytes", name, maxConfigurationBytes)
	}
	return console.NamedFile{Name: name, Data: data}, nil
}
