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
	// unreleased holds the removed leases whose release the log has not answered,
	// so that the release is repeated. Otherwise a shutdown that cancels the
	// append would leave their pools without an owner.
	unreleased map[string]lease
}

// renewalAttempt is an attempt to append a renewal.
type renewalAttempt struct {
	sent   time.Time
	failed bool
}

// Run acquires and renews terms until the context ends. It doesn't release them
// at the end; call Release after Run has returned.
func (k *Manager) Run(ctx context.Context) {
	var group errgroup.Group
	// A blocked append must not delay the update of substitutes.
	group.Go(func() error {
		k.repeat(ctx, nil, func(context.Context) { k.updateSubstitutePools() })
		return nil
	})
	group.Go(func() error {
		k.repeat(ctx, k.Table.releaseSignal, k.step)
		return nil
	})
	_ = group.Wait()
}

// repeat calls do at each check, and when wake has an element, until the context
// ends.
func (k *Manager) repeat(ctx context.Context, wake <-chan struct{}, do func(context.Context)) {
	ticker := time.NewTicker(k.Table.timing.CheckInterval)
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
func (k *Manager) Release(ctx context.Context) error {
	former := mergeLeases(k.unreleased, k.Table.Commands().endPermissions())
	for {
		err := k.release(ctx, former)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(k.Table.timing.RetryDelay):
		}
	}
}

// step appends the records that are due.
func (k *Manager) step(ctx context.Context) {
	pools := k.Pools()
	k.releaseRemovedPools(ctx, pools)
	k.renew(ctx, k.now())
	k.acquire(ctx, pools, k.Candidates())
}

// updateSubstitutePools determines the pools with an unreachable owner for which
// this instance is the next candidate.
func (k *Manager) updateSubstitutePools() {
	pools, candidates := k.Pools(), k.Candidates()
	t := k.Table
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
func (k *Manager) releaseRemovedPools(ctx context.Context, pools []string) {
	removed := slices.DeleteFunc(k.Table.current.Load().leasedPools(), func(p string) bool { return slices.Contains(pools, p) })
	if len(removed) > 0 {
		k.unreleased = mergeLeases(k.unreleased, k.Table.Commands().removeLeases(removed))
	}
	if len(k.unreleased) > 0 && k.release(ctx, k.unreleased) == nil {
		k.unreleased = nil
	}
}

// mergeLeases returns the leases of two sets in a new map.
func mergeLeases(a, b map[string]lease) map[string]lease {
	all := make(map[string]lease, len(a)+len(b))
	maps.Copy(all, a)
	maps.Copy(all, b)
	return all
}

func (k *Manager) renew(ctx context.Context, now time.Time) {
	t := k.Table
	v := t.current.Load()
	expired := v.areLeasesExpired(now)
	if expired && !k.expired {
		t.Logger.Write(event.OwnershipLeaseExpired, now.Sub(v.leaseEnd().Add(-t.timing.Lease)))
	}
	k.expired = expired
	if len(v.leases) == 0 || v.closed || now.Before(k.renewalDue(v)) {
		return
	}
	r := t.newRecord(Renew, t.Commands().nextSequence(now))
	for _, p := range v.leasedPools() {
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: v.leases[p].term})
	}
	k.lastRenewal = renewalAttempt{sent: now, failed: k.append(ctx, r) != nil}
}

// renewalDue returns when the next renewal is due. After its lease has expired,
// an owner whose appends take effect but which can't read them back must pause
// its renewals, or no instance could ever dispatch to cold servers of its pools.
func (k *Manager) renewalDue(v *view) time.Time {
	timing := k.Table.timing
	switch {
	case k.lastRenewal.failed && !k.expired:
		return k.lastRenewal.sent.Add(timing.RetryDelay)
	case k.expired && !k.lastRenewal.failed && v.lastReceived.Before(k.lastRenewal.sent):
		return k.lastRenewal.sent.Add(timing.ExpiredRenewalInterval)
	}
	return k.lastRenewal.sent.Add(timing.RenewalInterval)
}

// acquire attempts to acquire the terms that are due for this instance.
func (k *Manager) acquire(ctx context.Context, pools []string, candidates []member.Instance) {
	t := k.Table
	v := t.current.Load()
	now := k.now()
	if v.closed || slices.ContainsFunc(candidates, func(i member.Instance) bool { return i.Name == t.self.Instance && i.IsLeaving }) {
		return
	}
	r := t.newRecord(Acquire, 0)
	r.AppliedOffset = v.state.applied
	for _, p := range pools {
		term := v.state.Term(Key{p, t.self.DataCentre})
		if _, owns := v.leases[p]; owns || !k.isAcquireDue(v, term, candidates, now) {
			continue
		}
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: term.ID, PreviousRenewal: term.LastRenewal})
		k.recordAcquire(p, now)
	}
	if len(r.Terms) == 0 {
		return
	}
	r.Sequence = t.Commands().nextSequence(now)
	// If the append fails, the stream shows whether the acquisition took effect.
	_ = k.append(ctx, r)
}

// isAcquireDue reports whether this instance should attempt to acquire a term
// now.
func (k *Manager) isAcquireDue(v *view, term Term, candidates []member.Instance, now time.Time) bool {
	t := k.Table
	if !v.hasLogContact(now, t.timing.LogTimeout) {
		return false
	}
	due := t.vacantFrom(v, term)
	if last, ok := k.lastAcquires[term.Key.Pool]; ok && now.Sub(last) < t.timing.AcquireRetryDelay || now.Before(due) {
		return false
	}
	delay := time.Duration(min(t.candidateRank(term, candidates), maxDelayedRank)) * t.timing.RankDelay
	return !now.Before(due.Add(delay))
}

// vacantFrom returns when the best candidate may acquire a term: immediately
// after a release or if the pool never had an owner, otherwise after the owner
// has sent no renewal for Timing.OwnerTimeout. That time counts only while the
// log answers: during an outage no owner can renew, and afterwards each must have
// time to do so. A reader that has not seen the whole stream first reads for
// Timing.OwnerTimeout, because an owner may not have renewed yet.
func (t *Table) vacantFrom(v *view, term Term) time.Time {
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

func (k *Manager) release(ctx context.Context, former map[string]lease) error {
	if len(former) == 0 {
		return nil
	}
	now := k.now()
	r := k.Table.newRecord(Release, k.Table.Commands().nextSequence(now))
	for p, l := range former {
		drained := !now.Before(l.waitUntil) && (k.IsIdle == nil || k.IsIdle(p))
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: l.term, Drained: drained})
	}
	slices.SortFunc(r.Terms, func(a, b RecordTerm) int { return strings.Compare(a.Pool, b.Pool) })
	return k.append(ctx, r)
}

func (k *Manager) append(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, k.Table.timing.AppendTimeout)
	defer cancel()
	return k.Append(ctx, r)
}

func (k *Manager) recordAcquire(pool string, at time.Time) {
	if k.lastAcquires == nil {
		k.lastAcquires = map[string]time.Time{}
	}
	k.lastAcquires[pool] = at
}

func (k *Manager) now() time.Time {
	if k.Now == nil {
		return time.Now()
	}
	return k.Now()
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
