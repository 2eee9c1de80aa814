package catalogue

import "time"

// Queries reads a Table. It takes no lock.
type Queries struct {
	table *Table
}

// Current returns the catalogue in force.
func (q Queries) Current() Catalogue { return q.table.current.Load().catalogue }

// IsLoaded reports whether any catalogue has been applied.
func (q Queries) IsLoaded() bool { return q.Current().Offset > 0 }

// Holds returns the holds on data centres.
func (q Queries) Holds() Holds { return q.table.current.Load().holds }

// AppliedAt returns the time at which the catalogue in force was applied on this
// instance.
func (q Queries) AppliedAt() time.Time { return q.table.current.Load().appliedAt }

// IsOpen reports whether a data centre may get new work: it is not taken out and
// has no active hold.
func (q Queries) IsOpen(dataCentre string, now time.Time) bool {
	v := q.table.current.Load()
	return !v.catalogue.IsTakenOut(dataCentre) && !v.holds.IsActive(dataCentre, now)
}

// RecordsAfter returns the encoded records after an offset, and false if the table
// no longer has all of them.
func (q Queries) RecordsAfter(after uint64) ([]RawRecord, bool) {
	v := q.table.current.Load()
	if after >= v.catalogue.Offset {
		return nil, true
	}
	for i, r := range v.recentRecords {
		if r.Offset == after+1 {
			return v.recentRecords[i:], true
		}
	}
	return nil, false
}

// RecordsSinceSnapshot returns the number of records after the latest snapshot
// that was read from the log.
func (q Queries) RecordsSinceSnapshot() uint64 {
	v := q.table.current.Load()
	return v.catalogue.Offset - min(v.snapshotOffset, v.catalogue.Offset)
}

// SnapshotOffset returns the offset of the latest snapshot that was read from the
// log, 0 if there is none.
func (q Queries) SnapshotOffset() uint64 { return q.table.current.Load().snapshotOffset }
