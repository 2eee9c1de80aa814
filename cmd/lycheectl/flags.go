package main

import (
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"lycheecrank.example/console"
)

const (
	defaultTimeout = 3 * time.Second
	tableOutput    = "table"
	jsonOutput     = "json"
)

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "platform", Usage: "base `URL` of the platform's log and list of instances",
			Sources: cli.EnvVars("LYCHEECTL_PLATFORM"),
		},
		&cli.StringSliceFlag{
			Name: "instance", Usage: "`ADDRESS` (IP:port) of an instance to ask besides those of the list, for when the list doesn't answer; repeatable",
			Sources: cli.EnvVars("LYCHEECTL_INSTANCE"),
		},
		&cli.DurationFlag{
			Name: "timeout", Value: defaultTimeout, Usage: "bound for each call to the platform or to an instance",
			Sources: cli.EnvVars("LYCHEECTL_TIMEOUT"),
		},
		&cli.StringFlag{
			Name: "author", Usage: "your `NAME` in edits and holds",
			Sources: cli.EnvVars("LYCHEECTL_AUTHOR", "USER"), DefaultText: "$USER",
		},
		&cli.StringFlag{
			Name: "output", Value: tableOutput, Usage: "`FORMAT` of results: table or json",
			Sources: cli.EnvVars("LYCHEECTL_OUTPUT"),
		},
	}
}

// consoleOf returns the console that the global flags describe.
func consoleOf(c *cli.Command) (*console.Console, error) {
	platformURL := c.String("platform")
	if u, err := url.Parse(platformURL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, eris.Wrapf(console.ErrUsage, "--platform needs an http or https URL, got %q", platformURL)
	}
	timeout := c.Duration("timeout")
	if timeout <= 0 {
		return nil, eris.Wrapf(console.ErrUsage, "--timeout must be above 0, got %s", timeout)
	}
	if o := c.String("output"); o != tableOutput && o != jsonOutput {
		return nil, eris.Wrapf(console.ErrUsage, "--output must be %s or %s, got %q", tableOutput, jsonOutput, o)
	}
	seeds := c.StringSlice("instance")
	for _, s := range seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, eris.Wrapf(console.ErrUsage, "--instance needs IP:port, got %q", s)
		}
	}
	client := &http.Client{Transport: &http.Transport{}}
	k := console.New(client, platformURL, timeout)
	k.Author, k.Seeds = c.String("author"), seeds
	return k, nil
}
