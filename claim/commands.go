package claim

import (
	"time"

	"github.com/rotisserie/eris"
)

// Commands modifies a table. Concurrent calls are safe, but the calls for one
// stream must be made in stream order.
type Commands struct {
	table *Table
}

// Commands returns the commands of the table.
func (t *Table) Commands() Commands { return Commands{t} }

// SetNextOffset sets the offset of the next record of a stream to apply. It may skip
// only records that are no longer in the log. since is the append time of the
// earliest record in the log, or the current time if the stream is empty.
// SetNextOffset must be called before the first ApplyRecords for a stream, and
// again whenever the log reports that the next record has expired. It returns
// ErrUnknownStream if the name is not that of a claim stream.
func (c Commands) SetNextOffset(name string, from uint64, since time.Time) error {
	n, ok := streamNumber(name)
	if !ok {
		return eris.Wrap(ErrUnknownStream, name)
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.streams[n]
	s.isStarted = true
	s.raiseCompleteSince(t.Window.expiryCutoff(time.Now()))
	if from <= s.appliedThrough+1 {
		return nil
	}
	s.appliedThrough = from - 1
	// A record missed just before since can belong to a key with a later
	// timestamp: the key may be ahead of the claimer's clock, which may be ahead
	// of the log's clock.
	s.raiseCompleteSince(since.Add(t.Window.MaxAhead + maxClockSkew))
	return nil
}

// ApplyRecords applies consecutive records of a stream, the first of which has
// the given offset. Records that have already been applied are skipped. It returns
// ErrRecordsMissing if records are missing before the first one, and
// ErrUnknownStream if the name is not that of a claim stream.
func (c Commands) ApplyRecords(name string, offset uint64, records []Record) error {
	n, ok := streamNumber(name)
	if !ok {
		return eris.Wrap(ErrUnknownStream, name)
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.streams[n]
	if !s.isStarted || offset > s.appliedThrough+1 {
		return eris.Wrapf(ErrRecordsMissing, "%s: first record has offset %d, last applied offset is %d", name, offset, s.appliedThrough)
	}
	for i, r := range records {
		if o := offset + uint64(i); o > s.appliedThrough {
			s.appliedThrough = o
			t.applyRecord(n, o, r)
		}
	}
	return nil
}

func (t *Table) applyRecord(n int, offset uint64, r Record) {
	if r.Kind == 0 || StreamOf(r.Key) != n {
		return
	}
	s := &t.streams[n]
	if lc, ok := t.localClaims[r.ClaimID]; ok {
		t.updateLocalClaim(lc, r)
	}
	before, known := s.state(r.Key)
	if !known && !s.hasAllRecords(r.Key) {
		return // claims of the key are refused anyway, so its state would waste memory
	}
	after := before.WithRecord(offset, r)
	s.setState(r.Key, after)
	if before.result == nil && after.result != nil {
		t.trackResult(r.Key, len(after.result.Output))
	}
	if c, ok := after.ActiveClaim(); ok {
		t.releaseIfActive(t.localClaims[c.ID], after)
	}
}

// updateLocalClaim updates a claim of this process after one of its records.
func (t *Table) updateLocalClaim(c *localClaim, r Record) {
	switch {
	case r.Kind == KindOutcome:
		delete(t.localClaims, r.ClaimID)
	case !c.isApplied:
		c.isApplied = true
		close(c.applied)
	}
}

// releaseIfActive queues the release of an abandoned claim once it is active. An
// outcome has no effect before that.
func (t *Table) releaseIfActive(c *localClaim, st State) {
	if c == nil || !c.isAbandoned || c.isReleaseQueued || !st.isHeldBy(c.record.ClaimID) {
		return
	}
	c.isReleaseQueued = true
	t.releases = append(t.releases, releaseRecord(c.record))
	select {
	case t.releaseAdded <- struct{}{}:
	default:
	}
}

// trackResult adds a stored output to the total and drops the oldest outputs
// while the total exceeds the limit.
func (t *Table) trackResult(k Key, size int) {
	if size == 0 {
		return
	}
	limit := t.MaxResultBytes
	if limit == 0 {
		limit = defaultMaxResultBytes
	}
	t.resultKeys = append(t.resultKeys, k)
	t.resultBytes += size
	for t.resultBytes > limit {
		oldest := t.resultKeys[0]
		t.resultKeys = t.resultKeys[1:]
		s := &t.streams[StreamOf(oldest)]
		if st, ok := s.state(oldest); ok {
			t.resultBytes -= len(st.Result().Output)
			s.setState(oldest, st.WithoutOutput())
		}
	}
}

// Expire deletes the keys that are too old to be claimed at now. Claims of them
// stay refused even if the clock is set back later.
func (c Commands) Expire(now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	cutoff := t.Window.expiryCutoff(now).Truncate(time.Minute)
	for n := range t.streams {
		s := &t.streams[n]
		s.raiseCompleteSince(cutoff)
		for m, states := range s.statesByMinute {
			if m >= minuteOf(cutoff) {
				continue
			}
			for _, st := range states {
				t.resultBytes -= len(st.Result().Output)
			}
			delete(s.statesByMinute, m)
		}
	}
	t.resultKeys = t.unexpiredResultKeys()
	for id, lc := range t.localClaims {
		if lc.isAbandoned && lc.record.Key.Time().Before(cutoff) {
			delete(t.localClaims, id)
		}
	}
}

// unexpiredResultKeys returns the entries of resultKeys that have not expired.
func (t *Table) unexpiredResultKeys() []Key {
	unexpired := make([]Key, 0, len(t.resultKeys))
	for _, k := range t.resultKeys {
		if _, ok := t.streams[StreamOf(k)].state(k); ok {
			unexpired = append(unexpired, k)
		}
	}
	return unexpired
}

// trackClaim registers a claim that is about to be appended. The channel is
// closed when the claim record has been applied.
func (c Commands) trackClaim(r Record) <-chan struct{} {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	lc := &localClaim{record: r, applied: make(chan struct{})}
	t.localClaims[r.ClaimID] = lc
	return lc.applied
}

// untrackClaim removes a claim that will never be in the log.
func (c Commands) untrackClaim(id ID) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.localClaims, id)
}

// decision is the final decision on a claim, with the state of its key at that time.
type decision struct {
	state State
	// won is true if the call may be dispatched.
	won           bool
	isInWindow    bool
	hasAllRecords bool
}

// decide makes the final decision on a claim: it wins, or it is abandoned and
// released once it is active. The age of the key and the completeness of its
// records are checked again here, because the claimer may have been paused after
// the first check. wanted is false if the caller no longer waits for the claim.
func (c Commands) decide(id ID, k Key, wanted bool) decision {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.streams[StreamOf(k)]
	st, _ := s.state(k)
	d := decision{state: st, isInWindow: t.Window.Contains(k, time.Now()), hasAllRecords: s.hasAllRecords(k)}
	lc := t.localClaims[id]
	if lc == nil {
		return d
	}
	d.won = wanted && d.isInWindow && d.hasAllRecords && st.isHeldBy(id)
	if d.won {
		delete(t.localClaims, id)
		return d
	}
	lc.isAbandoned = true
	t.releaseIfActive(lc, st)
	return d
}

// popReleases removes and returns the outcome records to append for abandoned
// claims.
func (c Commands) popReleases() []Record {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	releases := t.releases
	t.releases = nil
	return releases
}
