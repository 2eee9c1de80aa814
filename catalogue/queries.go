package catalogue

import "time"

// Queries reads a Table. Its calls take no lock and change nothing.
type Queries struct {
	table *Table
}

// Current returns the catalogue in force.
func (q Queries) Current() Catalogue { return q.table.current.Load().catalogue }

// Known reports whether a catalogue has been adopted yet.
func (q Queries) Known() bool { return q.Current().Offset > 0 }

// Holds returns the holds on data centres.
func (q Queries) Holds() Holds { return q.table.current.Load().holds }

// AdoptedAt returns when the catalogue came into force on this instance.
func (q Queries) AdoptedAt() time.Time { return q.table.current.Load().adoptedAt }

// IsOpen reports whether a data centre may get new work: operators have
// neither taken it out nor placed a hold on it.
func (q Queries) IsOpen(dataCentre string, now time.Time) bool {
	v := q.table.current.Load()
	return !v.catalogue.IsTakenOut(dataCentre) && !v.holds.Active(dataCentre, now)
}

// Since returns the records after an offset as they stand in the log, and false
// if the table no longer has all of them.
func (q Queries) Since(after uint64) ([]Raw, bool) {
	v := q.table.current.Load()
	if after >= v.catalogue.Offset {
		return nil, true
	}
	for i, r := range v.recent {
		if r.Offset == after+1 {
			return v.recent[i:], true
		}
	}
	return nil, false
}

// RecordsSinceSnapshot returns how many records follow the latest snapshot that
// the table has seen in the log.
func (q Queries) RecordsSinceSnapshot() uint64 {
	v := q.table.current.Load()
	return v.catalogue.Offset - min(v.snapshotAt, v.catalogue.Offset)
}

// SnapshotAt returns the offset of the latest snapshot that the table has seen
// in the log, 0 if there is none.
func (q Queries) SnapshotAt() uint64 { return q.table.current.Load().snapshotAt }
