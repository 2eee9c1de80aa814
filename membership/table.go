package membership

import (
	"sync/atomic"
	"time"

	"lycheecrank.example/lock"
)

// Table holds the current view of an instance. Readers load it without a lock.
type Table struct {
	mu      *lock.Ranked
	current atomic.Pointer[View]
}

// NewTable returns a table whose view contains only this instance.
func NewTable(self Instance) *Table {
	t := &Table{mu: lock.New(lock.RankMember, "membership")}
	t.current.Store(&View{self: self})
	return t
}

// Commands returns the commands that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the queries that read the table.
func (t *Table) Queries() Queries { return Queries{t} }

// Queries reads a table without taking a lock. Concurrent calls are safe.
type Queries struct{ table *Table }

// View returns the current view.
func (q Queries) View() View { return *q.table.current.Load() }

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

func (c Commands) change(transform func(View) View) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	next := transform(*t.current.Load())
	t.current.Store(&next)
}

// RecordContact records a message from an instance.
func (c Commands) RecordContact(instance Instance, at time.Time) {
	c.change(func(v View) View { return v.WithContact(instance, at) })
}

// RecordSightings records the instances that the sender of a message knows, and when they
// were seen (see View.Sightings). The list was made at or after the given time: a later
// time would make each instance that passes the list on extend the life of a failed one.
func (c Commands) RecordSightings(known []Instance, madeAt time.Time) {
	if len(known) > 0 {
		c.change(func(v View) View { return v.WithKnown(known, madeAt) })
	}
}

// RecordReply records a reply of an instance that doesn't describe it.
func (c Commands) RecordReply(instance Instance, at time.Time) {
	c.change(func(v View) View { return v.WithReply(instance, at) })
}

// AddKnown adds instances that are known from their entries in the store. An entry doesn't
// tell whether its instance still runs, and counts as a sighting only if it is new.
func (c Commands) AddKnown(known []Instance, at time.Time) {
	c.change(func(v View) View { return v.WithEntries(known, at) })
}

// RecordFailure records a failed call to an instance.
func (c Commands) RecordFailure(name string, at time.Time) {
	c.change(func(v View) View { return v.WithFailure(name, at) })
}

// RemoveStale removes the instances whose last contact is too long ago.
func (c Commands) RemoveStale(now time.Time) {
	c.change(func(v View) View { return v.WithoutStale(now) })
}

// ResetEligibility records that this instance had a break or steps down as coordinator.
// It then comes after the instances that have been eligible for longer in the choice of
// the coordinator.
func (c Commands) ResetEligibility(at time.Time) {
	c.change(func(v View) View { return v.WithSelf(v.self.WithEligibleSince(at)) })
}

// MarkLeaving records that this instance is shutting down.
func (c Commands) MarkLeaving() {
	c.change(func(v View) View { return v.WithSelf(v.self.WithLeaving()) })
}
