package main

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/console"
)

func dataCentreCommand() *cli.Command {
	return group("datacentre", "take data centres out and bring them back",
		&cli.Command{
			Name:      "take-out",
			Usage:     "record that a data centre gets no new work; with --hold keep new work from it for a limited time, through the instances, while the log is down",
			ArgsUsage: "NAME [DURATION]",
			Flags: []cli.Flag{
				waitFlag(),
				&cli.BoolFlag{Name: "hold", Usage: "place a hold of DURATION, at most and by default 15m, and edit nothing"},
			},
			Action: action(takeOut),
		},
		stateCommand("return", "record that a data centre is in service", catalogue.DataCentreKind, catalogue.InService),
		&cli.Command{
			Name: "release", Usage: "end the hold on a data centre", ArgsUsage: "NAME",
			Action: action(release),
		},
	)
}

func serverCommand() *cli.Command {
	return group("server", "take backend servers out and bring them back",
		stateCommand("drain", "record that a backend server gets no new work", catalogue.ServerKind, catalogue.TakenOut),
		stateCommand("return", "record that a backend server is in service", catalogue.ServerKind, catalogue.InService),
	)
}

func waitFlag() cli.Flag {
	return &cli.DurationFlag{
		Name: "wait", Value: console.DefaultWait, Usage: "longest wait until every instance has adopted the edit",
	}
}

func stateCommand(name, usage string, kind catalogue.Kind, state catalogue.State) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "NAME", Flags: []cli.Flag{waitFlag()},
		Action: action(func(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
			args, err := arguments(c, 1, 1)
			if err != nil {
				return result{}, err
			}
			return setState(ctx, c, k, catalogue.ID{Kind: kind, Name: args[0]}, state)
		}),
	}
}

func setState(ctx context.Context, c *cli.Command, k *console.Console, id catalogue.ID, state catalogue.State) (result, error) {
	wait := c.Duration("wait")
	if wait <= 0 {
		return result{}, eris.Wrap(console.ErrUsage, "--wait must be above 0")
	}
	s, err := k.Commands().SetState(ctx, id, state, wait)
	if s.Entry == "" {
		return result{}, err
	}
	return result{text: s.Text(), value: s}, err
}

func takeOut(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	args, err := arguments(c, 1, 2)
	if err != nil {
		return result{}, err
	}
	name, duration := args[0], args[1]
	switch {
	case c.Bool("hold"):
		d := catalogue.MaxHoldDuration
		if duration != "" {
			if d, err = time.ParseDuration(duration); err != nil || d <= 0 {
				return result{}, eris.Wrapf(console.ErrUsage, "%q is no duration above 0", duration)
			}
		}
		return hold(ctx, k, name, d)
	case duration != "":
		return result{}, eris.Wrap(console.ErrUsage, "only --hold takes a duration")
	}
	return setState(ctx, c, k, catalogue.ID{Kind: catalogue.DataCentreKind, Name: name}, catalogue.TakenOut)
}

func release(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return result{}, err
	}
	return hold(ctx, k, args[0], 0)
}

func hold(ctx context.Context, k *console.Console, name string, d time.Duration) (result, error) {
	h, err := k.Commands().Hold(ctx, name, d)
	if h.DataCentre == "" {
		return result{}, err
	}
	return result{text: h.Text(), value: h}, err
}
