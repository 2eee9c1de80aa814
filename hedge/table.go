package hedge

import (
	"maps"
	"time"

	"lycheecrank.example/lock"
)

const (
	// maxTokens bounds the second sends that a calm time allows at once.
	maxTokens = 8.0
	// profileInterval is the number of samples after which the profile is computed again.
	profileInterval = 8
	// maxClasses is the number of classes, pools and routes above which those that were
	// not used for maxAge are dropped. Configurations change the names.
	maxClasses = 256
	// maxLoads is the number of reported loads above which outdated ones are dropped.
	maxLoads = 1024
	// loadAge is the age above which the load that a server reports is ignored.
	loadAge = 500 * time.Millisecond
)

// Table holds the recent response times by class, the state of the pools and the second
// sends that each route may still make. Change it through Commands and read it through
// Queries.
type Table struct {
	share float64

	mu      *lock.Ranked
	classes map[Class]*window
	pools   map[string]*poolState
	tokens  map[string]account
	// queued holds when each server last reported requests in its queue.
	queued map[string]time.Time
}

// window holds the samples of a class, in a ring.
type window struct {
	samples []Sample
	next    int
	profile Profile
}

// poolState holds the latest results of a pool, in a ring, and its last refusal.
type poolState struct {
	results   []Result
	next      int
	refusedAt time.Time
	usedAt    time.Time
}

// account holds the second sends that a route may make.
type account struct {
	tokens float64
	usedAt time.Time
}

// NewTable returns a table without second sends. Each request of a route allows share of
// one.
func NewTable(share float64) *Table {
	return &Table{
		share: share, mu: lock.New(lock.RankCounter, "hedge"),
		classes: map[Class]*window{}, pools: map[string]*poolState{}, tokens: map[string]account{}, queued: map[string]time.Time{},
	}
}

// window returns the samples of a class, which are created if necessary. The caller holds
// the lock.
func (t *Table) window(c Class, now time.Time) *window {
	w, ok := t.classes[c]
	if !ok {
		if len(t.classes) >= maxClasses {
			maps.DeleteFunc(t.classes, func(_ Class, w *window) bool { return now.Sub(w.profile.At) > maxAge })
		}
		w = &window{profile: Profile{At: now}}
		t.classes[c] = w
	}
	return w
}

// pool returns the state of a pool, which is created if necessary. The caller holds the
// lock.
func (t *Table) pool(name string, now time.Time) *poolState {
	p, ok := t.pools[name]
	if !ok {
		if len(t.pools) >= maxClasses {
			maps.DeleteFunc(t.pools, func(_ string, p *poolState) bool { return now.Sub(p.usedAt) > maxAge })
		}
		p = &poolState{}
		t.pools[name] = p
	}
	p.usedAt = now
	return p
}

// Commands returns the commands of the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

// Queries returns the queries of the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
