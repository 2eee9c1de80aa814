package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"lycheecrank.example/console"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "ask every instance for its state; instances that don't answer are shown as such",
		Action: action(showStatus),
	}
}

func showStatus(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	if _, err := arguments(c, 0, 0); err != nil {
		return result{}, err
	}
	s, err := k.Queries().Status(ctx)
	if err != nil {
		return result{}, err
	}
	return result{text: s.Text(), value: s}, nil
}
