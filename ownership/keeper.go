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

// Keeper renews the terms of an instance, takes terms over and releases them.
// Set the exported fields before Run.
type Keeper struct {
	Table *Table
	// Append adds records to the stream. After an error they may have been added
	// all the same, now or later.
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

	// renewal and taken are used by Run alone.
	renewal renewal
	taken   map[string]time.Time
	lapsed  bool
	// givenUp holds the terms whose release has not been answered. Without it
	// a stop that cancels the append would leave their pools without an owner.
	givenUp map[string]lease
}

// renewal is the last attempt at a renewal.
type renewal struct {
	sent   time.Time
	failed bool
}

// Run renews and takes over until the context ends. It releases nothing; call
// Release after Run has returned.
func (k *Keeper) Run(ctx context.Context) {
	var group errgroup.Group
	// An append that hangs must not delay the change of stand-ins.
	group.Go(func() error {
		k.repeat(ctx, nil, func(context.Context) { k.standIn() })
		return nil
	})
	group.Go(func() error {
		k.repeat(ctx, k.Table.released, k.step)
		return nil
	})
	_ = group.Wait()
}

// repeat calls do at each check, and when wake has an element, until the context
// ends.
func (k *Keeper) repeat(ctx context.Context, wake <-chan struct{}, do func(context.Context)) {
	ticker := time.NewTicker(k.Table.timing.Check)
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

// Release ends all rights of the instance, then releases its terms. It repeats
// the release until it is answered or the context has ended.
func (k *Keeper) Release(ctx context.Context) error {
	former := withLeases(k.givenUp, k.Table.Commands().leave())
	for {
		err := k.release(ctx, former)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(k.Table.timing.Retry):
		}
	}
}

// step appends what is due now.
func (k *Keeper) step(ctx context.Context) {
	pools := k.Pools()
	k.drop(ctx, pools)
	k.renew(ctx, k.now())
	k.take(ctx, pools, k.Candidates())
}

// standIn notes for which unreachable owners this instance is the next candidate.
func (k *Keeper) standIn() {
	pools, candidates := k.Pools(), k.Candidates()
	t := k.Table
	v := t.current.Load()
	var standIns map[string]bool
	for _, p := range pools {
		term := v.state.Term(Key{p, t.self.DataCentre})
		if !t.isReachable(term, candidates) && t.rank(term, candidates) == 0 {
			if standIns == nil {
				standIns = map[string]bool{}
			}
			standIns[p] = true
		}
	}
	t.Commands().serveFor(standIns)
}

// drop releases terms of pools that have gone from the catalogue.
func (k *Keeper) drop(ctx context.Context, pools []string) {
	gone := slices.DeleteFunc(k.Table.current.Load().ownPools(), func(p string) bool { return slices.Contains(pools, p) })
	if len(gone) > 0 {
		k.givenUp = withLeases(k.givenUp, k.Table.Commands().giveUp(gone))
	}
	if len(k.givenUp) > 0 && k.release(ctx, k.givenUp) == nil {
		k.givenUp = nil
	}
}

// withLeases returns the leases of two sets in a new one.
func withLeases(a, b map[string]lease) map[string]lease {
	all := make(map[string]lease, len(a)+len(b))
	maps.Copy(all, a)
	maps.Copy(all, b)
	return all
}

func (k *Keeper) renew(ctx context.Context, now time.Time) {
	t := k.Table
	v := t.current.Load()
	lapsed := v.isLapsed(now)
	if lapsed && !k.lapsed {
		t.Logger.Write(event.LeaseExpired, now.Sub(v.leaseEnd().Add(-t.timing.Lease)))
	}
	k.lapsed = lapsed
	if len(v.own) == 0 || v.left || now.Before(k.renewalDue(v)) {
		return
	}
	r := t.record(Renew, t.Commands().begin(now))
	for _, p := range v.ownPools() {
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: v.own[p].term})
	}
	k.renewal = renewal{sent: now, failed: k.append(ctx, r) != nil}
}

// renewalDue returns when the next renewal is due. After the lease has ended an
// owner whose appends take effect but which can't read them back must fall
// silent, or no instance could ever dispatch to cold servers of its pools.
func (k *Keeper) renewalDue(v *view) time.Time {
	timing := k.Table.timing
	switch {
	case k.renewal.failed && !k.lapsed:
		return k.renewal.sent.Add(timing.Retry)
	case k.lapsed && !k.renewal.failed && v.progress.Before(k.renewal.sent):
		return k.renewal.sent.Add(timing.LapsedRenewal)
	}
	return k.renewal.sent.Add(timing.Renewal)
}

// take attempts to take the terms that are due for this instance.
func (k *Keeper) take(ctx context.Context, pools []string, candidates []member.Instance) {
	t := k.Table
	v := t.current.Load()
	now := k.now()
	if v.left || slices.ContainsFunc(candidates, func(i member.Instance) bool { return i.Name == t.self.Instance && i.Leaving }) {
		return
	}
	r := t.record(Take, 0)
	r.Through = v.state.applied
	for _, p := range pools {
		term := v.state.Term(Key{p, t.self.DataCentre})
		if _, owns := v.own[p]; owns || !k.isDue(v, term, candidates, now) {
			continue
		}
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: term.ID, PreviousRenewal: term.Renewal})
		k.noteTake(p, now)
	}
	if len(r.Terms) == 0 {
		return
	}
	r.Sequence = t.Commands().begin(now)
	// A take whose answer is lost is settled by reading the stream.
	_ = k.append(ctx, r)
}

// isDue reports whether this instance should attempt to take a term now.
func (k *Keeper) isDue(v *view, term Term, candidates []member.Instance, now time.Time) bool {
	t := k.Table
	if !v.hearsLog(now, t.timing.ContactGap) {
		return false
	}
	due := t.vacantFrom(v, term)
	if last, ok := k.taken[term.Key.Pool]; ok && now.Sub(last) < t.timing.TakeRetry || now.Before(due) {
		return false
	}
	delay := time.Duration(min(t.rank(term, candidates), maxRank)) * t.timing.RankDelay
	return !now.Before(due.Add(delay))
}

// vacantFrom returns when the first candidate may take a term: at once after a
// release or if the pool never had an owner, else after the owner's silence,
// which counts only while the log answers: after an outage every owner was
// silent, and must have the time to renew. A
// reader that has not seen the whole stream listens that long before it takes
// anything, since an owner may not have renewed yet.
func (t *Table) vacantFrom(v *view, term Term) time.Time {
	sign := v.lastSign(term.Key)
	switch {
	case !term.Released && !v.isNew(term):
		return latest(sign, v.listening).Add(t.timing.Silence)
	case v.state.IsWhole():
		return sign
	}
	return latest(sign, v.since.Add(t.timing.Silence))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (k *Keeper) release(ctx context.Context, former map[string]lease) error {
	if len(former) == 0 {
		return nil
	}
	now := k.now()
	r := k.Table.record(Release, k.Table.Commands().begin(now))
	for p, l := range former {
		settled := !now.Before(l.from) && (k.IsIdle == nil || k.IsIdle(p))
		r.Terms = append(r.Terms, RecordTerm{Pool: p, Term: l.term, Settled: settled})
	}
	slices.SortFunc(r.Terms, func(a, b RecordTerm) int { return strings.Compare(a.Pool, b.Pool) })
	return k.append(ctx, r)
}

func (k *Keeper) append(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, k.Table.timing.AppendLimit)
	defer cancel()
	return k.Append(ctx, r)
}

func (k *Keeper) noteTake(pool string, at time.Time) {
	if k.taken == nil {
		k.taken = map[string]time.Time{}
	}
	k.taken[pool] = at
}

func (k *Keeper) now() time.Time {
	if k.Now == nil {
		return time.Now()
	}
	return k.Now()
}

// record returns a record of this instance without terms.
func (t *Table) record(kind Kind, sequence uint64) Record {
	return Record{
		Kind:        kind,
		Instance:    t.self.Instance,
		Incarnation: t.self.Incarnation,
		DataCentre:  t.self.DataCentre,
		Sequence:    sequence,
	}
}
