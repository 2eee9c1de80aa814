package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"lycheecrank.example/request"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/store"
	"lycheecrank.example/standin/work"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the log and the list of instances",
		Flags: append(processFlags(),
			&cli.DurationFlag{Name: "instance-ttl", Value: 10 * time.Second, Usage: "how long an entry of the list lives without a refresh"},
			&cli.DurationFlag{Name: "list-lag", Usage: "by how much the list is late"},
			&cli.IntFlag{Name: "retain", Usage: "records that each stream keeps; 0 for all"},
			&cli.FloatFlag{Name: "appends-per-second", Usage: "limit of appends to all streams together; 0 for none"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, standin.NewPlatform(standin.PlatformOptions{
				ListLag: c.Duration("list-lag"),
				Store: store.Options{
					InstanceTTL:      c.Duration("instance-ttl"),
					Retain:           c.Int("retain"),
					AppendsPerSecond: c.Float("appends-per-second"),
				},
			}))
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: append(backendFlags(),
			&cli.FloatFlag{Name: "tokens-per-second", Value: 200, Usage: "speed of each running request; 0 for no limit"},
			&cli.IntFlag{Name: "piece-tokens", Value: 8, Usage: "tokens of a piece"},
			&cli.DurationFlag{Name: "prefill", Usage: "time before the first piece if the prefix is not cached"},
			&cli.DurationFlag{Name: "cache-lag", Value: 500 * time.Millisecond, Usage: "by how much cache events are late"},
			&cli.BoolFlag{Name: "honour-fencing", Usage: "refuse orders with an old fencing number"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			o := backendOptions(c)
			o.Limits.HonourFencing = c.Bool("honour-fencing")
			return run(ctx, c, standin.NewEngine(standin.EngineOptions{
				BackendOptions:  o,
				TokensPerSecond: c.Float("tokens-per-second"),
				PieceTokens:     c.Int("piece-tokens"),
				Prefill:         c.Duration("prefill"),
				CacheLag:        c.Duration("cache-lag"),
			}))
		},
	}
}

func poolCommand() *cli.Command {
	return &cli.Command{
		Name:  "pool",
		Usage: "run an encoder, a retriever or a reranker",
		Flags: append(backendFlags(),
			&cli.StringFlag{Name: "kind", Required: true, Usage: "encode, retrieve or rerank"},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "how long a request takes"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := standin.NewPool(request.Kind(c.String("kind")), backendOptions(c))
			if err != nil {
				return err
			}
			return run(ctx, c, s)
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a plain service with totals",
		Flags: append(backendFlags(),
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "how long a request takes"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, standin.NewService(backendOptions(c)))
		},
	}
}

func processFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP address and port; port 0 takes a free one"},
		&cli.DurationFlag{Name: "drain-limit", Value: 30 * time.Second, Usage: "how long running calls may take to finish after SIGTERM"},
	}
}

func backendFlags() []cli.Flag {
	return append(processFlags(),
		&cli.StringFlag{Name: "name", Required: true, Usage: "name of the backend server"},
		&cli.StringFlag{Name: "data-centre", Usage: "data centre of the backend server"},
		&cli.StringFlag{Name: "pool", Usage: "pool of the backend server"},
		&cli.StringFlag{Name: "platform", Usage: "base URL of the platform to announce the server to"},
		&cli.DurationFlag{Name: "announce-every", Value: 2 * time.Second, Usage: "time between announcements"},
		&cli.IntFlag{Name: "max-in-flight", Value: 8, Usage: "requests that a warm server bears"},
		&cli.IntFlag{Name: "cold-in-flight", Value: 1, Usage: "requests that a cold server bears"},
		&cli.IntFlag{Name: "cold-for-requests", Value: 8, Usage: "requests that must succeed until the server is warm; 0 starts it warm"},
		&cli.DurationFlag{Name: "load-lag", Value: time.Second, Usage: "by how much load reports are late"},
	)
}

func backendOptions(c *cli.Command) standin.BackendOptions {
	return standin.BackendOptions{
		Name:        c.String("name"),
		DataCentre:  c.String("data-centre"),
		Pool:        c.String("pool"),
		Platform:    c.String("platform"),
		ServiceTime: c.Duration("service-time"),
		LoadLag:     c.Duration("load-lag"),
		Client:      &http.Client{},
		Limits: work.Limits{
			MaxInFlight:     c.Int("max-in-flight"),
			ColdInFlight:    c.Int("cold-in-flight"),
			ColdForRequests: c.Int("cold-for-requests"),
		},
	}
}

// run serves a stand-in and prints one line when it listens, which scripts
// wait for.
func run(ctx context.Context, c *cli.Command, s *standin.Standin) error {
	s.AnnounceEvery = c.Duration("announce-every")
	s.DrainLimit = c.Duration("drain-limit")
	return s.Run(ctx, c.String("listen"), func(address string) { printReady(c.Root().Writer, address) })
}

func printReady(out io.Writer, address string) { fmt.Fprintln(out, "ready", address) }
