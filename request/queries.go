package request

// Queries reads a Table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// InFlight returns the number of requests in flight.
func (q Queries) InFlight() int {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight)
}

// InFlightInWorkspace returns the number of requests in flight in a workspace.
func (q Queries) InFlightInWorkspace(workspace string) int {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byWorkspace[workspace]
}
