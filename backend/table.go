package backend

import (
	"lycheecrank.example/event"
	"lycheecrank.example/lock"
)

// Table holds the views of the backend servers of an instance's data centre.
// Change it through Commands and read it through Queries.
type Table struct {
	// Logger gets the events of servers that turn cold, warm or leave.
	Logger *event.Logger

	mu     *lock.Ranked
	byName map[string]Server
	pools  map[string][]string
}

// NewTable returns an empty table.
func NewTable(logger *event.Logger) *Table {
	return &Table{
		Logger: logger,
		mu:     lock.New(lock.RankBackend, "backend"),
		byName: map[string]Server{},
		pools:  map[string][]string{},
	}
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
