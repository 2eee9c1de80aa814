package precedence

import (
	"time"

	"lycheecrank.example/lock"
)

// Table buffers the records of this incarnation that are not yet confirmed to be in
// the log. It is bounded: when it is full, new records are lost, and a gap record
// states how many. Change it through Commands, read it through Queries; concurrent
// calls are safe.
type Table struct {
	instance    string
	incarnation string
	capacity    int
	// ready holds a token if records were added after the reader last received a token.
	ready chan struct{}

	mu *lock.Ranked
	// sequence is the sequence number of the newest decision, whether it is in the
	// log, buffered or lost.
	sequence uint64
	// head is the hash of the newest record in the chain.
	head Hash
	// waiting holds the records that are not in a batch yet, oldest first.
	waiting []Record
	// pending is the batch that TakeBatch returned and that is not yet confirmed.
	pending *Batch
	// requeued reports whether the append of pending failed.
	requeued bool
	// gap is the next gap record. It counts lost records and is appended as soon as the
	// table has space for it.
	gap Record
	// lostCount is the number of records lost since the start.
	lostCount uint64
}

// minCapacity leaves space for a gap record and the record that follows it.
const minCapacity = 2

// NewTable returns an empty table for up to capacity records, at least 2. The
// incarnation must be unique to each start of the instance, because each chain starts
// at sequence number 1.
func NewTable(instance, incarnation string, capacity int) *Table {
	return &Table{
		instance:    instance,
		incarnation: incarnation,
		capacity:    max(capacity, minCapacity),
		ready:       make(chan struct{}, 1),
		mu:          lock.New(lock.RankPrecedence, "precedence"),
	}
}

// Commands returns the commands that add records and take batches.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the queries of the table.
func (t *Table) Queries() Queries { return Queries{t} }

// recordCount returns the number of records in the table, without an unwritten gap
// record; the caller holds the lock.
func (t *Table) recordCount() int {
	if t.pending == nil {
		return len(t.waiting)
	}
	return len(t.waiting) + len(t.pending.Records)
}

// countLost counts the newest record as lost; the caller holds the lock.
func (t *Table) countLost(at time.Time) {
	t.gap = t.gap.WithLoss(t.sequence, at)
	t.lostCount++
}

// appendGap appends the gap record, if there is one, to the chain; the caller holds
// the lock.
func (t *Table) appendGap() {
	if t.gap.LostCount > 0 {
		t.appendRecord(t.gap, t.gap.Sequence)
		t.gap = Record{}
	}
}

// appendRecord appends a record to the chain; the caller holds the lock.
func (t *Table) appendRecord(record Record, sequence uint64) {
	record = record.WithChain(t.instance, t.incarnation, sequence, t.head)
	t.head = record.Hash()
	t.waiting = append(t.waiting, record)
}
