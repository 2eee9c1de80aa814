package ownership

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/event"
	"lycheecrank.example/member"
)

// Manager acquires, renews and releases the terms of an instance. Set the exported
// fields before Run.
type Manager struct {
	Table *Table
	// Append adds records to the stream. After an error the records may still
	// have been added, now or later.
	Append func(ctx context.Context, records ...Record) error
	// Pools returns the pools that have backend servers in the data centre of the
	// instance.
	Pools func() []string
	// Candidates returns the instances of the data centre, leaving ones included.
	Candidates func() []member.Instance
	// IsIdle reports whether no call of this instance to a backend server of a
	// pool is running; nil stands for always.
	IsIdle func(pool string) bool
	// Now reads the monotonic clock; nil stands for time.Now.
	Now func() time.Time

	// lastRenewal, lastAcquires and expired are used by Run alone.
	lastRenewal  renewalAttempt
	lastAcquires map[string]time.Time
	expired      bool
	// unreleased holds the removed terms whose release the log has not answered,
	// so that the release is repeated. Otherwise a shutdown that cancels the
	// append would leave their pools without an owner.
	unreleased map[string]ownTerm
}

// renewalAttempt is an attempt to append a renewal.
type renewalAttempt struct {
	sent   time.Time
	failed bool
}

// Run acquires and renews terms until the context ends. It doesn't release them
// at the end; call Release after Run has returned.
func (m *Manager) Run(ctx context.Context) {
	var group errgroup.Group
	// A blocked append must not delay the update of substitutes.
	group.Go(func() error {
		m.repeat(ctx, nil, func(context.Context) { m.updateSubstitutePools() })
		return nil
	})
	group.Go(func() error {
		m.repeat(ctx, m.Table.releaseSignal, m.appendDueRecords)
		return nil
	})
	_ = group.Wait()
}

// repeat calls do at each check, and when wake has an element, until the context
// ends.
func (m *Manager) repeat(ctx context.Context, wake <-chan struct{}, do func(context.Context)) {
	ticker := time.NewTicker(m.Table.timing.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		do(ctx)
	}
}

// Release ends all permissions of the instance, then releases its terms. It
// repeats the release until the log answers or the context has ended.
func (m *Manager) Release(ctx context.Context) error {
	former := mergeOwnTerms(m.unreleased, m.Table.Commands().endPermissions())
	for {
		err := m.release(ctx, former)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(m.Table.timing.RetryDelay):
		}
	}
}

// appendDueRecords appends the records that are due.
func (m *Manager) appendDueRecords(ctx context.Context) {
	pools := m.Pools()
	m.releaseRemovedPools(ctx, pools)
	m.renew(ctx, m.now())
	m.acquire(ctx, pools, m.Candidates())
}

// updateSubstitutePools determines the pools with an unreachable owner for which
// this instance is the next candidate.
func (m *Manager) updateSubstitutePools() {
	pools, candidates := m.Pools(), m.Candidates()
	t := m.Table
	v := t.current.Load()
	var substitutePools map[string]bool
	for _, p := range pools {
		term := v.state.Term(Key{p, t.self.DataCentre})
		if !t.isReachable(term, candidates) && t.candidateRank(term, candidates) == 0 {
			if substitutePools == nil {
				substitutePools = map[string]bool{}
			}
			substitutePools[p] = true
		}
	}
	t.Commands().setSubstitutePools(substitutePools)
}

// releaseRemovedPools releases the terms of pools that were removed from the
// catalogue.
func (m *Manager) releaseRemovedPools(ctx context.Context, pools []string) {
	removed := slices.DeleteFunc(m.Table.current.Load().ownedPools(), func(p string) bool { return slices.Contains(pools, p) })
	if len(removed) > 0 {
		m.unreleased = mergeOwnTerms(m.unreleased, m.Table.Commands().removeOwnTerms(removed))
	}
	if len(m.unreleased) > 0 && m.release(ctx, m.unreleased) == nil {
		m.unreleased = nil
	}
}

// mergeOwnTerms returns the terms of two sets in a new map.
func mergeOwnTerms(a, b map[string]ownTerm) map[string]ownTerm {
	all := make(map[string]ownTerm, len(a)+len(b))
	maps.Copy(all, a)
	maps.Copy(all, b)
	return all
}

func (m *Manager) renew(ctx context.Context, now time.Time) {
	t := m.Table
	v := t.current.Load()
	expired := v.areLeasesExpired(now)
	if expired && !m.expired {
		t.Logger.Write(event.OwnershipLeaseExpired, now.Sub(v.leaseEnd().Add(-t.timing.Lease)))
	}
	m.expired = expired
	if len(v.ownTerms) == 0 || v.closed || now.Before(m.renewalDue(v)) {
		return
	}
	r := t.newRecord(Renew, t.Commands().nextSequence(now))
	for _, p := range v.ownedPools() {
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: v.ownTerms[p].term})
	}
	m.lastRenewal = renewalAttempt{sent: now, failed: m.append(ctx, r) != nil}
}

// renewalDue returns when the next renewal is due. After its lease has expired,
// an owner whose appends take effect but which can't read them back must pause
// its renewals, or no instance could ever dispatch to cold servers of its pools.
func (m *Manager) renewalDue(v *view) time.Time {
	timing := m.Table.timing
	switch {
	case m.lastRenewal.failed && !m.expired:
		return m.lastRenewal.sent.Add(timing.RetryDelay)
	case m.expired && !m.lastRenewal.failed && v.lastReceived.Before(m.lastRenewal.sent):
		return m.lastRenewal.sent.Add(timing.ExpiredRenewalInterval)
	}
	return m.lastRenewal.sent.Add(timing.RenewalInterval)
}

// acquire attempts to acquire the terms that are due for this instance.
func (m *Manager) acquire(ctx context.Context, pools []string, candidates []member.Instance) {
	t := m.Table
	v := t.current.Load()
	now := m.now()
	if v.closed || slices.ContainsFunc(candidates, func(i member.Instance) bool { return i.Name == t.self.Instance && i.IsLeaving }) {
		return
	}
	r := t.newRecord(Acquire, 0)
	r.AppliedOffset = v.state.applied
	for _, p := range pools {
		term := v.state.Term(Key{p, t.self.DataCentre})
		if _, owns := v.ownTerms[p]; owns || !m.isAcquireDue(v, term, candidates, now) {
			continue
		}
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: term.ID, PreviousRenewal: term.LastRenewal})
		m.recordAcquire(p, now)
	}
	if len(r.Terms) == 0 {
		return
	}
	r.Sequence = t.Commands().nextSequence(now)
	// If the append fails, the stream shows whether the acquisition took effect.
	_ = m.append(ctx, r)
}

// isAcquireDue reports whether this instance should attempt to acquire a term
// now.
func (m *Manager) isAcquireDue(v *view, term Term, candidates []member.Instance, now time.Time) bool {
	t := m.Table
	if !v.hasLogContact(now, t.timing.LogTimeout) {
		return false
	}
	due := t.acquirableFrom(v, term)
	if last, ok := m.lastAcquires[term.Key.Pool]; ok && now.Sub(last) < t.timing.AcquireRetryDelay || now.Before(due) {
		return false
	}
	delay := time.Duration(min(t.candidateRank(term, candidates), maxDelayedRank)) * t.timing.RankDelay
	return !now.Before(due.Add(delay))
}

// acquirableFrom returns when the best candidate may acquire a term:
//
//   - If the term may have an owner, after no renewal of the owner was received for
//     Timing.OwnerTimeout. That time counts only while the log answers: during an
//     outage no owner can renew, and afterwards each must have time to do so.
//   - If the term was released or the pool never had an owner, immediately.
//   - If the term was released but this reader has not seen the whole stream, after
//     it has read for Timing.OwnerTimeout, because an owner may not have renewed yet.
func (t *Table) acquirableFrom(v *view, term Term) time.Time {
	lastSeen := v.ownerLastSeen(term.Key)
	switch {
	case !term.Released && !v.wasNeverOwned(term):
		return latest(lastSeen, v.logContactSince).Add(t.timing.OwnerTimeout)
	case v.state.IsComplete():
		return lastSeen
	}
	return latest(lastSeen, v.readingSince.Add(t.timing.OwnerTimeout))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Manager) release(ctx context.Context, former map[string]ownTerm) error {
	if len(former) == 0 {
		return nil
	}
	now := m.now()
	r := m.Table.newRecord(Release, m.Table.Commands().nextSequence(now))
	for p, o := range former {
		drained := !now.Before(o.waitUntil) && (m.IsIdle == nil || m.IsIdle(p))
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: o.term, Drained: drained})
	}
	slices.SortFunc(r.Terms, func(a, b RecordTerm) int { return strings.Compare(a.Pool, b.Pool) })
	return m.append(ctx, r)
}

func (m *Manager) append(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, m.Table.timing.AppendTimeout)
	defer cancel()
	return m.Append(ctx, r)
}

func (m *Manager) recordAcquire(pool string, at time.Time) {
	if m.lastAcquires == nil {
		m.lastAcquires = map[string]time.Time{}
	}
	m.lastAcquires[pool] = at
}

func (m *Manager) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

// newRecord returns a record of this instance without terms.
func (t *Table) newRecord(kind Kind, sequence uint64) Record {
	return Record{
		Kind:        kind,
		Instance:    t.self.Instance,
		Incarnation: t.self.Incarnation,
		DataCentre:  t.self.DataCentre,
		Sequence:    sequence,
	}
}
