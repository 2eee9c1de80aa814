package rollout

import (
	"maps"
	"sync/atomic"
	"time"

	"lycheecrank.example/feed"
	"lycheecrank.example/lock"
)

// Table holds the orders, the states of the rollouts and the evidence. Queries about
// servers take no lock.
type Table struct {
	bounds Bounds
	// source names this process in evidence.
	source string
	// OnBad is called after a bad response of a new version, without a lock. Set it
	// before the first use.
	OnBad func()

	mu      *lock.Ranked
	pools   atomic.Pointer[map[string]pool]
	servers map[string][]Server
	// evidence holds the evidence for the current order of each pool, by pool and source.
	evidence map[string]map[string]Evidence
	// own holds the rows of this process by pool, for the order at ownPosition.
	own         map[string]map[rowKey]Row
	ownPosition map[string]feed.Position
	// marks holds earlier totals by pool, for windows.
	marks map[string][]mark
	// confirmedAt is the time for which the phases are confirmed.
	confirmedAt time.Time
	confirmed   atomic.Pointer[time.Time]
}

// mark holds the totals of one time.
type mark struct {
	at     time.Time
	order  feed.Position
	totals Totals
}

// NewTable returns a table without orders. source names the process.
func NewTable(bounds Bounds, source string) *Table {
	t := &Table{
		bounds: bounds, source: source, mu: lock.New(lock.RankRollout, "rollout"),
		OnBad:   func() {},
		servers: map[string][]Server{}, evidence: map[string]map[string]Evidence{},
		own: map[string]map[rowKey]Row{}, ownPosition: map[string]feed.Position{}, marks: map[string][]mark{},
	}
	t.pools.Store(&map[string]pool{})
	t.confirmed.Store(&time.Time{})
	return t
}

// Commands returns the commands that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the queries that read the table.
func (t *Table) Queries() Queries { return Queries{t} }

func (t *Table) pool(name string) pool { return (*t.pools.Load())[name] }

// restricted returns a pool of which some servers don't get all requests.
func (t *Table) restricted(name string, now time.Time) (pool, bool) {
	if t == nil {
		return pool{}, false
	}
	p, ok := (*t.pools.Load())[name]
	return p, ok && !p.isUnrestricted(now)
}

// setPool replaces a pool. The caller holds the lock.
func (t *Table) setPool(name string, p pool) {
	next := maps.Clone(*t.pools.Load())
	next[name] = p
	t.pools.Store(&next)
}

// share returns the share of a pool now.
func (t *Table) share(p pool, now time.Time) float64 {
	if p.phase() != Running {
		return 0
	}
	return t.bounds.Share(p.state, now.Sub(p.knownAt))
}

// refresh chooses the servers that get the share anew. The caller holds the lock.
func (t *Table) refresh(name string, p pool, now time.Time) {
	t.setPool(name, p.withServers(t.servers[name], t.share(p, now), now))
}

func (t *Table) isConfirmed(now time.Time) bool {
	return now.Sub(*t.confirmed.Load()) < confirmationAge
}
