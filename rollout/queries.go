package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Queries reads a table. Concurrent calls are safe. Those about servers allow all servers
// without a table.
type Queries struct{ table *Table }

// IsEnabled reports whether rollouts are expected.
func (q Queries) IsEnabled() bool { return q.table.bounds.IsEnabled() }

// Lane tells which version a request is for, as far as the phase leaves a choice.
type Lane int

// Lanes of a request.
const (
	// Usual: the version that gets the bulk of the requests.
	Usual Lane = iota
	// Trial: the new version. Admit gives requests to it.
	Trial
	// Repeated: the old version, because the request has failed at the new one.
	Repeated
)

// LaneAfter returns the lane of a request that has failed at some servers.
func (q Queries) LaneAfter(name string, failed []string, now time.Time) Lane {
	p, ok := q.table.restricted(name, now)
	if ok && p.hasOrder && slices.ContainsFunc(failed, func(id string) bool { return p.versions[id] == p.order.To }) {
		return Repeated
	}
	return Usual
}

// Selection returns a function that reports whether a server may get a request of a lane, or
// nil if all servers of the pool may.
func (q Queries) Selection(name string, lane Lane, now time.Time) func(id string) bool {
	t := q.table
	p, ok := t.restricted(name, now)
	if !ok {
		return nil
	}
	isConfirmed := t.isConfirmed(now)
	isTrial := lane == Trial && p.phase() == Running && isConfirmed
	isRepeated := lane == Repeated && p.phase() == Shifted
	uses := make(map[string]use, len(p.firstSeen))
	for version := range p.firstSeen {
		uses[version] = p.useOf(version, isConfirmed, now)
	}
	return func(id string) bool {
		version, isKnown := p.versions[id]
		switch {
		case !isKnown:
			return false
		case isTrial:
			return p.trial[id]
		case isRepeated:
			return p.isStillUsed(version, now)
		}
		return uses[version] == allRequests
	}
}

// MaySend reports whether a server of a version may get any request now. Callers check this
// right before a send, because the phase may have changed since the server was chosen.
func (q Queries) MaySend(name, version string, now time.Time) bool {
	t := q.table
	p, ok := t.restricted(name, now)
	if !ok {
		return true
	}
	if p.phase() == Shifted && version != p.order.To {
		// Requests that were placed before the shift go on.
		return p.isStillUsed(version, now)
	}
	return p.useOf(version, t.isConfirmed(now), now) != noRequests
}

// IsReplaced reports whether a version was replaced by a rollout that has succeeded.
func (q Queries) IsReplaced(name, version string) bool {
	if q.table == nil {
		return false
	}
	p := q.table.pool(name)
	return p.phase() == Succeeded && version != p.order.To && p.listed > 0
}

// Serves reports whether the servers of a version get the bulk of the requests.
func (q Queries) Serves(name, version string, now time.Time) bool {
	t := q.table
	p, ok := t.restricted(name, now)
	if !ok {
		return true
	}
	return p.useOf(version, t.isConfirmed(now), now) == allRequests
}

// IsTrial reports whether a server of the new version gets the share.
func (q Queries) IsTrial(name, id string, now time.Time) bool {
	p, ok := q.table.restricted(name, now)
	return ok && p.phase() == Running && q.table.isConfirmed(now) && p.trial[id]
}

// InProgress returns the pools with a rollout in progress, sorted.
func (q Queries) InProgress() []string {
	var names []string
	for name, p := range *q.table.pools.Load() {
		if p.isInProgress() || p.isCurrent() && p.isWithdrawn && !p.state.Phase.IsFinal() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// UntilDue returns the time until the next time of the schedule of a rollout in progress, or
// the given time if there is none before.
func (q Queries) UntilDue(limit time.Duration, now time.Time) time.Duration {
	for _, name := range q.InProgress() {
		p := q.table.pool(name)
		schedule, elapsed := q.table.bounds.Schedule(p.order.Duration), now.Sub(p.knownAt)
		for _, at := range []time.Duration{schedule.ShiftAt, schedule.SucceedAt, schedule.Deadline} {
			if at > elapsed {
				limit = min(limit, at-elapsed)
			}
		}
	}
	return limit
}

// IsTried reports whether a version was ordered and hasn't succeeded.
func (q Queries) IsTried(name, version string) bool {
	if q.table == nil {
		return false
	}
	p := q.table.pool(name)
	return p.hasOrder && !p.isOutdated() && version == p.order.To && p.phase() != Succeeded
}

// States returns the states by pool, those of finished rollouts only if all is set.
func (q Queries) States(all bool, now time.Time) []State {
	var states []State
	for _, p := range *q.table.pools.Load() {
		if p.state.To == "" || !all && p.state.Phase.IsFinal() && now.Sub(p.steppedAt) > announceTime {
			continue
		}
		s := p.state
		if p.isCurrent() && !s.Phase.IsFinal() {
			s.ElapsedMs = now.Sub(p.knownAt).Milliseconds()
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Pool, b.Pool) })
	return states
}

// announceTime is how long a final state is sent with each message.
const announceTime = 3 * time.Second

// State returns the state of a pool.
func (q Queries) State(name string) State { return q.table.pool(name).state }

// Order returns the order of a pool, or false if there is none.
func (q Queries) Order(name string) (Order, bool) {
	p := q.table.pool(name)
	return p.order, p.hasOrder && !p.isWithdrawn
}

// Evidence returns the evidence of this process for the rollouts in progress.
func (q Queries) Evidence() []Evidence {
	t := q.table
	if len(q.InProgress()) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var evidence []Evidence
	for _, name := range slices.Sorted(maps.Keys(*t.pools.Load())) {
		p := t.pool(name)
		if e, ok := t.ownEvidence(name, p); ok && p.isInProgress() {
			evidence = append(evidence, e)
		}
	}
	return evidence
}

// ConfirmedAge returns the time since the phases were last confirmed.
func (q Queries) ConfirmedAge(now time.Time) time.Duration { return now.Sub(*q.table.confirmed.Load()) }

// Status is the state of a rollout for operators.
type Status struct {
	Pool      string  `json:"pool"`
	To        string  `json:"to"`
	Phase     string  `json:"phase"`
	Share     float64 `json:"share"`
	ElapsedMs int64   `json:"elapsedMs"`
	Listed    int     `json:"listed"`
	Trial     int     `json:"trial"`
	Reason    string  `json:"reason"`
	// Responses and Bad count the responses of the new version that this instance knows
	// of, OldResponses and OldBad those of the old one.
	Responses    int64 `json:"responses"`
	Bad          int64 `json:"bad"`
	OldResponses int64 `json:"oldResponses"`
	OldBad       int64 `json:"oldBad"`
}

// Statuses returns the rollouts by pool.
func (q Queries) Statuses(now time.Time) []Status {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := []Status{}
	for _, name := range slices.Sorted(maps.Keys(*t.pools.Load())) {
		p := t.pool(name)
		if !p.hasOrder {
			continue
		}
		totals := t.totals(name, p, nil)
		fresh, old := sum(totals.fresh("")), totals.old("")
		status := Status{
			Pool: name, To: p.order.To, Phase: p.phase().String(), Share: t.share(p, now), ElapsedMs: now.Sub(p.knownAt).Milliseconds(),
			Listed: p.listed, Trial: len(p.trial), Responses: fresh.Count, Bad: fresh.Bad, OldResponses: old.Count, OldBad: old.Bad,
		}
		if p.isCurrent() {
			status.Reason = p.state.Reason
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Counts returns the responses and bad responses of the new and the old version.
func (i Input) Counts() (responses, bad, oldResponses, oldBad int64) {
	fresh, old := sum(i.Totals.fresh("")), i.Totals.old("")
	return fresh.Count, fresh.Bad, old.Count, old.Bad
}
