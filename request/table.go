package request

import (
	"context"
	"sync"

	"lycheecrank.example/lock"
)

// id is the key of a request in flight.
type id struct {
	workspace string
	request   string
}

// Table holds the requests in flight that callers sent to this instance. Change
// it through Commands and read it through Queries.
type Table struct {
	mu          *lock.Ranked
	idle        *sync.Cond
	inFlight    map[id]inFlight
	byWorkspace map[string]int
	byTarget    map[string]int
}

type inFlight struct {
	request Request
	cancel  context.CancelCauseFunc
}

// Caps are the largest numbers of requests in flight; 0 means no limit.
type Caps struct {
	Instance  int
	Workspace int
	Target    int
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		mu:          lock.New(lock.RankRequest, "request"),
		inFlight:    map[id]inFlight{},
		byWorkspace: map[string]int{},
		byTarget:    map[string]int{},
	}
	t.idle = sync.NewCond(t.mu)
	return t
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
