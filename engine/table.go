package engine

import (
	"maps"
	"slices"

	"lycheecrank.example/lock"
)

// Table holds the engines by pool.
type Table struct {
	mu    *lock.Ranked
	pools map[string]*pool
}

type pool struct {
	spec    Spec
	servers map[string]Server
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankEngine, "engine"), pools: map[string]*pool{}}
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{t} }

func (p *pool) sorted() []Server {
	servers := make([]Server, 0, len(p.servers))
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		servers = append(servers, p.servers[id])
	}
	return servers
}
