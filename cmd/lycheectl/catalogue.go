package main

import (
	"context"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/console"
)

func catalogueCommand() *cli.Command {
	return group("catalogue", "read and edit the catalogue",
		&cli.Command{
			Name: "apply", Usage: "check a catalogue file in full and apply it as one edit", ArgsUsage: "FILE.yaml",
			Flags:  []cli.Flag{&cli.BoolFlag{Name: "dry-run", Usage: "check and show the changes, append nothing"}},
			Action: action(applyFile),
		},
		&cli.Command{
			Name: "get", Usage: "print entries as YAML that apply accepts, with their revisions", ArgsUsage: "[KIND [NAME]]",
			Action: action(getEntries),
		},
		&cli.Command{
			Name: "diff", Usage: "show what applying a catalogue file would change", ArgsUsage: "FILE.yaml",
			Action: action(diffFile),
		},
		&cli.Command{
			Name: "history", Usage: "list the edits with their verdicts, newest first; times are those of the authors' clocks",
			Flags:  []cli.Flag{&cli.IntFlag{Name: "limit", Value: 20, Usage: "list at most `N` edits; 0 for all that are retained"}},
			Action: action(listHistory),
		},
	)
}

func applyFile(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	file, err := readFile(c)
	if err != nil {
		return result{}, err
	}
	applied, err := k.Commands().Apply(ctx, file, c.Bool("dry-run"))
	if err != nil {
		return result{}, err
	}
	return result{text: applied.Text(), value: applied}, nil
}

func diffFile(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	file, err := readFile(c)
	if err != nil {
		return result{}, err
	}
	d, err := k.Queries().Diff(ctx, file)
	if err != nil {
		return result{}, err
	}
	return result{text: d.Text(), value: d}, nil
}

func getEntries(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	args, err := arguments(c, 0, 2)
	if err != nil {
		return result{}, err
	}
	e, err := k.Queries().Get(ctx, args[0], args[1])
	if err != nil {
		return result{}, err
	}
	return result{text: e.Text(), value: e}, nil
}

func listHistory(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	if _, err := arguments(c, 0, 0); err != nil {
		return result{}, err
	}
	limit := c.Int("limit")
	if limit < 0 {
		return result{}, eris.Wrap(console.ErrUsage, "--limit must not be negative")
	}
	h, err := k.Queries().History(ctx, limit)
	if err != nil {
		return result{}, err
	}
	return result{text: h.Text(), value: h}, nil
}

// readFile reads the catalogue file that is the only argument. It stops behind
// the size that the reader of catalogue files refuses.
func readFile(c *cli.Command) (console.NamedFile, error) {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return console.NamedFile{}, err
	}
	f, err := os.Open(args[0])
	if err != nil {
		return console.NamedFile{}, eris.Wrap(console.ErrUsage, err.Error())
	}
	data, err := io.ReadAll(io.LimitReader(f, catalogue.MaxFileBytes+1))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return console.NamedFile{}, eris.Wrap(console.ErrUsage, err.Error())
	}
	return console.NamedFile{Name: args[0], Data: data}, nil
}
