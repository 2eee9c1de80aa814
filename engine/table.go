package engine

import (
	"time"

	"lycheecrank.example/lock"
	"lycheecrank.example/outage"
)

// Table holds the engines by pool.
type Table struct {
	mu    *lock.Ranked
	pools map[string]*pool
	// outages tracks unreachable data centres.
	outages outage.Tracker
}

type pool struct {
	spec Spec
	// servers holds the eligible engines, and others while requests run there.
	servers map[string]Server
	// ids are the IDs of the eligible engines, sorted.
	ids    []string
	remote remoteCache
	speed  poolSpeed
	// shortage is the latest finding that no engine has memory for a request.
	shortage memoryShortage
	// until is when each request has ended at the latest.
	until   map[placement]time.Time
	sweptAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankEngine, "engine"), pools: map[string]*pool{}}
}

// Commands returns the methods that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the methods that read the table.
func (t *Table) Queries() Queries { return Queries{t} }

// serversWithOutages returns the engines of a pool by ID, with those in unreachable
// data centres blocked.
func (t *Table) serversWithOutages(p *pool, now time.Time) []Server {
	servers := p.sortedServers()
	for i, s := range servers {
		if t.outages.IsBlocked(s.DataCentre, now) {
			servers[i] = s.WithBlock(t.outages.BlockedUntil(s.DataCentre))
		}
	}
	return servers
}

func (p *pool) sortedServers() []Server {
	servers := make([]Server, 0, len(p.ids))
	for _, id := range p.ids {
		servers = append(servers, p.servers[id])
	}
	return servers
}
