package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"lycheecrank.example/lock"
)

// Table holds the crashes, the quarantine entries and the last successes of parts.
type Table struct {
	mu      *lock.Ranked
	crashes map[crashKey]heldCrash
	// entries holds the entries by key.
	entries map[string]heldEntry
	// successes holds the last success of each part.
	successes successLog
	// begun holds the answers that have begun lately, in order.
	begun []begunAnswer
	// quarantined is the number of entries that are quarantined. It is read without the lock.
	quarantined atomic.Int64
}

type crashKey struct{ server, request string }

type heldCrash struct {
	Crash
	learnedAt time.Time
}

// heldEntry is an entry with what this instance alone knows about it.
type heldEntry struct {
	Entry
	// learnedAt is when this instance learned of the version of the entry.
	learnedAt time.Time
	// probeRequest is the ID of the request that was sent as a probe, empty for none.
	probeRequest string
	probedAt     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankQuarantine, "quarantine"), crashes: map[crashKey]heldCrash{}, entries: map[string]heldEntry{}}
}

// Commands returns the methods that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the methods that read the table.
func (t *Table) Queries() Queries { return Queries{t} }

// setEntry replaces an entry. The caller holds the lock.
func (t *Table) setEntry(e Entry, now time.Time) {
	key := e.Key()
	if t.entries[key].IsQuarantined() {
		t.quarantined.Add(-1)
	}
	if e.IsQuarantined() {
		t.quarantined.Add(1)
	}
	t.entries[key] = heldEntry{Entry: e, learnedAt: now}
}

// removeOld removes what is too old or exceeds the bounds: the oldest crashes, and the
// entries that are not quarantined first. The caller holds the lock.
func (t *Table) removeOld(now time.Time) {
	maps.DeleteFunc(t.crashes, func(_ crashKey, c heldCrash) bool { return now.Sub(c.learnedAt) > crashRetention })
	for len(t.crashes) > maxCrashes {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.crashes)), func(a, b heldCrash) int { return a.learnedAt.Compare(b.learnedAt) })
		delete(t.crashes, crashKey{oldest.Server, oldest.RequestID})
	}
	for key, e := range t.entries {
		if e.isExpired(now) {
			t.deleteEntry(key)
		}
	}
	for len(t.entries) > maxEntries {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.entries)), func(a, b heldEntry) int {
			return cmp.Or(cmp.Compare(min(a.Level, 1), min(b.Level, 1)), cmp.Compare(a.UpdatedUnixMilli, b.UpdatedUnixMilli))
		})
		t.deleteEntry(oldest.Key())
	}
}

// matching returns the entries for which a request with the given parts is refused, in
// order. The caller holds the lock.
func (t *Table) matching(parts []string) []heldEntry {
	if t.quarantined.Load() == 0 {
		return nil
	}
	var found []heldEntry
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[key]; e.IsQuarantined() && e.matches(parts) {
			found = append(found, e)
		}
	}
	return found
}

// narrow removes parts that have succeeded from an entry, or ends its quarantine if none
// is left. It returns the entries that changed. The caller holds the lock.
func (t *Table) narrow(e Entry, succeeded []string, now time.Time) []Entry {
	changed := []Entry{e.WithEnd(succeeded, now)}
	if rest, ok := e.withoutSuccesses(succeeded, now); ok {
		rest.Generation = t.entries[rest.Key()].Generation
		if !t.entries[rest.Key()].IsQuarantined() {
			changed = append(changed, rest)
		}
	}
	for _, c := range changed {
		t.setEntry(c, now)
	}
	return changed
}

// deleteEntry removes an entry. The caller holds the lock.
func (t *Table) deleteEntry(key string) {
	if t.entries[key].IsQuarantined() {
		t.quarantined.Add(-1)
	}
	delete(t.entries, key)
}

// successLog holds the last successes of recently used parts. When half of it is full,
// the other half is dropped, so that it holds between half and all of maxSuccesses.
type successLog struct {
	recent, older map[string]time.Time
}

// maxSuccesses bounds the parts in a successLog.
const maxSuccesses = 8192

func (l *successLog) record(part string, now time.Time) {
	if l.recent == nil || len(l.recent) >= maxSuccesses/2 {
		l.recent, l.older = map[string]time.Time{}, l.recent
	}
	l.recent[part] = now
}

// last returns the last success of a part, or the zero time if none is known.
func (l *successLog) last(part string) time.Time {
	if at, ok := l.recent[part]; ok {
		return at
	}
	return l.older[part]
}
