package bench

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// StageCost is what a pool was made to do during a load.
type StageCost struct {
	Pool string `json:"pool"`
	// Executed is the number of steps that its servers began, Useful how many of
	// them are part of an answer that came whole and in time.
	Executed int64 `json:"executed"`
	Useful   int64 `json:"useful"`
	// Refused is the number of calls that a server refused over its limits,
	// FellOver how often a cold server got more than it could bear.
	Refused  int64 `json:"refused"`
	FellOver int64 `json:"fellOver"`
}

// CellResult is what was counted at the stand-ins of a cell.
type CellResult struct {
	Stages []StageCost `json:"stages"`
	// Events are the actions of the run as they were done.
	Events []string `json:"events,omitempty"`
	// WorkAfterTakeOut is the number of steps that servers of a data centre began
	// later than 5 s after it was taken out and before it returned.
	WorkAfterTakeOut map[string]int64 `json:"workAfterTakeOut,omitempty"`
	// DoubledAtServers counts the keyed requests that ran more than once,
	// FalseRefusals those that ran though the answer was "not run".
	DoubledAtServers int64 `json:"doubledAtServers"`
	FalseRefusals    int64 `json:"falseRefusals"`
	// CapacityPerSecond is the capacity of the scarcest pool in requests, and
	// UsefulShare the useful work at that pool over it, without the first 2 s of
	// the load and the time after its end.
	CapacityPerSecond float64 `json:"capacityPerSecond"`
	UsefulShare       float64 `json:"usefulShare"`
}

// Text returns the counts as a table.
func (c CellResult) Text() string {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pool\texecuted\tuseful\tthrown away\trefused\tfell over")
	for _, s := range c.Stages {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", s.Pool, s.Executed, s.Useful, s.Executed-s.Useful, s.Refused, s.FellOver)
	}
	_ = w.Flush()
	fmt.Fprintf(&out, "useful work %.1f%% of the capacity of %.0f/s; keyed requests run twice %d, run though refused %d\n",
		100*c.UsefulShare, c.CapacityPerSecond, c.DoubledAtServers, c.FalseRefusals)
	for _, e := range c.Events {
		fmt.Fprintln(&out, "event:", e)
	}
	for dc, n := range c.WorkAfterTakeOut {
		fmt.Fprintf(&out, "new work at %s later than 5 s after it was taken out: %d\n", dc, n)
	}
	return out.String()
}
