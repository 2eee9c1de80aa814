package claim

import "time"

// Queries reads a table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// Queries returns the queries of the table.
func (t *Table) Queries() Queries { return Queries{t} }

// State returns the state of a key, and false if the table has no record of it.
func (q Queries) State(k Key) (State, bool) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[StreamOf(k)].state(k)
}

// AppliedThrough returns the offset of the last applied record of a stream, or 0
// if there is none.
func (q Queries) AppliedThrough(name string) uint64 {
	n, ok := streamNumber(name)
	if !ok {
		return 0
	}
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[n].appliedThrough
}

// CompleteSince returns the earliest key timestamp from which on all records of the
// stream have been read, up to the last applied one. It returns false before the first
// Commands.SetNextOffset for the stream.
func (q Queries) CompleteSince(name string) (time.Time, bool) {
	n, ok := streamNumber(name)
	if !ok {
		return time.Time{}, false
	}
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[n].completeSince, t.streams[n].isStarted
}

// HasAllRecords reports whether all records of a key up to the last applied offset
// of its stream have been applied.
func (q Queries) HasAllRecords(k Key) bool {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[StreamOf(k)].hasAllRecords(k)
}

// Size returns the number of keys in the table and the bytes of their outputs.
func (q Queries) Size() (keys, resultBytes int) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.streams {
		for _, m := range t.streams[n].statesByMinute {
			keys += len(m)
		}
	}
	return keys, t.resultBytes
}
