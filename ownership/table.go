package ownership

import (
	"sync/atomic"
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/lock"
)

// Self names the instance that a table belongs to.
type Self struct {
	Instance    string
	Incarnation string
	DataCentre  string
}

// Table holds the terms as this instance has read them, and its own leases. Set
// the exported fields before use.
type Table struct {
	// Logger gets the events about terms won and lost.
	Logger *event.Logger

	self   Self
	timing Timing
	mu     *lock.Ranked
	// sequence and started belong to the records that this instance appends.
	sequence uint64
	started  map[uint64]time.Time
	current  atomic.Pointer[view]
	// released has an element after a release that this instance may follow.
	released chan struct{}
}

// NewTable returns the table of an instance that starts with a state at the
// given time. Zero fields of timing stand for the defaults.
func NewTable(self Self, timing Timing, s State, at time.Time) *Table {
	t := &Table{
		Logger:   event.Discard(),
		self:     self,
		timing:   timing.withDefaults(),
		mu:       lock.New(lock.RankOwnership, "ownership"),
		started:  map[uint64]time.Time{},
		released: make(chan struct{}, 1),
	}
	v := newView(s, at)
	t.current.Store(&v)
	return t
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{t} }
