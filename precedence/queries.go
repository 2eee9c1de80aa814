package precedence

// Queries reads the table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// Buffered returns the number of records that the log doesn't have yet, with
// the gap record that is still to be written.
func (q Queries) Buffered() int {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gap.Lost > 0 {
		return t.held() + 1
	}
	return t.held()
}

// Lost returns the number of records lost since the start.
func (q Queries) Lost() uint64 {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Sequence returns the sequence number of the newest decision; 0 if none.
func (q Queries) Sequence() uint64 {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sequence
}

// Ready returns a channel that gets a token after each Add, for one reader.
func (q Queries) Ready() <-chan struct{} { return q.table.ready }
