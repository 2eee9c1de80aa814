package peer

import "lycheecrank.example/lock"

// Table holds the links of a Client, keyed by address.
type Table struct {
	mu       *lock.Ranked
	links    map[string]Link
	isClosed bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankPeer, "peer"), links: map[string]Link{}}
}
