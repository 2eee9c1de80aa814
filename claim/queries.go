package claim

import "time"

// Queries reads a table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// Queries returns the queries of the table.
func (t *Table) Queries() Queries { return Queries{t} }

// State returns the state of a key, and false if no record of it is known.
func (q Queries) State(k Key) (State, bool) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[StreamOf(k)].state(k)
}

// Through returns the offset through which a stream was applied; 0 for none.
func (q Queries) Through(name string) uint64 {
	n, ok := streamNumber(name)
	if !ok {
		return 0
	}
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[n].through
}

// CompleteSince returns the time from which on all records of a key were read,
// and false if reading the stream has not begun.
func (q Queries) CompleteSince(name string) (time.Time, bool) {
	n, ok := streamNumber(name)
	if !ok {
		return time.Time{}, false
	}
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[n].since, t.streams[n].begun
}

// IsComplete reports whether all records of a key up to the offset applied were
// read.
func (q Queries) IsComplete(k Key) bool {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[StreamOf(k)].isComplete(k)
}

// Size returns the number of keys held and the bytes of their results.
func (q Queries) Size() (keys, resultBytes int) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.streams {
		for _, m := range t.streams[n].minutes {
			keys += len(m)
		}
	}
	return keys, t.resultBytes
}
