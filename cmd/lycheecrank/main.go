// Program lycheecrank is the daemon that an entry instance runs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"lycheecrank.example/entry"
	"lycheecrank.example/hangup"
	"lycheecrank.example/hedge"
	"lycheecrank.example/instance"
	"lycheecrank.example/platform"
	"lycheecrank.example/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := newCommand().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	config := &cli.StringFlag{Name: "config", Required: true, Usage: "YAML file with the settings"}
	return &cli.Command{
		Name:  "lycheecrank",
		Usage: "serve model pipelines and plain services to callers",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "run an instance until it gets SIGTERM or SIGINT",
				Flags: []cli.Flag{config}, Action: serve,
			},
			{
				Name: "entry", Usage: "run an instance on the users' platform until it gets SIGTERM or SIGINT",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "metrics", Value: ":9464", Usage: "address for counters, empty for none"},
					&cli.FloatFlag{
						Name: "hedge-share", Validator: hedge.CheckShare,
						Usage: "share of the idempotent requests of a route that may be sent to a second server while the first is late, 0 to 0.1; 0 turns it off",
					},
				},
				Action: runEntry,
			},
			{
				Name: "check", Usage: "check a file with settings and print them with their defaults",
				Flags: []cli.Flag{config}, Action: check,
			},
			{Name: "version", Usage: "print the version", Action: version},
		},
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	hangup.Reset()
	s, err := read(c.String("config"))
	if err != nil {
		return err
	}
	i, err := instance.New(s, os.Stderr)
	if err != nil {
		return err
	}
	limitMemory(i.MemoryBytes())
	i.OnReady = func(callers, peers string) {
		fmt.Fprintln(c.Root().Writer, "ready", callers, peers)
	}
	return i.Run(ctx)
}

// memoryShare is the part of the memory of a process from which on the collector
// works harder. A coordinator on a small machine was killed at its limit.
const memoryShare = 0.55

// limitMemory tells the collector how much memory the process has; 0 stands for an
// unknown amount.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	}
}

// runEntry runs an instance with the settings that the platform gives.
func runEntry(ctx context.Context, c *cli.Command) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	limitMemory(s.MemoryBytes)
	i := entry.New(s, os.Stdout)
	i.ReloadSignal = hangup.Signals()
	i.MetricsAddress = c.String("metrics")
	i.HedgeShare = c.Float("hedge-share")
	return i.Run(ctx)
}

func check(_ context.Context, c *cli.Command) error {
	s, err := read(c.String("config"))
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.Root().Writer, s)
	return err
}

func version(_ context.Context, c *cli.Command) error {
	_, err := fmt.Fprintln(c.Root().Writer, "lycheecrank", instance.Version)
	return err
}

func read(file string) (settings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Read(data, file)
}
