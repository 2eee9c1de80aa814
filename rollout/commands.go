package rollout

import (
	"maps"
	"slices"
	"time"

	"lycheecrank.example/feed"
)

// Commands changes a table. Concurrent calls are safe. Those about single requests do
// nothing without a table.
type Commands struct{ table *Table }

// SetServers replaces the servers that may get work, by pool.
func (c Commands) SetServers(servers map[string][]Server, now time.Time) {
	t := c.table
	if !t.bounds.IsEnabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Collect(maps.Keys(servers))
	for name := range *t.pools.Load() {
		if _, ok := servers[name]; !ok {
			names = append(names, name)
		}
	}
	t.servers = servers
	next := maps.Clone(*t.pools.Load())
	for _, name := range names {
		p := next[name]
		next[name] = p.withServers(servers[name], t.share(p, now), now)
	}
	t.pools.Store(&next)
}

// ApplyOrder records an order. It replaces an earlier one for its pool. index is the index
// of this place among those that choose servers of the pool independently, places their
// number.
func (c Commands) ApplyOrder(order Order, index, places int, now time.Time) {
	t := c.table
	if !t.bounds.IsEnabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(order.Pool)
	if p.hasOrder && order.Position().Compare(p.order.Position()) <= 0 {
		return
	}
	if p.hasOrder && order.isSameAs(p.order) {
		t.renew(p, order, now)
		return
	}
	p.order, p.hasOrder, p.isWithdrawn, p.knownAt, p.steppedAt = order, true, false, now, now
	p.tokens = t.bounds.startTokens(index, places)
	t.refresh(order.Pool, p, now)
}

// renew records that the order of a pool was written again. It stays the same order: what was
// decided and seen since it was given counts for its new position. The caller holds the lock.
func (t *Table) renew(p pool, order Order, now time.Time) {
	name := order.Pool
	before, after := p.order.Position(), order.Position()
	if p.state.Position() == before {
		p.state = p.state.WithPosition(after)
	}
	if t.ownPosition[name] == before {
		t.ownPosition[name] = after
	}
	for source, e := range t.evidence[name] {
		if e.position() == before {
			e.Era, e.Offset = after.Era, after.Offset
			t.evidence[name][source] = e
		}
	}
	for n, m := range t.marks[name] {
		if m.order == before {
			t.marks[name][n].order = after
		}
	}
	p.order, p.isWithdrawn = order, false
	t.refresh(name, p, now)
}

// WithdrawOrder records that the order of a pool was removed.
func (c Commands) WithdrawOrder(name string, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pool(name); p.hasOrder {
		p.isWithdrawn = true
		t.refresh(name, p, now)
	}
}

// Merge applies states that another instance or the store has. It returns those that are
// new.
func (c Commands) Merge(states []State, now time.Time) []State {
	t := c.table
	if !t.bounds.IsEnabled() || len(states) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []State
	for _, s := range states {
		p := t.pool(s.Pool)
		if s.ElapsedMs > 0 && p.hasOrder && p.order.Position() == s.Position() {
			// An instance that joined late learned of the order later than others.
			if at := now.Add(-time.Duration(s.ElapsedMs) * time.Millisecond); at.Before(p.knownAt) {
				p.knownAt = at
				t.setPool(s.Pool, p)
			}
		}
		s.ElapsedMs = 0
		if p.state.To != "" && !s.isNewer(p.state) {
			continue
		}
		p.state, p.steppedAt = s, now
		t.refresh(s.Pool, p, now)
		changed = append(changed, s)
	}
	return changed
}

// SetElapsed corrects the time of an order that this instance learned late: at least so
// much time has passed since.
func (c Commands) SetElapsed(name string, order feed.Position, elapsed time.Duration, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pool(name); p.hasOrder && p.order.Position() == order && now.Sub(p.knownAt) < elapsed {
		p.knownAt = now.Add(-elapsed)
		t.setPool(name, p)
	}
}

// Confirm records that the phases are those of the leader or the store at a time.
func (c Commands) Confirm(at time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
		t.confirmed.Store(&at)
	}
}

// Admit counts a request of a pool, and reports whether it is to go to the new version.
// Requests that are sent again go to the old one, and aren't counted.
func (c Commands) Admit(name string, now time.Time) bool {
	t := c.table
	if t == nil || t.pool(name).phase() != Running {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(name)
	isTrial := false
	p.tokens, isTrial = p.tokens.withRequest(t.share(p, now))
	if isTrial && (len(p.trial) == 0 || !t.isConfirmed(now)) {
		p.tokens, isTrial = p.tokens+1, false
	}
	t.setPool(name, p)
	return isTrial
}

// Refund takes back an admission: no server of the new version could take the request.
func (c Commands) Refund(name string) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pool(name); p.phase() == Running {
		p.tokens++
		t.setPool(name, p)
	}
}

// Record adds a response to the evidence, while its pool has a rollout in progress.
func (c Commands) Record(response Response) {
	t := c.table
	if t == nil || !t.pool(response.Pool).isInProgress() {
		return
	}
	if isBad := t.record(response); isBad {
		t.OnBad()
	}
}

// record reports whether the response is a bad one of the new version.
func (t *Table) record(response Response) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(response.Pool)
	if !p.isInProgress() || !p.isCurrent() {
		return false
	}
	if t.ownPosition[response.Pool] != p.order.Position() || t.own[response.Pool] == nil {
		t.own[response.Pool], t.ownPosition[response.Pool] = map[rowKey]Row{}, p.order.Position()
	}
	if response.Version == "" {
		response.Version = p.versions[response.Server]
	}
	key := rowKey{route: response.Route}
	if response.Version == p.order.To {
		key.server = response.Server
	}
	row := t.own[response.Pool][key]
	row.Route, row.Server = key.route, key.server
	t.own[response.Pool][key] = row.withResponse(response)
	return key.server != "" && response.IsBad
}

// AddEvidence adds the evidence of other instances. It reports whether they have more bad
// responses of a new version than before.
func (c Commands) AddEvidence(evidence []Evidence) bool {
	if len(evidence) == 0 || !c.table.bounds.IsEnabled() {
		return false
	}
	hasNewBad := false
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range evidence {
		bySource := t.evidence[e.Pool]
		if bySource == nil {
			bySource = map[string]Evidence{}
			t.evidence[e.Pool] = bySource
		}
		old := bySource[e.Source]
		// Messages may arrive out of order; counts only grow.
		order := e.position().Compare(old.position())
		if order > 0 || order == 0 && e.count() > old.count() {
			hasNewBad = hasNewBad || e.bad() > 0 && (order != 0 || e.bad() > old.bad())
			bySource[e.Source] = e
		}
	}
	return hasNewBad
}

// Start starts the order of a pool, and returns its first state without applying it.
func (c Commands) Start(name string, now time.Time) (State, bool) {
	p := c.table.pool(name)
	if !p.hasOrder || p.isCurrent() || p.isOutdated() {
		return State{}, false
	}
	current := p.current()
	state := start(p.order, p.state, current, now)
	if p.isWithdrawn {
		return state.WithPhase(RolledBack, "order withdrawn"), true
	}
	if current == p.order.To {
		state = state.WithPhase(Succeeded, "the pool already has this version")
	}
	return state, true
}

const (
	// markInterval is the time between two marks, windowMarks the number of marks that are
	// kept. The windows reach back by one, two and four marks.
	markInterval = 1500 * time.Millisecond
	windowMarks  = 4
)

// Decide returns the next state of a rollout in progress without applying it, and what the
// decision depends on. It reports false if the state stays.
func (c Commands) Decide(name string, isRoute func(string) bool, now time.Time) (State, Input, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(name)
	if !p.isCurrent() || p.state.Phase.IsFinal() {
		return State{}, Input{}, false
	}
	totals := t.totals(name, p, isRoute)
	marks := slices.DeleteFunc(t.marks[name], func(m mark) bool { return m.order != p.order.Position() })
	input := Input{
		State: p.state, Elapsed: now.Sub(p.knownAt), IsWithdrawn: p.isWithdrawn, Listed: p.listed,
		Totals: totals, SinceStep: now.Sub(p.steppedAt),
	}
	for _, back := range []int{2, windowMarks} {
		if len(marks) >= back {
			input.Windows = append(input.Windows, totals.since(marks[len(marks)-back].totals))
		}
	}
	if len(marks) == 0 || now.Sub(marks[len(marks)-1].at) >= markInterval {
		marks = append(marks, mark{at: now, order: p.order.Position(), totals: totals})
		marks = marks[max(0, len(marks)-windowMarks):]
	}
	t.marks[name] = marks
	next := t.bounds.Decide(input)
	return next, input, next.isNewer(p.state)
}

// totals returns the evidence of all instances for the order of a pool. The caller holds
// the lock.
func (t *Table) totals(name string, p pool, isRoute func(string) bool) Totals {
	var sources []Evidence
	for source, e := range t.evidence[name] {
		if e.position() == p.order.Position() && source != t.source {
			sources = append(sources, e)
		}
	}
	if own, ok := t.ownEvidence(name, p); ok {
		sources = append(sources, own)
	}
	return total(sources, isRoute)
}

// ownEvidence returns the evidence of this process for the order of a pool. The caller
// holds the lock.
func (t *Table) ownEvidence(name string, p pool) (Evidence, bool) {
	if t.ownPosition[name] != p.order.Position() || len(t.own[name]) == 0 {
		return Evidence{}, false
	}
	rows := slices.Collect(maps.Values(t.own[name]))
	return Evidence{Pool: name, Era: p.order.Era, Offset: p.order.Offset, Source: t.source, Rows: rows}, true
}
