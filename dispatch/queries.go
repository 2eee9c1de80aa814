package dispatch

import (
	"cmp"
	"slices"
)

// Queries reads a Table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// Depth is the number of waiting steps of a class in a pool.
type Depth struct {
	Pool    string
	Class   string
	Waiting int
}

// Depths returns the number of waiting steps of each pool and class, ordered by
// pool and rank.
func (q Queries) Depths() []Depth {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var depths []Depth
	for _, p := range t.pools {
		for _, r := range p.waitingRanks() {
			depths = append(depths, Depth{Pool: p.name, Class: p.classes[r].class, Waiting: p.classes[r].count})
		}
	}
	slices.SortStableFunc(depths, func(a, b Depth) int { return cmp.Compare(a.Pool, b.Pool) })
	return depths
}

// CountWaiting returns the total number of waiting steps.
func (q Queries) CountWaiting() int {
	n := 0
	for _, d := range q.Depths() {
		n += d.Waiting
	}
	return n
}
