package precedence

import (
	"time"

	"lycheecrank.example/lock"
)

// Table holds the records of this incarnation that the log doesn't have yet. It
// is bounded: when it is full, new records are lost and one gap record tells
// their number. Change it through Commands, read it through Queries; concurrent
// calls are safe.
type Table struct {
	instance    string
	incarnation string
	capacity    int
	// ready holds a token while there may be something to take.
	ready chan struct{}

	mu *lock.Ranked
	// sequence is that of the newest decision, kept or lost.
	sequence uint64
	// head is the hash of the newest record in the chain.
	head    Hash
	waiting []Record
	// pending is the batch that was taken and not yet confirmed.
	pending *Batch
	// returned tells that the append of pending failed.
	returned bool
	// gap collects lost records until there is room for it in the chain.
	gap  Record
	lost uint64
}

// minCapacity leaves room for a gap record and a record after it.
const minCapacity = 2

// NewTable returns an empty table that holds up to capacity records, at least 2.
// The incarnation must be new at each start: a chain has one beginning.
func NewTable(instance, incarnation string, capacity int) *Table {
	return &Table{
		instance:    instance,
		incarnation: incarnation,
		capacity:    max(capacity, minCapacity),
		ready:       make(chan struct{}, 1),
		mu:          lock.New(lock.RankPrecedence, "precedence"),
	}
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{t} }

// held returns the number of records in the table; the caller holds the lock.
func (t *Table) held() int {
	if t.pending == nil {
		return len(t.waiting)
	}
	return len(t.waiting) + len(t.pending.Records)
}

// lose counts a record as lost; the caller holds the lock.
func (t *Table) lose(at time.Time) {
	t.gap = t.gap.WithLoss(t.sequence, at)
	t.lost++
}

// closeGap puts the gap record, if there is one, into the chain; the caller
// holds the lock.
func (t *Table) closeGap() {
	if t.gap.Lost > 0 {
		t.push(t.gap, t.gap.Sequence)
		t.gap = Record{}
	}
}

// push adds a record to the chain; the caller holds the lock.
func (t *Table) push(r Record, sequence uint64) {
	r = r.WithChain(t.instance, t.incarnation, sequence, t.head)
	t.head = r.Hash()
	t.waiting = append(t.waiting, r)
}
