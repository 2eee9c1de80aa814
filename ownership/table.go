package ownership

import (
	"sync/atomic"
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/lock"
)

// Identity identifies the instance that a table belongs to.
type Identity struct {
	Instance    string
	Incarnation string
	DataCentre  string
}

// Table holds the terms that this instance has read from the stream, and its own
// leases. Set the exported fields before use.
type Table struct {
	// Logger receives the events about terms acquired and lost.
	Logger *event.Logger

	self   Identity
	timing Timing
	mu     *lock.Ranked
	// sequence is the number of the last record that this instance appended;
	// appendStarts holds by sequence number when recent appends started.
	sequence     uint64
	appendStarts map[uint64]time.Time
	current      atomic.Pointer[view]
	// releaseSignal holds an element after a release in this data centre, so that
	// the pool is acquired without waiting for the next check.
	releaseSignal chan struct{}
}

// NewTable returns the table of an instance that starts to read the stream from
// a state at the given time. Zero fields of timing stand for the defaults.
func NewTable(self Identity, timing Timing, s State, at time.Time) *Table {
	t := &Table{
		Logger:        event.Discard(),
		self:          self,
		timing:        timing.withDefaults(),
		mu:            lock.New(lock.RankOwnership, "ownership"),
		appendStarts:  map[uint64]time.Time{},
		releaseSignal: make(chan struct{}, 1),
	}
	v := newView(s, at)
	t.current.Store(&v)
	return t
}

// Commands returns the operations that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the operations that read the table.
func (t *Table) Queries() Queries { return Queries{t} }
