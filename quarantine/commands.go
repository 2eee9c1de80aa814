package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct{ table *Table }

// RecordCrash records a crash. It reports false if the crash was known.
func (c Commands) RecordCrash(crash Crash, now time.Time) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addCrash(crash, now)
}

func (t *Table) addCrash(crash Crash, now time.Time) bool {
	key := crashKey{crash.Server, crash.RequestID}
	if _, isKnown := t.crashes[key]; isKnown || len(crash.Parts) == 0 {
		return false
	}
	t.crashes[key] = heldCrash{crash, now}
	t.removeOld(now)
	return true
}

// RecordSuccess records that an engine served a request with the given parts, which therefore
// didn't crash it. It returns the entries that changed.
func (c Commands) RecordSuccess(parts []string, now time.Time) []Entry {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.recordSuccess(parts, now)
}

// recordSuccess is RecordSuccess for a caller that holds the lock.
func (t *Table) recordSuccess(parts []string, now time.Time) []Entry {
	for _, part := range parts {
		t.successes.record(part, now)
	}
	if t.quarantined.Load() == 0 {
		return nil
	}
	var changed []Entry
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[key].Entry
		succeeded := slices.DeleteFunc(slices.Clone(e.Parts), func(part string) bool { return !slices.Contains(parts, part) })
		if e.IsQuarantined() && len(succeeded) > 0 {
			changed = append(changed, t.narrow(e, succeeded, now)...)
		}
	}
	return changed
}

// Merged is what has changed by a merge.
type Merged struct {
	// Learned are the entries that were taken over from the other instance.
	Learned []Entry
	// Corrected are the entries that this instance has changed, because some of their
	// parts have succeeded here after the first crash in the evidence.
	Corrected []Entry
	// HasNewCrashes is set if some crashes were not known.
	HasNewCrashes bool
}

// Merge adds what another instance knows.
func (c Commands) Merge(u Update, now time.Time) Merged {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var merged Merged
	for _, crash := range u.Crashes {
		merged.HasNewCrashes = t.addCrash(crash, now) || merged.HasNewCrashes
	}
	for _, e := range u.Entries {
		if old, ok := t.entries[e.Key()]; len(e.Parts) == 0 || ok && !e.isNewer(old.Entry) || e.isExpired(now) {
			continue
		}
		t.setEntry(e, now)
		merged.Learned = append(merged.Learned, e)
		for _, part := range e.Succeeded {
			// Crashes from before the success no longer count.
			t.successes.record(part, now)
		}
		if succeeded := t.succeededSince(e); e.IsQuarantined() && len(succeeded) > 0 {
			merged.Corrected = append(merged.Corrected, t.narrow(e, succeeded, now)...)
		}
	}
	t.removeOld(now)
	return merged
}

// succeededSince returns the parts of an entry that have succeeded after the first crash
// in its evidence. The caller holds the lock.
func (t *Table) succeededSince(e Entry) []string {
	if len(e.Evidence) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.Parts), func(part string) bool { return !t.successes.last(part).After(e.Evidence[0].at()) })
}

// Judge quarantines the parts that have crashed enough engines, and prolongs the
// quarantine of those whose probe crashed its engine. The function isOwn reports whether
// a data centre is in the cell of this instance. It returns the entries that changed.
func (c Commands) Judge(now time.Time, isOwn func(dataCentre string) bool) []Entry {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.settle(now)
	crashes := make([]Crash, 0, len(t.crashes))
	for _, held := range t.crashes {
		crashes = append(crashes, held.Crash)
	}
	set := func(e Entry) {
		t.setEntry(e, now)
		changed = append(changed, e)
	}
	for _, found := range verdicts(crashes, t.successes.last, isOwn) {
		if len(t.matching(found.Parts)) == 0 {
			found.Generation = t.entries[found.Key()].Generation
			set(found.WithQuarantine(found.Evidence, now))
		}
	}
	for _, e := range t.entries {
		isProbe := func(crash Crash) bool { return crash.RequestID == e.probeRequest }
		if e.probeRequest != "" && e.IsQuarantined() && slices.ContainsFunc(crashes, isProbe) {
			set(e.WithFailedProbe(now))
		}
	}
	t.removeOld(now)
	return changed
}

// AdmitProbe admits a request with quarantined parts as a probe, if one is due for each
// entry and none is in progress. The function mayProbe reports whether this instance
// sends the probe of an entry that has been due for a time.
func (c Commands) AdmitProbe(parts []string, request string, mayProbe func(e Entry, overdue time.Duration) bool, now time.Time) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.matching(parts)
	for _, e := range entries {
		overdue := now.Sub(e.learnedAt) - e.probeInterval()
		isInProgress := e.probeRequest != "" && now.Sub(e.probedAt) < probeTimeout
		if overdue < 0 || isInProgress || !mayProbe(e.Entry, overdue) {
			return false
		}
	}
	for _, e := range entries {
		e.probeRequest, e.probedAt = request, now
		t.entries[e.Key()] = e
	}
	return true
}
