package fault

// Queries reads the fault. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// NewQueries returns the queries of a table.
func NewQueries(t *Table) *Queries { return &Queries{table: t} }

// Current returns the fault as it was set, less the calls that had it.
func (q *Queries) Current() Call {
	t := q.table
	t.lock.Lock()
	defer t.lock.Unlock()
	return Call{Fault: t.current, Ended: t.changed}
}

// Running returns the fault for a call that runs already. Only a fault without
// a number of calls reaches it, since the others are counted at the start of a
// call.
func (q *Queries) Running(method string) Call {
	c := q.Current()
	if c.Remaining != 0 || !c.Covers(method) {
		c.Fault = Fault{}
	}
	return c
}

// Stopping is closed once the stand-in stops.
func (q *Queries) Stopping() <-chan struct{} { return q.table.stopping }
