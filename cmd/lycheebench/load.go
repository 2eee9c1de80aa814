package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/bench"
)

func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "load", Required: true, Usage: "load file"},
		&cli.FloatFlag{Name: "per-second", Usage: "mean rate instead of the file's"},
		&cli.DurationFlag{Name: "duration", Usage: "duration instead of the file's"},
		&cli.Uint64Flag{Name: "seed", Usage: "seed instead of the file's"},
		&cli.StringFlag{Name: "result", Usage: "file for the result as JSON"},
	}
}

// loadFrom reads the load file and applies the flags.
func loadFrom(c *cli.Command) (bench.Load, error) {
	name := c.String("load")
	data, err := os.ReadFile(name)
	if err != nil {
		return bench.Load{}, eris.Wrap(err, "read load")
	}
	l, err := bench.ReadLoad(data, name)
	if err != nil {
		return l, err
	}
	if c.IsSet("per-second") {
		l = l.WithRate(c.Float("per-second"))
	}
	if c.IsSet("duration") {
		l = l.WithDuration(c.Duration("duration"))
	}
	if c.IsSet("seed") {
		l = l.WithSeed(c.Uint64("seed"))
	}
	if f := l.Check(); len(f) > 0 {
		return l, bench.Faults{Name: name, Found: f}
	}
	return l, nil
}

// finish prints a result and writes its file.
func finish(c *cli.Command, r bench.Result) error {
	fmt.Fprint(c.Root().Writer, r.Text())
	if path := c.String("result"); path != "" {
		return r.WriteFile(path)
	}
	return nil
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "put a load on instances that are running",
		Flags: append(loadFlags(),
			&cli.StringFlag{Name: "to", Required: true, Usage: "IP:PORT of the instances, with commas; those whose /health/ready answers 200 are used round robin"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := loadFrom(c)
			if err != nil {
				return err
			}
			client := bench.NewHTTP()
			balancer := bench.NewBalancer(client, strings.Split(c.String("to"), ","))
			balancer.Check(ctx)
			checking, stop := context.WithCancel(ctx)
			var group errgroup.Group
			group.Go(func() error {
				balancer.Run(checking)
				return nil
			})
			caller := bench.Caller{HTTP: client, Choose: balancer.Choose}
			r := bench.Driver{
				Load: l, Balance: "lycheecrank", Send: caller.Send,
				Progress: bench.PrintProgress(c.Root().ErrWriter),
			}.Run(ctx)
			stop()
			_ = group.Wait()
			return finish(c, r)
		},
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "write a page with plots of a result",
		ArgsUsage: "RESULT.json",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "out", Required: true, Usage: "directory"}},
		Action: func(_ context.Context, c *cli.Command) error {
			r, err := bench.ReadResult(c.Args().First())
			if err != nil {
				return err
			}
			return bench.WriteReport(r, c.String("out"))
		},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print two results side by side",
		ArgsUsage: "A.json B.json",
		Action: func(_ context.Context, c *cli.Command) error {
			a, err := bench.ReadResult(c.Args().Get(0))
			if err != nil {
				return err
			}
			b, err := bench.ReadResult(c.Args().Get(1))
			if err != nil {
				return err
			}
			fmt.Fprint(c.Root().Writer, bench.Compare(a, b))
			return nil
		},
	}
}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure what an instance adds to a call, and its throughput",
		Flags: []cli.Flag{
			&cli.FloatSliceFlag{Name: "rates", Value: []float64{50, 200, 800}, Usage: "requests a second"},
			&cli.FloatSliceFlag{Name: "stream-rates", Value: []float64{25, 100}, Usage: "streams a second"},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "time for each measurement, at most 60s"},
			&cli.StringFlag{Name: "result", Usage: "file for the result as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := bench.Overhead{
				Launch: bench.LaunchProcess("instance"), Logs: c.Root().ErrWriter, Rates: c.FloatSlice("rates"),
				StreamRates: c.FloatSlice("stream-rates"), Duration: min(c.Duration("duration"), time.Minute),
			}.Run(ctx)
			if err != nil {
				return err
			}
			fmt.Fprint(c.Root().Writer, r.Text())
			if path := c.String("result"); path != "" {
				return r.WriteFile(path)
			}
			return nil
		},
	}
}

func instanceCommand() *cli.Command {
	return &cli.Command{
		Name:   "instance",
		Usage:  "run one instance with the settings on standard input, for the other commands",
		Hidden: true,
		Action: func(ctx context.Context, c *cli.Command) error {
			return bench.ServeInstance(ctx, os.Stdin, c.Root().Writer, c.Root().ErrWriter)
		},
	}
}
