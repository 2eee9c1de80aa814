package member

import (
	"sync/atomic"

	"lycheecrank.example/lock"
)

// Table holds the current list of instances. Readers load it without a lock.
type Table struct {
	mu      *lock.Ranked
	current atomic.Pointer[List]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{mu: lock.New(lock.RankMember, "member")}
	t.current.Store(&List{})
	return t
}

// Commands returns the commands that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the queries that read the table.
func (t *Table) Queries() Queries { return Queries{t} }

func (t *Table) change(transform func(List) List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := transform(*t.current.Load())
	t.current.Store(&next)
}
