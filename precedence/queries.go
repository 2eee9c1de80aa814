package precedence

// Queries reads the table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// Buffered returns the number of records that are not yet confirmed to be in the log,
// including a gap record that is not written yet.
func (q Queries) Buffered() int {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gap.LostCount > 0 {
		return t.recordCount() + 1
	}
	return t.recordCount()
}

// LostCount returns the number of records lost since the start.
func (q Queries) LostCount() uint64 {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lostCount
}

// LastSequence returns the sequence number of the newest decision, whether it is in the
// log, buffered or lost; 0 if there is none.
func (q Queries) LastSequence() uint64 {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sequence
}

// Ready returns a channel that receives a token after an Add; it buffers one token,
// so several calls of Add may share one. It is meant for a single reader.
func (q Queries) Ready() <-chan struct{} { return q.table.ready }
