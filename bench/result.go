package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Percentiles of a distribution of times in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Second counts the requests that were meant to be sent in one second of a
// load.
type Second struct {
	Second int   `json:"second"`
	Sent   int64 `json:"sent"`
	Whole  int64 `json:"whole"`
	Lost   int64 `json:"lost,omitempty"`
}

// ClassResult is what became of the requests of a class.
type ClassResult struct {
	Class        string                       `json:"class"`
	Sent         int64                        `json:"sent"`
	Verdicts     map[Verdict]int64            `json:"verdicts"`
	Reasons      map[Verdict]map[string]int64 `json:"reasons,omitempty"`
	LatencyMs    *Percentiles                 `json:"latencyMs,omitempty"`
	FirstPieceMs *Percentiles                 `json:"firstPieceMs,omitempty"`
	GapMs        *Percentiles                 `json:"gapMs,omitempty"`
	Seconds      []Second                     `json:"seconds,omitempty"`
}

// Attainment returns the share of requests that were fully answered within
// their deadline, 0 to 1.
func (c ClassResult) Attainment() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.Verdicts[Whole]) / float64(c.Sent)
}

// SecondsBelow returns how many seconds of the load had an attainment below a
// share.
func (c ClassResult) SecondsBelow(share float64) int {
	below := 0
	for _, s := range c.Seconds {
		if s.Sent > 0 && float64(s.Whole) < share*float64(s.Sent) {
			below++
		}
	}
	return below
}

// Machine tells how busy the machine was.
type Machine struct {
	Cores int `json:"cores"`
	// LoadBefore and LoadAfter are the load averages of the last minute.
	LoadBefore float64 `json:"loadBefore"`
	LoadAfter  float64 `json:"loadAfter"`
	// GeneratorCPUSeconds is the processor time of this process by getrusage.
	GeneratorCPUSeconds float64 `json:"generatorCpuSeconds"`
}

// Result is the outcome of a load.
type Result struct {
	Load      string        `json:"load"`
	Balance   string        `json:"balance"`
	Seed      uint64        `json:"seed"`
	PerSecond float64       `json:"perSecond"`
	Duration  float64       `json:"durationSeconds"`
	StartedAt time.Time     `json:"startedAt"`
	Machine   Machine       `json:"machine"`
	Classes   []ClassResult `json:"classes"`
	// WholeByTarget is the number of whole answers in time by target.
	WholeByTarget map[string]int64 `json:"wholeByTarget,omitempty"`
	// Settled is how many of them came after the first 2 s and before the end of
	// the load. Answers after it come from a queue that no longer grows, so they
	// don't count as work that the cell did in the time of the load.
	Settled map[string]int64 `json:"settled,omitempty"`
	Cell    *CellResult      `json:"cell,omitempty"`
}

// Class returns the result of a class.
func (r Result) Class(name string) ClassResult {
	for _, c := range r.Classes {
		if c.Class == name {
			return c
		}
	}
	return ClassResult{Class: name}
}

// WithCell returns the result with what was counted at the stand-ins.
func (r Result) WithCell(c CellResult) Result {
	r.Cell = &c
	return r
}

// WriteFile writes the result as JSON.
func (r Result) WriteFile(path string) error { return writeJSON(path, r) }

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write result")
}

// ReadResult reads a result file.
func ReadResult(path string) (Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Result{}, eris.Wrap(err, "read result")
	}
	var r Result
	return r, eris.Wrap(json.Unmarshal(data, &r), path)
}

// Text returns the result as a table for people.
func (r Result) Text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "load %s, balance %s, seed %d, %.0f/s for %.0f s; machine load %.1f to %.1f on %d cores\n",
		r.Load, r.Balance, r.Seed, r.PerSecond, r.Duration, r.Machine.LoadBefore, r.Machine.LoadAfter, r.Machine.Cores)
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "class\tsent")
	for _, v := range Verdicts() {
		fmt.Fprint(w, "\t", v)
	}
	fmt.Fprintln(w, "\tattained\tp50 ms\tp99 ms\tfirst p95\tgap p95\tseconds <99%")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d", c.Class, c.Sent)
		for _, v := range Verdicts() {
			fmt.Fprintf(w, "\t%d", c.Verdicts[v])
		}
		fmt.Fprintf(w, "\t%.2f%%\t%s\t%s\t%s\t%s\t%d\n", 100*c.Attainment(),
			cellOf(c.LatencyMs, p50), cellOf(c.LatencyMs, p99), cellOf(c.FirstPieceMs, p95), cellOf(c.GapMs, p95), c.SecondsBelow(0.99))
	}
	_ = w.Flush()
	for _, c := range r.Classes {
		if reasons := c.reasonText(); reasons != "" && c.Class != allClasses {
			fmt.Fprintf(&out, "%s: %s\n", c.Class, reasons)
		}
	}
	if r.Cell != nil {
		out.WriteString(r.Cell.Text())
	}
	return out.String()
}

func (c ClassResult) reasonText() string {
	var parts []string
	for _, v := range Verdicts() {
		for _, reason := range slices.Sorted(maps.Keys(c.Reasons[v])) {
			parts = append(parts, fmt.Sprintf("%s %s %d", v, reason, c.Reasons[v][reason]))
		}
	}
	return strings.Join(parts, ", ")
}

func p50(p Percentiles) float64 { return p.P50 }
func p95(p Percentiles) float64 { return p.P95 }
func p99(p Percentiles) float64 { return p.P99 }

func cellOf(p *Percentiles, of func(Percentiles) float64) string {
	if p == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f", of(*p))
}
