package membership

import (
	"sync/atomic"
	"time"

	"lycheecrank.example/lock"
)

// Table holds the view of an instance. Readers load it without a lock.
type Table struct {
	mu      *lock.Ranked
	current atomic.Pointer[View]
}

// NewTable returns a table that knows this instance only.
func NewTable(self Instance) *Table {
	t := &Table{mu: lock.New(lock.RankMember, "membership")}
	t.current.Store(&View{self: self})
	return t
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{t} }

// Queries reads a table without taking a lock. Concurrent calls are safe.
type Queries struct{ table *Table }

// View returns the current view.
func (q Queries) View() View { return *q.table.current.Load() }

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

func (c Commands) change(with func(View) View) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	next := with(*t.current.Load())
	t.current.Store(&next)
}

// RecordContact notes a message of an instance and what that one knows of others.
func (c Commands) RecordContact(m Instance, known []Instance, at time.Time) {
	c.change(func(v View) View { return v.WithContact(m, at).WithKnown(known, at) })
}

// AddKnown notes instances that were heard of.
func (c Commands) AddKnown(known []Instance, at time.Time) {
	c.change(func(v View) View { return v.WithKnown(known, at) })
}

// RecordFailure notes that a call to an instance failed.
func (c Commands) RecordFailure(name string, at time.Time) {
	c.change(func(v View) View { return v.WithFailure(name, at) })
}

// Forget drops instances that have not been in touch for long.
func (c Commands) Forget(now time.Time) {
	c.change(func(v View) View { return v.WithoutStale(now) })
}

// ResetFitness notes that this instance had a break, so that it comes last in the
// choice of the coordinator.
func (c Commands) ResetFitness(at time.Time) {
	c.change(func(v View) View { return v.WithSelf(v.self.WithFitSince(at)) })
}

// Leave notes that this instance shuts down.
func (c Commands) Leave() {
	c.change(func(v View) View { return v.WithSelf(v.self.WithLeaving()) })
}
