package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictOldest removes the entries that were used least recently if there are more than a
// limit. It removes a quarter, so that few requests have to wait for it.
func evictOldest[K cmp.Ordered, V any](entries map[K]V, limit int, usedAt func(V) time.Time) {
	if len(entries) <= limit {
		return
	}
	keys := slices.Collect(maps.Keys(entries))
	slices.SortFunc(keys, func(a, b K) int {
		return cmp.Or(usedAt(entries[a]).Compare(usedAt(entries[b])), cmp.Compare(a, b))
	})
	for _, key := range keys[:len(keys)-limit*3/4] {
		delete(entries, key)
	}
}

// lastUse is the time of an entry that consists of it.
func lastUse(at time.Time) time.Time { return at }
