package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/codec"
	"lycheecrank.example/console"
	"lycheecrank.example/expiry"
	"lycheecrank.example/platform"
	"lycheecrank.example/precedence"
	"lycheecrank.example/provider"
)

func precedenceCommand() *cli.Command {
	return group("precedence", "check the signed decision records",
		&cli.Command{
			Name: "verify", Usage: "find changed, missing, reordered and forged records",
			Flags: []cli.Flag{keysFlag(), logFlag(), storeFlag()}, Action: action(verify),
		},
		&cli.Command{
			Name: "explain", Usage: "say which of two requests was served first, why, and whether the catalogue entitled it to",
			ArgsUsage: "A B (identifiers or keys of requests)",
			Flags:     []cli.Flag{keysFlag(), logFlag()}, Action: action(explain),
		},
	)
}

// logFlag names log files to take the records from in place of the platform's log.
func logFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "log", Usage: "log `FILE` of an instance on the users' platform, - for the standard input; repeatable",
	}
}

func storeFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "store", Usage: "`ADDRESS` (IP:port) of the users' platform's store, which has the end of each chain; with --log",
	}
}

// logConsole returns a console that works on log files, and reports false if none are
// named.
func logConsole(c *cli.Command) (*console.Console, bool, error) {
	names := c.StringSlice("log")
	if len(names) == 0 {
		return nil, false, nil
	}
	logs, closeAll, err := openLogs(c, names)
	if err != nil {
		return nil, true, err
	}
	defer closeAll()
	var anchors func(ctx context.Context) ([]precedence.Anchor, error)
	if address := c.String("store"); address != "" {
		store := platform.NewStore(address)
		anchors = func(ctx context.Context) ([]precedence.Anchor, error) {
			ctx, cancel := expiry.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			return readAnchors(ctx, store)
		}
	}
	k, err := console.NewLogConsole(anchors, logs...)
	return k, true, err
}

func readAnchors(ctx context.Context, store *platform.Store) ([]precedence.Anchor, error) {
	records, _, err := store.Newest(ctx, platform.DecisionStream)
	if err != nil {
		return nil, eris.Wrapf(provider.ErrUnavailable, "read ends of chains: %v", err)
	}
	anchors := make([]precedence.Anchor, 0, len(records))
	for _, r := range records {
		var a precedence.Anchor
		if err := codec.Unmarshal(r.Value, &a); err != nil {
			return nil, eris.Wrapf(err, "end of chain %s", r.Key)
		}
		anchors = append(anchors, a)
	}
	return anchors, nil
}

func keysFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "keys", Usage: "`DIR` with the instances' public keys as INSTANCE.pem or INSTANCE@INCARNATION.pem; every chain must then have one",
	}
}

func verify(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	if _, err := arguments(c, 0, 0); err != nil {
		return result{}, err
	}
	keys, err := keysOf(c)
	if err != nil {
		return result{}, err
	}
	v, err := k.Queries().Verify(ctx, keys)
	if v.Offsets == nil {
		return result{}, err
	}
	return result{text: v.Text(), value: v}, err
}

func explain(ctx context.Context, c *cli.Command, k *console.Console) (result, error) {
	args, err := arguments(c, 2, 2)
	if err != nil {
		return result{}, err
	}
	keys, err := keysOf(c)
	if err != nil {
		return result{}, err
	}
	x, err := k.Queries().Explain(ctx, keys, args[0], args[1])
	if x.Explanation.Comparisons == nil {
		return result{}, err
	}
	return result{text: x.Text(), value: x}, err
}

func keysOf(c *cli.Command) (console.Keys, error) {
	dir := c.String("keys")
	if dir == "" {
		return nil, nil
	}
	keys, err := console.ReadKeys(os.DirFS(dir))
	return keys, eris.Wrap(err, dir)
}
