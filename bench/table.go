package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lycheecrank.example/lock"
)

// rankTally is above all ranks of the product, as nothing is locked while the
// tally is.
const rankTally = lock.RankCounter + 20

// Histograms go from 1 µs to 2 min with three significant digits.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// allClasses is the name under which all requests are counted together.
const allClasses = "all"

// tally holds the counts of one class.
type tally struct {
	sent       int64
	verdicts   map[Verdict]int64
	reasons    map[Verdict]map[string]int64
	latency    *hdrhistogram.Histogram
	firstPiece *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	perSecond  []secondTally
}

// secondTally counts the requests that were meant to be sent in one second.
type secondTally struct {
	sent  int64
	whole int64
	lost  int64
}

func newTally() *tally {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &tally{
		verdicts: map[Verdict]int64{}, reasons: map[Verdict]map[string]int64{},
		latency: histogram(), firstPiece: histogram(), gap: histogram(),
	}
}

// second returns the counts of the second of an intended time.
func (t *tally) second(at time.Duration) *secondTally {
	n := int(at / time.Second)
	for len(t.perSecond) <= n {
		t.perSecond = append(t.perSecond, secondTally{})
	}
	return &t.perSecond[n]
}

// settling is longer than the longest service time of a cell: a share of the
// capacity counts from then on, since the servers start empty and their first
// answers take a service time.
const settling = 2 * time.Second

// settlingOf returns the settling time of a load, at most half of it.
func settlingOf(load time.Duration) time.Duration { return min(settling, load/2) }

// Table counts the replies to a load by class. Create it with NewTable.
type Table struct {
	mu            *lock.Ranked
	byClass       map[string]*tally
	wholeByTarget map[string]int64
	// until is the duration of the load, settled the whole answers by target that
	// came after its settling time and before its end.
	until   time.Duration
	settled map[string]int64
}

// NewTable returns an empty table for a load of some duration.
func NewTable(duration time.Duration) *Table {
	return &Table{mu: lock.New(rankTally, "bench tally"), byClass: map[string]*tally{}, wholeByTarget: map[string]int64{}, until: duration, settled: map[string]int64{}}
}

// of returns the tallies that a class counts under. The lock is held.
func (t *Table) of(class string) []*tally {
	var both []*tally
	for _, c := range []string{class, allClasses} {
		if t.byClass[c] == nil {
			t.byClass[c] = newTally()
		}
		both = append(both, t.byClass[c])
	}
	return both
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{t} }
