package work_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/standin/work"
)

// Guards against a cold server that bears more than its cold limit, warms up
// without successes, or goes on with work after it fell over.
func TestColdServer(t *testing.T) {
	var out strings.Builder
	synctest.Test(t, func(t *testing.T) {
		table := work.NewTable(work.Limits{MaxInFlight: 3, ColdInFlight: 2, ColdForRequests: 2})
		commands, queries := work.NewCommands(table), work.NewQueries(table)
		var ends []func(bool)
		begin := func() {
			_, end, err := commands.Begin(t.Context())
			if err == nil {
				ends = append(ends, end)
			}
			fmt.Fprintf(&out, "begin: %v, %s\n", err, state(queries))
		}
		endAll := func(succeeded bool) {
			for _, end := range ends {
				end(succeeded)
			}
			ends = nil
			fmt.Fprintf(&out, "end all, succeeded %t: %s\n", succeeded, state(queries))
		}
		begin()
		begin()
		begin() // falls over
		endAll(false)
		begin() // refused for a second
		<-time.After(time.Second)
		begin()
		begin()
		endAll(true) // warm
		begin()
		begin()
		begin()
		begin() // overloaded
		commands.Cool()
		begin() // falls over
		endAll(false)
		commands.Stop()
		<-time.After(time.Second)
		begin()
		fmt.Fprintln(&out, queries.Counts())
	})
	goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, "cold", []byte(out.String()))
}

func state(q *work.Queries) string {
	l := q.LoadAt(time.Now())
	return fmt.Sprintf("running %d, cold for %d, leaving %t", l.Running, l.ColdFor, l.Leaving)
}

// Guards against requests that survive when their server falls over.
func TestFallingOverEndsRunningWork(t *testing.T) {
	commands := work.NewCommands(work.NewTable(work.Limits{ColdForRequests: 1}))
	running, end, err := commands.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer end(false)
	if _, _, err := commands.Begin(t.Context()); !errors.Is(err, work.ErrFellOver) {
		t.Fatal(err)
	}
	<-running.Done()
}
