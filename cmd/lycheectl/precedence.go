package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/console"
)

func precedenceCommand() *cli.Command {
	return group("precedence", "check the signed decision records",
		&cli.Command{
			Name: "verify", Usage: "find changed, missing, reordered and forged records",
			Flags: []cli.Flag{keysFlag()}, Action: action(verify),
		},
		&cli.Command{
			Name: "explain", Usage: "say which of two requests was served first, why, and whether the catalogue entitled it to",
			ArgsUsage: "A B (identifiers or keys of requests)",
			Flags:     []cli.Flag{keysFlag()}, Action: action(explain),
		},
	)
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
