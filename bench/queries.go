package bench

import (
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Queries reads a Table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// Progress is the state of a running load.
type Progress struct {
	Sent     int64
	Answered int64
	Verdicts map[Verdict]int64
}

// Progress returns the counts of all classes so far.
func (q Queries) Progress() Progress {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	all, ok := t.byClass[allClasses]
	if !ok {
		return Progress{}
	}
	p := Progress{Sent: all.sent, Verdicts: maps.Clone(all.verdicts)}
	for _, n := range all.verdicts {
		p.Answered += n
	}
	return p
}

// Classes returns the results of all classes, "all" last.
func (q Queries) Classes() []ClassResult {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Sorted(maps.Keys(t.byClass))
	slices.SortStableFunc(names, func(a, b string) int {
		return boolRank(a == allClasses) - boolRank(b == allClasses)
	})
	var results []ClassResult
	for _, name := range names {
		results = append(results, t.byClass[name].result(name))
	}
	return results
}

// WholeByTarget returns the number of whole answers in time by target.
func (q Queries) WholeByTarget() map[string]int64 {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.wholeByTarget)
}

// Settled returns the number of whole answers by target that came after the
// settling time and before the end of the load.
func (q Queries) Settled() map[string]int64 {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.settled)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (t *tally) result(class string) ClassResult {
	r := ClassResult{
		Class: class, Sent: t.sent, Verdicts: maps.Clone(t.verdicts), Reasons: map[Verdict]map[string]int64{},
		LatencyMs: percentiles(t.latency), FirstPieceMs: percentiles(t.firstPiece), GapMs: percentiles(t.gap),
	}
	for v, reasons := range t.reasons {
		r.Reasons[v] = maps.Clone(reasons)
	}
	for n, s := range t.perSecond {
		r.Seconds = append(r.Seconds, Second{Second: n, Sent: s.sent, Whole: s.whole, Lost: s.lost})
	}
	return r
}

func percentiles(h *hdrhistogram.Histogram) *Percentiles {
	if h.TotalCount() == 0 {
		return nil
	}
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return &Percentiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)),
		P95: ms(h.ValueAtQuantile(95)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}
