package member

import "time"

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// ReplaceList takes over the platform's list, read at the given time. It isn't
// called while the list is down, so that the last list stays in use.
func (c Commands) ReplaceList(listed []Instance, at time.Time) {
	c.table.change(func(l List) List { return l.WithPlatformList(listed, at) })
}

// MarkReachable records direct contact with an instance, as it described itself.
func (c Commands) MarkReachable(i Instance, at time.Time) {
	c.table.change(func(l List) List { return l.WithContact(i, at) })
}

// MarkUnreachable records that a direct call to an instance has failed.
func (c Commands) MarkUnreachable(name string) {
	c.table.change(func(l List) List { return l.WithoutContact(name) })
}

// MarkLeaving records that an incarnation of an instance said it is leaving.
func (c Commands) MarkLeaving(name, incarnation string) {
	c.table.change(func(l List) List { return l.WithLeaving(name, incarnation) })
}
