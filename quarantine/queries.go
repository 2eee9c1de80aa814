package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Queries reads a Table. Concurrent calls are safe.
type Queries struct{ table *Table }

// freshFor is how long a crash or an entry is passed on without a question for it.
const freshFor = 3 * time.Second

// Verdict returns the verdict on a request with the given parts, or false if it isn't
// refused.
func (q Queries) Verdict(parts []string, now time.Time) (Verdict, bool) {
	t := q.table
	if t.quarantined.Load() == 0 {
		return Verdict{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.matching(parts)
	if len(entries) == 0 {
		return Verdict{}, false
	}
	e := entries[0]
	wait := e.probeInterval() - now.Sub(e.learnedAt)
	return Verdict{Entry: e.Entry, IsProbeDue: wait <= 0, RetryAfter: max(0, wait)}, true
}

// Entry returns the entry with a key, the zero value if there is none.
func (q Queries) Entry(key string) Entry {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[key].Entry
}

// Entries returns all entries by key.
func (q Queries) Entries() []Entry {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]Entry, 0, len(t.entries))
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		entries = append(entries, t.entries[key].Entry)
	}
	return entries
}

// Fresh returns the crashes and the entries that this instance has learned of within
// freshFor.
func (q Queries) Fresh(now time.Time) Update {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var u Update
	for _, c := range t.crashes {
		if now.Sub(c.learnedAt) < freshFor {
			u.Crashes = append(u.Crashes, c.Crash)
		}
	}
	for _, e := range t.entries {
		if now.Sub(e.learnedAt) < freshFor {
			u.Entries = append(u.Entries, e.Entry)
		}
	}
	return u
}

// Digest returns a hash of the versions of all entries, 0 if there are none. Instances
// with the same digest have the same entries.
func (q Queries) Digest() uint64 {
	entries := q.Entries()
	if len(entries) == 0 {
		return 0
	}
	var data []byte
	for _, e := range entries {
		data = append(data, e.Key()...)
		data = binary.BigEndian.AppendUint64(data, e.Generation)
		data = binary.BigEndian.AppendUint64(data, uint64(e.Level))
	}
	return xxhash.Sum64(data)
}
