package bench

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/request"
)

// Guards against a reply that is counted as what it is not.
func TestJudge(t *testing.T) {
	all := Schedule(readLoad(t, "testdata/smoke.yaml"))
	var pipeline, filing Arrival
	for _, a := range all {
		if len(a.Stages) > 0 {
			pipeline = a
		} else if a.Keyed {
			filing = a
		}
	}
	own := func(a Arrival) Reply {
		return Reply{RequestID: a.ID(), Outcome: request.Ran, Output: Expected(a)}
	}
	with := func(r Reply, change func(*Reply)) Reply {
		change(&r)
		return r
	}
	var out strings.Builder
	for _, c := range []struct {
		name    string
		arrival Arrival
		reply   Reply
		took    time.Duration
	}{
		{"own answer", pipeline, own(pipeline), time.Second},
		{"own answer after the deadline", pipeline, own(pipeline), time.Minute},
		{"own filing", filing, own(filing), time.Second},
		{"filed twice", filing, with(own(filing), func(r *Reply) { r.Output = filed(filing, 2) }), time.Second},
		{"answer to another request", pipeline, own(all[0]), time.Second},
		{"output of another request", pipeline, with(own(pipeline), func(r *Reply) { r.Output = Expected(all[0]) }), time.Second},
		{"cut off output", pipeline, with(own(pipeline), func(r *Reply) { r.Output = r.Output[1:] }), time.Second},
		{"piece twice", pipeline, with(own(pipeline), func(r *Reply) { r.Repeated = true }), time.Second},
		{"refusal", pipeline, Reply{RequestID: pipeline.ID(), Outcome: request.NotRun, Reason: "queueFull"}, time.Second},
		{"unknown", pipeline, Reply{RequestID: pipeline.ID(), Outcome: request.MayHaveRun, Reason: "outcomeUnknown"}, time.Second},
		{"no answer", pipeline, Reply{Err: errors.New("reset")}, time.Second},
	} {
		v, reason := Judge(c.arrival, c.reply, c.took)
		fmt.Fprintf(&out, "%s: %s %s\n", c.name, v, reason)
	}
	golden(t, "judge", out.String())
}

// sample returns a result without a run. Every slowth answer is late.
func sample(balance string, slowth int) Result {
	l := readLoadFile("testdata/smoke.yaml")
	table := NewTable(time.Minute)
	for _, a := range Schedule(l) {
		table.Commands().Sent(a)
		r := Reply{FirstPiece: time.Duration(a.Number) * time.Millisecond, Gaps: []time.Duration{20 * time.Millisecond}}
		took := time.Duration(5*a.Number) * time.Millisecond
		switch {
		case a.Number%slowth == 0:
			table.Commands().Answered(a, r, Late, "", took+a.Timeout)
		case a.Number%11 == 3:
			table.Commands().Answered(a, r, Refused, "queueFull", took)
		case a.Number%13 == 4:
			table.Commands().Answered(a, r, Lost, "", took)
		default:
			table.Commands().Answered(a, r, Whole, "", took)
		}
	}
	return Result{
		Load: l.Name, Balance: balance, Seed: l.Seed, PerSecond: l.Arrivals.PerSecond, Duration: 2,
		Machine: Machine{Cores: 10, LoadBefore: 1.5, LoadAfter: 2}, Classes: table.Queries().Classes(),
	}.WithCell(CellResult{
		Stages: []StageCost{{Pool: "models", Executed: 30, Useful: 25, Refused: 2, FellOver: 1}},
		Events: []string{"10.0 s takeOut espoo"}, WorkAfterTakeOut: map[string]int64{"espoo": 0},
		CapacityPerSecond: 30, UsefulShare: 0.5,
	})
}

func readLoadFile(name string) Load {
	data, _ := os.ReadFile(name)
	l, _ := ReadLoad(data, name)
	return l
}

// Guards against tables that show a figure in the wrong column.
func TestTables(t *testing.T) {
	a, b := sample("roundRobin", 5), sample("lycheecrank", 9)
	golden(t, "text", a.Text())
	golden(t, "compare", Compare(a, b))
	golden(t, "page", Page(a))
}

// Guards against a result that loses figures on its way through a file, and a
// report that can't be drawn.
func TestFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	r := sample("lycheecrank", 9)
	is.NoErr(r.WriteFile(filepath.Join(dir, "r.json")))
	read, err := ReadResult(filepath.Join(dir, "r.json"))
	is.NoErr(err)
	is.NoErr(read.WriteFile(filepath.Join(dir, "again.json")))
	is.Equal(string(readFile(t, filepath.Join(dir, "again.json"))), string(readFile(t, filepath.Join(dir, "r.json"))))
	is.Equal(read.Text(), r.Text())
	is.NoErr(WriteReport(r, dir))
	for _, name := range []string{"attainment.svg", "latency.svg"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(strings.Contains(string(data), "</svg>"))
	}
}
