package backend

import (
	"maps"
	"slices"

	"lycheecrank.example/event"
	"lycheecrank.example/lock"
)

// Table holds the views of the backend servers in the data centre of an instance.
// Change it through Commands and read it through Queries.
type Table struct {
	// Logger receives an event when a server turns cold, turns warm or starts
	// leaving.
	Logger *event.Logger

	mu *lock.Ranked
	// pools holds the views of the servers of each pool, ordered by name.
	pools map[string][]Server
	// positions holds the position of each server in pools by the server's name.
	positions map[string]position
}

// position is the pool of a server and its index in that pool.
type position struct {
	pool  string
	index int
}

// NewTable returns an empty table.
func NewTable(logger *event.Logger) *Table {
	return &Table{
		Logger:    logger,
		mu:        lock.New(lock.RankBackend, "backend"),
		pools:     map[string][]Server{},
		positions: map[string]position{},
	}
}

// server returns the view of a server. The caller holds the lock.
func (t *Table) server(name string) (Server, bool) {
	p, ok := t.positions[name]
	if !ok {
		return Server{}, false
	}
	return t.pools[p.pool][p.index], true
}

// setServer replaces the view of a known server. The caller holds the lock.
func (t *Table) setServer(s Server) {
	p := t.positions[s.Name]
	t.pools[p.pool][p.index] = s
}

// updateAll replaces all views. The caller holds the lock.
func (t *Table) updateAll(next func(Server) Server) {
	for _, servers := range t.pools {
		for i, s := range servers {
			servers[i] = next(s)
		}
	}
}

// replaceAll replaces the servers of the table. The caller holds the lock.
func (t *Table) replaceAll(servers map[string]Server) {
	t.pools, t.positions = map[string][]Server{}, make(map[string]position, len(servers))
	for _, n := range slices.Sorted(maps.Keys(servers)) {
		s := servers[n]
		t.positions[n] = position{pool: s.Pool, index: len(t.pools[s.Pool])}
		t.pools[s.Pool] = append(t.pools[s.Pool], s)
	}
}

// Commands returns the commands of the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

// Queries returns the queries of the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
