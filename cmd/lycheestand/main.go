// Program lycheestand runs small stand-ins for the platform and for backend
// servers, and sets their faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := newCommand().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lycheestand:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "lycheestand",
		Usage: "run stand-ins for the platform and for backend servers",
		Commands: []*cli.Command{
			platformCommand(),
			engineCommand(),
			poolCommand(),
			serviceCommand(),
			controlCommand(),
			demoCommand(),
		},
	}
}
