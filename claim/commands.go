package claim

import (
	"time"

	"github.com/rotisserie/eris"
)

// Commands changes a table. Concurrent calls are safe; calls for one stream
// must come in the order of the stream.
type Commands struct {
	table *Table
}

// Commands returns the commands of the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Begin says that the records of a stream from an offset on will be applied
// next. Earlier records that were not applied are gone; since is the time of
// the append of the earliest record retained, or the present if none is.
// Begin must precede the first Apply of a stream and follow ErrExpired of the
// log. It returns ErrUnknownStream.
func (c Commands) Begin(name string, from uint64, since time.Time) error {
	n, ok := streamNumber(name)
	if !ok {
		return eris.Wrap(ErrUnknownStream, name)
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.streams[n]
	s.begun = true
	s.raiseSince(t.Window.horizon(time.Now()))
	if from <= s.through+1 {
		return nil
	}
	s.through = from - 1
	// A lost record from just before since can be of a key whose time was ahead
	// of the claimer's clock, which can be ahead of the log's.
	s.raiseSince(since.Add(t.Window.Ahead + skewAllowance))
	return nil
}

// Apply applies records of a stream, the first of which has the given offset.
// Records that were applied already are passed over. It returns ErrGap if
// records are missing before the first one, and ErrUnknownStream.
func (c Commands) Apply(name string, offset uint64, records []Record) error {
	n, ok := streamNumber(name)
	if !ok {
		return eris.Wrap(ErrUnknownStream, name)
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.streams[n]
	if !s.begun || offset > s.through+1 {
		return eris.Wrapf(ErrGap, "%s: offset %d after %d", name, offset, s.through)
	}
	for i, r := range records {
		if o := offset + uint64(i); o > s.through {
			s.through = o
			t.apply(n, o, r)
		}
	}
	return nil
}

func (t *Table) apply(n int, offset uint64, r Record) {
	if r.Kind == 0 || StreamOf(r.Key) != n {
		return
	}
	s := &t.streams[n]
	if w, ok := t.watches[r.Claim]; ok {
		t.advance(w, r)
	}
	before, known := s.state(r.Key)
	if !known && !s.isComplete(r.Key) {
		return // the key is refused anyway and would only take memory
	}
	after := before.WithRecord(offset, r)
	s.swap(r.Key, after)
	if before.result == nil && after.result != nil {
		t.keepResult(r.Key, len(after.result.Output))
	}
	if c, ok := after.Standing(); ok {
		t.withdraw(t.watches[c.ID], after)
	}
}

// advance follows a claim of this process.
func (t *Table) advance(w *watch, r Record) {
	switch {
	case r.Kind == KindOutcome:
		delete(t.watches, r.Claim)
	case !w.isApplied:
		w.isApplied = true
		close(w.applied)
	}
}

// withdraw gives an abandoned claim back as soon as it stands: only then is
// its outcome valid.
func (t *Table) withdraw(w *watch, st State) {
	if w == nil || !w.abandoned || w.withdrawn || !st.isHeldBy(w.record.Claim) {
		return
	}
	w.withdrawn = true
	t.withdrawals = append(t.withdrawals, withdrawal(w.record))
	select {
	case t.withdrawn <- struct{}{}:
	default:
	}
}

// keepResult counts a stored result and drops the oldest ones over the limit.
func (t *Table) keepResult(k Key, size int) {
	if size == 0 {
		return
	}
	limit := t.ResultLimit
	if limit == 0 {
		limit = defaultResultLimit
	}
	t.results = append(t.results, k)
	t.resultBytes += size
	for t.resultBytes > limit {
		oldest := t.results[0]
		t.results = t.results[1:]
		s := &t.streams[StreamOf(oldest)]
		if st, ok := s.state(oldest); ok {
			t.resultBytes -= len(st.Result().Output)
			s.swap(oldest, st.WithoutOutput())
		}
	}
}

// Expire forgets the keys that are past the window at a time. They stay
// refused even if the clock is set back later.
func (c Commands) Expire(now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	horizon := t.Window.horizon(now).Truncate(time.Minute)
	for n := range t.streams {
		s := &t.streams[n]
		s.raiseSince(horizon)
		for m, states := range s.minutes {
			if m >= minuteOf(horizon) {
				continue
			}
			for _, st := range states {
				t.resultBytes -= len(st.Result().Output)
			}
			delete(s.minutes, m)
		}
	}
	t.results = t.heldResults()
	for id, w := range t.watches {
		if w.abandoned && w.record.Key.Time().Before(horizon) {
			delete(t.watches, id)
		}
	}
}

// heldResults returns the keys of results that have not expired.
func (t *Table) heldResults() []Key {
	held := make([]Key, 0, len(t.results))
	for _, k := range t.results {
		if _, ok := t.streams[StreamOf(k)].state(k); ok {
			held = append(held, k)
		}
	}
	return held
}

// watch follows a claim that is about to be appended. The channel is closed
// once the claim was applied.
func (c Commands) watch(r Record) <-chan struct{} {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &watch{record: r, applied: make(chan struct{})}
	t.watches[r.Claim] = w
	return w.applied
}

// unwatch forgets a claim that will never be in the log.
func (c Commands) unwatch(id ID) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.watches, id)
}

// verdict is what became of a claim.
type verdict struct {
	state State
	// won is the right to dispatch once.
	won      bool
	inWindow bool
	complete bool
}

// decide settles a claim for good: either it has won, or it is abandoned and
// is given back when it stands. The age of the key and the completeness of the
// view are judged at this moment, since the claimer may have been paused since
// it judged them first. wanted is false if the caller has gone.
func (c Commands) decide(id ID, k Key, wanted bool) verdict {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.streams[StreamOf(k)]
	st, _ := s.state(k)
	v := verdict{state: st, inWindow: t.Window.Holds(k, time.Now()), complete: s.isComplete(k)}
	w := t.watches[id]
	if w == nil {
		return v
	}
	v.won = wanted && v.inWindow && v.complete && st.isHeldBy(id)
	if v.won {
		delete(t.watches, id)
		return v
	}
	w.abandoned = true
	t.withdraw(w, st)
	return v
}

// takeWithdrawals returns the outcomes to append for abandoned claims and
// empties the list.
func (c Commands) takeWithdrawals() []Record {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.withdrawals
	t.withdrawals = nil
	return taken
}
