package peer

import "lycheecrank.example/provider"

const (
	// maxRecords and maxRecordsBytes bound a message of records, so that a long
	// catch-up does not delay the steps on the same connection.
	maxRecords      = 1024
	maxRecordsBytes = 1 << 20
)

// firstBatch returns the leading records that fit into one message, at least one.
func firstBatch(records []provider.Record) []provider.Record {
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if i > 0 && (i == maxRecords || size > maxRecordsBytes) {
			return records[:i]
		}
	}
	return records
}

// isConsecutive reports whether all records are above the offset and have no gap
// between them. A gap between the offset and the first record is allowed.
func isConsecutive(records []provider.Record, after uint64) bool {
	for i, r := range records {
		if r.Offset <= after || (i > 0 && r.Offset != records[i-1].Offset+1) {
			return false
		}
	}
	return true
}
