package main

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/console"
)

// rolloutsCommand asks entry instances alone, without the platform.
func rolloutsCommand() *cli.Command {
	return &cli.Command{
		Name: "rollouts", Usage: "show how far entry instances have moved pools to new versions, and why a rollout ended",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "metrics", Usage: "`URL` of the counters of an entry instance, such as http://10.1.0.41:9464/debug/vars; repeatable"},
		},
		Action: showRollouts,
	}
}

func showRollouts(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	urls := c.StringSlice("metrics")
	if len(urls) == 0 {
		return eris.Wrap(console.ErrUsage, "a --metrics is needed")
	}
	all, err := console.Rollouts(ctx, http.DefaultClient, c.Duration("timeout"), urls)
	if printErr := printResult(c, result{text: console.RolloutTable(all), value: all}); printErr != nil {
		err = errors.Join(err, printErr)
	}
	if err != nil {
		return actionError{err}
	}
	return nil
}
