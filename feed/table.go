package feed

import "lycheecrank.example/lock"

// Table holds the copies of streams by name.
type Table struct {
	// OnLate is called with each record that is ignored because its value is older than
	// that of a record before it, OnInvalid with each that is ignored because its value
	// isn't one of its key. They are called under the lock. Set them before the first call.
	OnLate    func(stream string, late Record)
	OnInvalid func(stream string, invalid Invalid)
	// OnEra is called under the lock when a copy changes to a later era of the store, with
	// the copy before and after.
	OnEra func(stream string, before, after State)

	mu     *lock.Ranked
	states map[string]State
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{OnLate: func(string, Record) {}, OnInvalid: func(string, Invalid) {}, OnEra: func(string, State, State) {}, mu: lock.New(lock.RankFeed, "feed"), states: map[string]State{}}
}

// AddStream adds a stream with an empty copy, whose exported functions and periods are those
// of the stream.
func (t *Table) AddStream(name string, empty State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[name] = empty
}

// Commands returns the commands that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the queries that read the table.
func (t *Table) Queries() Queries { return Queries{t} }

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// Queries reads a table. Concurrent calls are safe.
type Queries struct{ table *Table }

// State returns the copy of a stream.
func (q Queries) State(stream string) State {
	q.table.mu.Lock()
	defer q.table.mu.Unlock()
	return q.table.states[stream]
}
