package route

import "time"

// confirmationAge is how old the last confirmation may be for a refusal that
// depends on a missing route or key. It lies below the time within which a
// configuration must be in force everywhere.
const confirmationAge = 1800 * time.Millisecond

// Queries reads a table without taking a lock. Concurrent calls are safe.
type Queries struct{ table *Table }

// Current returns the configuration in force.
func (q Queries) Current() Configuration { return q.table.current.Load().configuration }

// Age returns how long ago the configuration was last known to be the newest.
func (q Queries) Age(now time.Time) time.Duration {
	return now.Sub(q.table.current.Load().confirmedAt)
}

// IsCurrent reports whether the configuration is known to be the newest one, so
// that a route or key that it lacks doesn't exist.
func (q Queries) IsCurrent(now time.Time) bool {
	return q.Current().Version > 0 && q.Age(now) <= confirmationAge
}
