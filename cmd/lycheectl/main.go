// Program lycheectl is the operators' command line: it edits the catalogue,
// shows the state of the system and checks decision records.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/console"
	"lycheecrank.example/instance"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}

// run runs the command line with results on out and errors on errOut.
func run(ctx context.Context, args []string, out, errOut io.Writer) console.Code {
	c := newCommand()
	c.Writer, c.ErrWriter = out, errOut
	return report(c.Run(ctx, args), errOut)
}

func newCommand() *cli.Command {
	root := &cli.Command{
		Name:                  "lycheectl",
		Usage:                 "edit the catalogue, watch the instances and check decision records",
		Description:           "Results go to the standard output, errors to the standard error.\n\nExit codes:\n" + console.CodesHelp(),
		Version:               instance.Version,
		EnableShellCompletion: true,
		Flags:                 globalFlags(),
		Action:                onlySubcommands,
		Commands: []*cli.Command{
			catalogueCommand(),
			statusCommand(),
			dataCentreCommand(),
			serverCommand(),
			precedenceCommand(),
			explainCommand(),
			quarantineCommand(),
			checkCommand(),
			rolloutsCommand(),
		},
	}
	quiet(root)
	return root
}

// group returns a command that only has subcommands.
func group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: commands, Action: onlySubcommands}
}

// onlySubcommands shows the help, or refuses an unknown subcommand.
func onlySubcommands(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return eris.Wrapf(console.ErrUsage, "%s has no command %q", c.FullName(), c.Args().First())
	}
	if c == c.Root() {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}

// quiet leaves the printing of errors and the exit to run.
func quiet(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	for _, s := range c.Commands {
		quiet(s)
	}
}
