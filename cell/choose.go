package cell

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the cells that a request may be prepared in, in the order in which they
// are asked: first the cell of its instance, then the others, rotated by the ID of the
// request so that the work of a cell that is short of servers spreads over all others.
// Cells that lack servers of a pool that the request needs are left out. If all do, the
// own cell is returned, so that its coordinator refuses the request.
func (l Layout) Order(own, requestID string, canServe func(cell string) bool) []string {
	others := slices.DeleteFunc(l.Cells(), func(c string) bool { return c == own || !canServe(c) })
	if len(others) == 0 {
		return []string{own}
	}
	var order []string
	if canServe(own) {
		order = append(order, own)
	}
	first := int(xxhash.Sum64String(requestID) % uint64(len(others)))
	return slices.Concat(order, others[first:], others[:first])
}
