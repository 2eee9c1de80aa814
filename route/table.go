package route

import (
	"sync/atomic"
	"time"

	"lycheecrank.example/lock"
)

// Table holds the configuration in force. Readers load it without a lock.
type Table struct {
	mu      *lock.Ranked
	current atomic.Pointer[tableState]
}

// tableState is a configuration and when it was last confirmed to be the newest one.
type tableState struct {
	configuration Configuration
	confirmedAt   time.Time
}

// NewTable returns a table without a configuration.
func NewTable() *Table {
	t := &Table{mu: lock.New(lock.RankCatalogue, "route")}
	t.current.Store(&tableState{})
	return t
}

// Commands returns the commands that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the queries that read the table.
func (t *Table) Queries() Queries { return Queries{t} }
