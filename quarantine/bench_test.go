package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// benchTable returns a table with some quarantined parts and many successes.
func benchTable(entries int) *Table {
	t := NewTable()
	now := time.Now()
	var u Update
	for n := range entries {
		u.Entries = append(u.Entries, Entry{Parts: []string{fmt.Sprint("deadly", n)}, Level: 1, UpdatedUnixMilli: now.UnixMilli()})
	}
	t.Commands().Merge(u, now)
	for n := range maxSuccesses {
		t.Commands().RecordSuccess([]string{fmt.Sprint("p", n)}, now)
	}
	return t
}

// BenchmarkVerdict measures the check of a request, and BenchmarkSuccess the record of a
// first event, without and with quarantined parts.
func BenchmarkVerdict(b *testing.B) {
	for _, entries := range []int{0, 2, maxEntries} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			t, now := benchTable(entries), time.Now()
			b.ReportAllocs()
			for b.Loop() {
				t.Queries().Verdict([]string{"p1", "p2", "p3"}, now)
			}
		})
	}
}

func BenchmarkSuccess(b *testing.B) {
	for _, entries := range []int{0, 2, maxEntries} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			t, now := benchTable(entries), time.Now()
			b.ReportAllocs()
			for b.Loop() {
				t.Commands().RecordSuccess([]string{"p1", "p2", "p3"}, now)
			}
		})
	}
}

// BenchmarkDigest measures the digest, which each heartbeat and each reply has.
func BenchmarkDigest(b *testing.B) {
	for _, entries := range []int{0, 2, maxEntries} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			t := benchTable(entries)
			b.ReportAllocs()
			for b.Loop() {
				t.Queries().Digest()
			}
		})
	}
}
