package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
	"lycheecrank.example/stage"
)

// Guards against a cell whose servers, speeds or capacity are not what the file
// says, and against faults that are told one by one.
func TestCell(t *testing.T) {
	var out strings.Builder
	c := readCell(t, "../examples/load/cell.yaml")
	for _, s := range c.Specs() {
		fmt.Fprintf(&out, "%s %s %s %s %.0f tokens/s: %.2f/s\n", s.Name, s.Kind, s.DataCentre, s.ServiceTime, s.TokensPerSecond, s.PerSecond())
	}
	fmt.Fprintf(&out, "capacity %.1f\n", c.Capacity())
	_, err := ReadCell([]byte("servers: [{pool: x, count: 0}]\ninstances: 1000\n"), "first.yaml")
	fmt.Fprintln(&out, err)
	_, err = ReadCell([]byte(`
dataCentres: [espoo]
region: r
instances: 1
owner: o
class: nobody
servers: [{pool: x, count: 1, maxInFlight: 1, coldInFlight: 2}]
`), "second.yaml")
	fmt.Fprintln(&out, err)
	golden(t, "cell", out.String())
}

// Guards against an action that is misread and a run that measures nothing.
func TestParseAction(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"10s takeOut espoo", "1m bringBack espoo", "0s kill 3", "5s freezePlatform", "", "10s", "x takeOut espoo",
		"10s takeOut", "10s explode espoo", "10s kill entry-3", "10s downPlatform now", "-1s healPlatform",
	} {
		a, err := ParseAction(text)
		if err != nil {
			fmt.Fprintln(&out, err)
			continue
		}
		fmt.Fprintln(&out, a)
	}
	golden(t, "actions", out.String())
}

// Guards against a slope that is not that of the rows.
func TestControlTable(t *testing.T) {
	var r ControlResult
	for _, n := range []int{2, 4, 8} {
		r = r.WithRow(ControlRow{
			Instances: n, CPU: 0.01 + 0.001*float64(n), ResidentBytes: 30e6, PeerBytes: 500, PlatformBytes: 100 * float64(n),
			LogAppends: 0.25 * float64(n), LogReads: 3, ListCalls: 0.5 * float64(n), AdoptionMs: []float64{12, 15.5},
		})
	}
	golden(t, "control", r.Text())
}

// baseline returns a dispatcher over two servers of one pool in each of two data
// centres, with one instance in each.
func baseline(balance string, execute func(ctx context.Context, step request.Step, s backend.Server, sink request.Sink) stage.Execution) *Dispatcher {
	c := Cell{DataCentres: []string{"espoo", "vantaa"}, Instances: 2, Entries: overheadCell().Entries, Servers: []Group{{Pool: "portal", Count: 4, MaxInFlight: 2}}}
	s := &Site{cell: c}
	for _, spec := range c.Specs() {
		s.servers = append(s.servers, server{ServerSpec: spec, address: spec.Name})
	}
	d := NewDispatcher(s, balance)
	d.Execute = execute
	return d
}

// Guards against baselines that are weaker than what they stand for: round
// robin takes every server in turn, least in flight keeps to its share of the
// limits and loses nothing while steps wait, and none uses a data centre that
// was taken out.
func TestDispatcher(t *testing.T) {
	for _, balance := range []string{RoundRobin, LeastInFlight} {
		var out strings.Builder
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			results := make([]string, 12)
			d := baseline(balance, func(_ context.Context, step request.Step, s backend.Server, _ request.Sink) stage.Execution {
				results[number(step.RequestID[len("bench-"):])] = fmt.Sprintf("at %v %s", time.Since(began), s.Name)
				// The times differ, so that no two servers become free at once.
				time.Sleep(time.Second + time.Duration(number(step.RequestID[len("bench-"):]))*time.Millisecond)
				return stage.Execution{Result: request.Result{Output: []byte("done")}}
			})
			var group errgroup.Group
			for n := range results {
				if n == 8 {
					d.SetTakenOut("espoo", true)
				}
				group.Go(func() error {
					a := Arrival{Number: n, Target: "portal-lookup", Operation: "lookup", Timeout: 5 * time.Second}
					if r := d.Send(t.Context(), a, time.Now()); r.Outcome != request.Ran || string(r.Output) != "done" {
						return fmt.Errorf("request %d: %+v", n, r)
					}
					return nil
				})
				synctest.Wait()
			}
			is.New(t).NoErr(group.Wait())
			for n, r := range results {
				fmt.Fprintln(&out, n, r)
			}
		})
		golden(t, balance, out.String())
	}
}

// Guards against an audit that fails because a service has just fallen over.
func TestFilingsOfFallenServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := &Site{Warm: true}
	defer func() { is.NoErr(site.Stop()) }()
	is.NoErr(site.Start(t.Context(), readCell(t, "testdata/cell.yaml")))
	i := slices.IndexFunc(site.servers, func(one server) bool { return one.Name == "registry-1" })
	one := site.servers[i]
	file := func(n int) error {
		step := request.Step{
			RequestID: fmt.Sprintf("r-%d", n), Stage: "file", Kind: request.Call, Attempt: 1, Operation: "fileRecall",
			Key: fmt.Sprintf("k-%d", n), Input: []byte("helmet"), Deadline: time.Now().Add(grace),
		}
		_, err := stage.NewService(NewHTTP(), "http://"+one.address).Execute(t.Context(), step)
		return err
	}
	calls := 0
	for one.standin.Counts()["fellOver"] == 0 {
		is.NoErr(site.TurnCold(one.Name))
		var group errgroup.Group
		for range 8 * one.Group.ColdInFlight {
			calls++
			n := calls
			group.Go(func() error { return file(n) })
		}
		_ = group.Wait() // calls beyond the cold limit fail
	}
	is.Equal(site.filings(), map[string]int64{"helmet": one.standin.Counts()["executed"]})
}

// Guards against a run that loses, doubles or misjudges requests while a data
// centre goes and comes, whatever the speed of the machine.
func TestCellRun(t *testing.T) {
	t.Parallel()
	for _, balance := range []string{Lycheecrank, RoundRobin, LeastInFlight} {
		t.Run(balance, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			r, err := CellRun{
				Cell: readCell(t, "testdata/cell.yaml"), Load: readLoad(t, "testdata/smoke.yaml"), Balance: balance,
				Launch: LaunchHere, Logs: io.Discard, Warm: time.Second, WarmPerSecond: 20,
				Actions: []Action{{500 * time.Millisecond, TakeOut, "espoo"}, {600 * time.Millisecond, TurnCold, "registry-1"}, {time.Second, BringBack, "espoo"}},
			}.Run(ctx)
			is.NoErr(err)
			t.Log(r.Text())
			all := r.Class(allClasses)
			sum := int64(0)
			for _, n := range all.Verdicts {
				sum += n
			}
			is.Equal(all.Sent, sum)
			is.Equal(all.Verdicts[Lost]+all.Verdicts[Doubled]+all.Verdicts[Foreign], int64(0))
			is.Equal(r.Cell.DoubledAtServers+r.Cell.FalseRefusals, int64(0))
			done := 0
			for _, e := range r.Cell.Events {
				if strings.HasSuffix(e, "Out espoo") || strings.HasSuffix(e, "Back espoo") || strings.HasSuffix(e, "registry-1") {
					done++
				}
			}
			is.Equal(done, 3) // every action was done without an error
		})
	}
}
