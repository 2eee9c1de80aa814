package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/console"
)

// explainCommand works on collected log files alone, without the platform.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the path of requests through the instances from collected log files",
		ArgsUsage: "ID [ID ...]",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "log `FILE` of an instance, - for the standard input; repeatable"},
		},
		Action: explainRequests,
	}
}

func explainRequests(_ context.Context, c *cli.Command) error {
	ids, names := c.Args().Slice(), c.StringSlice("log")
	if len(ids) == 0 || len(names) == 0 {
		return eris.Wrap(console.ErrUsage, "an ID and a --log are needed")
	}
	logs, closeAll, err := openLogs(c, names)
	if err != nil {
		return err
	}
	defer closeAll()
	traces, err := console.Traces(ids, logs...)
	if err != nil {
		return err
	}
	if c.String("output") == jsonOutput {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(traces)
	}
	for _, t := range traces {
		t.Write(c.Root().Writer)
	}
	return nil
}

// openLogs opens log files, of which - is the standard input.
func openLogs(c *cli.Command, names []string) (logs []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		if name == "-" {
			logs = append(logs, c.Root().Reader)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, eris.Wrap(err, "open log")
		}
		files, logs = append(files, file), append(logs, file)
	}
	return logs, closeAll, nil
}
