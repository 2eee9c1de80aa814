package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/bench"
)

func cellFrom(name string) (bench.Cell, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return bench.Cell{}, eris.Wrap(err, "read cell")
	}
	return bench.ReadCell(data, name)
}

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measure what instances cost without callers, by their number",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "cell", Required: true, Usage: "cell file; its number of instances is not used"},
			&cli.IntSliceFlag{Name: "sizes", Value: []int{2, 4, 8, 16, 32, 64}, Usage: "numbers of instances"},
			&cli.DurationFlag{Name: "settle", Value: 20 * time.Second, Usage: "time before each measurement"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "time of each measurement, at most 60s"},
			&cli.StringFlag{Name: "interval", Value: "10s", Usage: "setting precedence.interval of the instances"},
			&cli.IntFlag{Name: "edits", Value: 3, Usage: "catalogue edits that are timed for each size"},
			&cli.StringFlag{Name: "result", Usage: "file for the result as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cell, err := cellFrom(c.String("cell"))
			if err != nil {
				return err
			}
			logs, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
			if err != nil {
				return err
			}
			defer func() { _ = logs.Close() }()
			r, err := bench.Control{
				Cell: cell, Launch: bench.LaunchProcess("instance"), Logs: logs, Sizes: c.IntSlice("sizes"),
				Settle: c.Duration("settle"), Duration: min(c.Duration("duration"), time.Minute),
				Interval: c.String("interval"), Edits: c.Int("edits"),
				Progress: func(format string, args ...any) { fmt.Fprintf(c.Root().ErrWriter, format+"\n", args...) },
			}.Run(ctx)
			if len(r.Rows) > 0 {
				fmt.Fprint(c.Root().Writer, r.Text())
			}
			if path := c.String("result"); path != "" && err == nil {
				err = r.WriteFile(path)
			}
			return err
		},
	}
}
