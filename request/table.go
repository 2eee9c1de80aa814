package request

import (
	"context"
	"sync"

	"lycheecrank.example/lock"
)

// requestKey identifies a request in flight.
type requestKey struct {
	workspace string
	requestID string
}

// Table holds the requests in flight that this instance received from callers.
// Commands modifies it and Queries reads it.
type Table struct {
	mu          *lock.Ranked
	idle        *sync.Cond
	inFlight    map[requestKey]entry
	byWorkspace map[string]int
	byTarget    map[string]int
}

type entry struct {
	request Request
	cancel  context.CancelCauseFunc
}

// InFlightLimits holds the maximum numbers of requests in flight; 0 means no limit.
type InFlightLimits struct {
	Instance  int
	Workspace int
	Target    int
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		mu:          lock.New(lock.RankRequest, "request"),
		inFlight:    map[requestKey]entry{},
		byWorkspace: map[string]int{},
		byTarget:    map[string]int{},
	}
	t.idle = sync.NewCond(t.mu)
	return t
}

// Commands returns the commands that add, cancel and remove requests.
func (t *Table) Commands() Commands { return Commands{table: t} }

// Queries returns the queries that read the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
