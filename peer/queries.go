package peer

import (
	"cmp"
	"maps"
	"slices"
)

// Queries reads a Table. It is safe for concurrent use.
type Queries struct {
	Table *Table
}

// Link returns the link to an address, and false if the table has none.
func (q Queries) Link(address string) (Link, bool) {
	q.Table.mu.Lock()
	defer q.Table.mu.Unlock()
	l, ok := q.Table.links[address]
	return l, ok
}

// Links returns all links, sorted by address.
func (q Queries) Links() []Link {
	q.Table.mu.Lock()
	links := slices.Collect(maps.Values(q.Table.links))
	q.Table.mu.Unlock()
	slices.SortFunc(links, func(a, b Link) int { return cmp.Compare(a.Address, b.Address) })
	return links
}
