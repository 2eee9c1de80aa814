package main

import (
	"context"
	"io"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/bench"
)

func cellCommand() *cli.Command {
	return &cli.Command{
		Name:  "cell",
		Usage: "start stand-ins and instances, run a load on them and write the result",
		Flags: append(loadFlags(),
			&cli.StringFlag{Name: "cell", Required: true, Usage: "cell file"},
			&cli.StringFlag{Name: "balance", Value: bench.Lycheecrank, Usage: "lycheecrank, roundRobin or leastInFlight"},
			&cli.StringSliceFlag{Name: "action", Usage: "TIME KIND [NAME], such as \"10s takeOut espoo\"; may be given several times"},
			&cli.BoolFlag{Name: "processes", Usage: "run each instance in a process of its own, which can be killed"},
			&cli.DurationFlag{Name: "warm", Value: 8 * time.Second, Usage: "time of the load that warms up the servers"},
			&cli.FloatFlag{Name: "warm-per-second", Value: 260, Usage: "rate of the load that warms up the servers"},
			&cli.StringFlag{Name: "logs", Usage: "file for the logs of the instances"},
		),
		Action: runCell,
	}
}

func runCell(ctx context.Context, c *cli.Command) error {
	l, err := loadFrom(c)
	if err != nil {
		return err
	}
	cell, err := cellFrom(c.String("cell"))
	if err != nil {
		return err
	}
	if !slices.Contains([]string{bench.Lycheecrank, bench.RoundRobin, bench.LeastInFlight}, c.String("balance")) {
		return eris.Errorf("unknown balance %s", c.String("balance"))
	}
	run := bench.CellRun{
		Cell: cell, Load: l, Balance: c.String("balance"), Launch: bench.LaunchHere, Logs: io.Discard,
		Progress: bench.PrintProgress(c.Root().ErrWriter), Warm: c.Duration("warm"), WarmPerSecond: c.Float("warm-per-second"),
	}
	if c.Bool("processes") {
		run.Launch = bench.LaunchProcess("instance")
	}
	for _, text := range c.StringSlice("action") {
		a, err := bench.ParseAction(text)
		if err != nil {
			return err
		}
		if a.Kind == bench.Kill && !c.Bool("processes") && run.Balance == bench.Lycheecrank {
			return eris.Errorf("action %q needs --processes", text)
		}
		run.Actions = append(run.Actions, a)
	}
	if path := c.String("logs"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return eris.Wrap(err, "logs")
		}
		defer func() { _ = file.Close() }()
		run.Logs = file
	}
	r, err := run.Run(ctx)
	if err != nil {
		return err
	}
	return finish(c, r)
}
