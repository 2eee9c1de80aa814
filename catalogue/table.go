package catalogue

import (
	"sync/atomic"
	"time"

	"lycheecrank.example/lock"
)

// keptRecords is how many of the latest records a table keeps for peers that
// are behind; a peer further behind gets a snapshot.
const keptRecords = 256

// Raw is a record as it stands in the log.
type Raw struct {
	Offset uint64
	Data   []byte
}

// view is what readers see. It is immutable and swapped as a whole.
type view struct {
	catalogue Catalogue
	holds     Holds
	recent    []Raw
	// snapshotAt is the offset of the latest snapshot in the log.
	snapshotAt uint64
	adoptedAt  time.Time
}

// Table holds the catalogue that is in force on an instance. Change it through
// Commands and read it through Queries. Reading takes no lock.
type Table struct {
	mu      *lock.Ranked
	current atomic.Pointer[view]
}

// NewTable returns a table without a catalogue.
func NewTable() *Table {
	t := &Table{mu: lock.New(lock.RankCatalogue, "catalogue")}
	t.current.Store(&view{})
	return t
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
