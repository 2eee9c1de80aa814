// Program lycheebench puts an open-loop load on instances and measures them
// against stand-ins and against simpler ways of dispatching.
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
		fmt.Fprintln(os.Stderr, "lycheebench:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "lycheebench",
		Usage: "measure instances under an open-loop load",
		Commands: []*cli.Command{
			runCommand(),
			cellCommand(),
			reportCommand(),
			compareCommand(),
			overheadCommand(),
			controlCommand(),
			instanceCommand(),
		},
	}
}
