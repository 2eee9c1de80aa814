package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"golang.org/x/sync/errgroup"
)

// Guards against scripts that wait for ever: each stand-in prints its ready
// line, obeys the control command, and ends without an error when told to.
func TestStandinsAndControl(t *testing.T) {
	for _, args := range []string{
		"platform --retain 5 --appends-per-second 100",
		"engine --name e1 --pool p --data-centre espoo --honour-fencing",
		"pool --kind encode --name b1",
		"pool --kind retrieve --name b2",
		"pool --kind rerank --name b3",
		"service --name s1 --service-time 1ms",
	} {
		t.Run(args, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			out, in := io.Pipe()
			var group errgroup.Group
			group.Go(func() error {
				c := newCommand()
				c.Writer = in
				err := c.Run(ctx, append([]string{"lycheestand"}, strings.Fields(args)...))
				_ = in.CloseWithError(err)
				return err
			})
			line, err := bufio.NewReader(out).ReadString('\n')
			is.NoErr(err)
			address, ok := strings.CutPrefix(strings.TrimSpace(line), "ready ")
			is.True(ok)
			_, err = control(t, "--address", address, "--fail", "--method", "Load", "--remaining", "2")
			is.NoErr(err)
			counts, err := control(t, "--address", address, "--counts")
			is.NoErr(err)
			is.Equal(counts, "")
			stop()
			is.NoErr(group.Wait())
		})
	}
}

// Guards against a flag of a stand-in that changes or vanishes unnoticed, since
// scenarios and the demo use them.
func TestHelp(t *testing.T) {
	var out bytes.Buffer
	for _, name := range []string{"platform", "engine", "pool", "service", "control"} {
		c := newCommand()
		c.Writer = &out
		is.New(t).NoErr(c.Run(t.Context(), []string{"lycheestand", name, "--help"}))
	}
	goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, "help", out.Bytes())
}

// Guards against a misspelt kind of pool that starts as another one.
func TestUnknownPoolKind(t *testing.T) {
	c := newCommand()
	c.ErrWriter = io.Discard
	err := c.Run(t.Context(), []string{"lycheestand", "pool", "--name", "b1", "--kind", "generate"})
	is.New(t).True(err != nil)
}

func control(t *testing.T, args ...string) (string, error) {
	var out bytes.Buffer
	c := newCommand()
	c.Writer = &out
	err := c.Run(t.Context(), append([]string{"lycheestand", "control"}, args...))
	return out.String(), err
}
