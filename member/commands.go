package member

import "time"

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// ReplaceList replaces the platform's list by one that was read at the given time.
// While the platform's list is unavailable, ReplaceList isn't called and the last list
// stays in use.
func (c Commands) ReplaceList(listed []Instance, at time.Time) {
	c.table.change(func(l List) List { return l.WithPlatformList(listed, at) })
}

// MarkReachable records direct contact with an instance. The argument is the description
// that the instance sent of itself.
func (c Commands) MarkReachable(instance Instance, at time.Time) {
	c.table.change(func(l List) List { return l.WithContact(instance, at) })
}

// MarkUnreachable records that a direct call to an instance has failed.
func (c Commands) MarkUnreachable(name string) {
	c.table.change(func(l List) List { return l.WithoutContact(name) })
}

// MarkLeaving records that an incarnation of an instance announced its shutdown.
func (c Commands) MarkLeaving(name, incarnation string) {
	c.table.change(func(l List) List { return l.WithLeaving(name, incarnation) })
}
