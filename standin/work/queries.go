package work

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Queries reads a server. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// NewQueries returns the queries of a table.
func NewQueries(t *Table) *Queries { return &Queries{table: t} }

// LoadAt returns the load at a moment of the last minute, or that of the start
// for an earlier moment.
func (q *Queries) LoadAt(at time.Time) Load {
	t := q.table
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, l := range slices.Backward(t.history) {
		if !l.At.After(at) {
			l.At = at
			return l
		}
	}
	return t.history[0]
}

// Counts returns a copy of all counts.
func (q *Queries) Counts() map[string]int64 {
	t := q.table
	t.lock.Lock()
	defer t.lock.Unlock()
	return maps.Clone(t.counts)
}

// Events returns the events of the prefix cache from a number on that are older
// than a lag, a channel that is closed at the next event, and how long until
// the first event is old enough; 0 if there is none.
func (q *Queries) Events(from uint64, lag time.Duration) (due []CacheEvent, more <-chan struct{}, wait time.Duration) {
	t := q.table
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, e := range t.events {
		if e.Number < from {
			continue
		}
		if wait := lag - time.Since(e.At); wait > 0 {
			return due, t.moreEvents, wait
		}
		due = append(due, e)
	}
	return due, t.moreEvents, 0
}

// Prefix returns the cached prefix of a digest, or ErrUnknown.
func (q *Queries) Prefix(digest []byte) ([]byte, error) {
	t := q.table
	t.lock.Lock()
	defer t.lock.Unlock()
	p, ok := t.prefixes[string(digest)]
	if !ok {
		return nil, eris.Wrap(ErrUnknown, "prefix")
	}
	return []byte(p), nil
}

// Lookup returns the total of a subject, or all totals if the subject is empty.
func (q *Queries) Lookup(subject string) []Total {
	t := q.table
	t.lock.Lock()
	defer t.lock.Unlock()
	if subject != "" {
		total := t.totals[subject]
		total.Subject = subject
		return []Total{total}
	}
	all := make([]Total, 0, len(t.totals))
	for _, s := range slices.Sorted(maps.Keys(t.totals)) {
		all = append(all, t.totals[s])
	}
	return all
}
