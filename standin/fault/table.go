package fault

import "lycheecrank.example/lock"

// Table holds the current fault of one stand-in.
type Table struct {
	lock     *lock.Ranked
	current  Fault
	changed  chan struct{}
	stopping chan struct{}
	stopped  bool
}

// NewTable returns a table without a fault.
func NewTable() *Table {
	return &Table{
		lock:     lock.New(lock.RankCounter+3, "standin fault"),
		changed:  make(chan struct{}),
		stopping: make(chan struct{}),
	}
}
