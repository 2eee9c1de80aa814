package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
)

// controlTimeout bounds a control call. Faults don't reach ControlService, so
// that only a dead process takes longer.
const controlTimeout = 5 * time.Second

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "set the fault of a stand-in, end it (no fault flag) or print its counts",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Required: true, Usage: "base URL or IP:PORT of the stand-in"},
			&cli.BoolFlag{Name: "counts", Usage: "print the counts and change nothing"},
			&cli.StringFlag{Name: "method", Usage: "limit the fault to one RPC, such as Append"},
			&cli.Uint32Flag{Name: "remaining", Usage: "limit the fault to a number of calls; 0 for all"},
			&cli.DurationFlag{Name: "delay", Usage: "hold each call for some time"},
			&cli.BoolFlag{Name: "fail", Usage: "fail before the call takes effect"},
			&cli.BoolFlag{Name: "lose-answer", Usage: "break the connection after the call took effect"},
			&cli.BoolFlag{Name: "reorder", Usage: "send pieces and records in reverse order"},
			&cli.BoolFlag{Name: "repeat", Usage: "send each piece, record or result twice"},
			&cli.BoolFlag{Name: "cut-short", Usage: "end streams and results before their end"},
			&cli.BoolFlag{Name: "freeze", Usage: "hold calls until the fault ends"},
			&cli.BoolFlag{Name: "cold", Usage: "make a backend server cold"},
			&cli.DurationFlag{Name: "lag", Usage: "delay load reports, lists, tails and cache events"},
			&cli.BoolFlag{Name: "down", Usage: "refuse every call"},
			&cli.BoolFlag{Name: "foreign", Usage: "answer with the identity of another request"},
			&cli.BoolFlag{Name: "leaving", Usage: "announce that the server is leaving"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			limited, cancel := context.WithTimeout(ctx, controlTimeout)
			defer cancel()
			control := standin.NewControl(&http.Client{}, baseURL(c.String("address")))
			if !c.Bool("counts") {
				return control.SetFault(limited, faultFrom(c))
			}
			counts, err := control.Counts(limited)
			if err != nil {
				return err
			}
			printCounts(c.Root().Writer, counts)
			return nil
		},
	}
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

func faultFrom(c *cli.Command) fault.Fault {
	return fault.Fault{
		Method:     c.String("method"),
		Remaining:  c.Uint32("remaining"),
		Delay:      c.Duration("delay"),
		Fail:       c.Bool("fail"),
		LoseAnswer: c.Bool("lose-answer"),
		Reorder:    c.Bool("reorder"),
		Repeat:     c.Bool("repeat"),
		CutShort:   c.Bool("cut-short"),
		Freeze:     c.Bool("freeze"),
		Cold:       c.Bool("cold"),
		Lag:        c.Duration("lag"),
		Down:       c.Bool("down"),
		Foreign:    c.Bool("foreign"),
		Leaving:    c.Bool("leaving"),
	}
}

func printCounts(out io.Writer, counts map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintln(out, name, counts[name])
	}
}
