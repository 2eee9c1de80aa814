package catalogue

import (
	"sync/atomic"
	"time"

	"lycheecrank.example/lock"
)

// maxRecentRecords bounds the latest records that a table keeps for peers that are
// behind. A peer that is further behind gets a snapshot.
const maxRecentRecords = 256

// RawRecord is an encoded record of the log with its offset.
type RawRecord struct {
	Offset uint64
	Data   []byte
}

// view is the state of a table. It is immutable; each change stores a new one.
type view struct {
	catalogue     Catalogue
	holds         Holds
	recentRecords []RawRecord
	// snapshotOffset is the offset of the latest snapshot in the log, 0 if none.
	snapshotOffset uint64
	appliedAt      time.Time
}

// Table holds the catalogue and the holds that are in force on an instance. Change
// it through Commands and read it through Queries. Reading takes no lock.
type Table struct {
	mu      *lock.Ranked
	current atomic.Pointer[view]
}

// NewTable returns a table with an empty catalogue and no holds.
func NewTable() *Table {
	t := &Table{mu: lock.New(lock.RankCatalogue, "catalogue")}
	t.current.Store(&view{})
	return t
}

// Commands returns the commands on the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

// Queries returns the queries on the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
