package route

import "time"

// maxConfirmationAge is the largest age of the last confirmation at which a request
// may be refused for a missing route or key. It is shorter than the time within which
// a new configuration must be in force on all instances, so that no instance refuses a
// request by an older configuration after that time.
const maxConfirmationAge = 1800 * time.Millisecond

// Queries reads a table without taking a lock. Concurrent calls are safe.
type Queries struct{ table *Table }

// Current returns the configuration in force.
func (q Queries) Current() Configuration { return q.table.current.Load().configuration }

// Age returns the time since the configuration was last confirmed to be the newest.
func (q Queries) Age(now time.Time) time.Duration {
	return now.Sub(q.table.current.Load().confirmedAt)
}

// IsCurrent reports whether the configuration was recently confirmed to be the
// newest one. If it was, a route or key that it doesn't contain doesn't exist.
func (q Queries) IsCurrent(now time.Time) bool {
	return q.Current().Version > 0 && q.Age(now) <= maxConfirmationAge
}
