package backend

import (
	"maps"
	"slices"

	"lycheecrank.example/event"
	"lycheecrank.example/lock"
)

// Table holds the views of the backend servers of an instance's data centre.
// Change it through Commands and read it through Queries.
type Table struct {
	// Logger gets the events of servers that turn cold, warm or leave.
	Logger *event.Logger

	mu *lock.Ranked
	// pools holds the views of each pool by name, places where a server's is.
	pools  map[string][]Server
	places map[string]place
}

// place is the pool of a server and its index in it.
type place struct {
	pool  string
	index int
}

// NewTable returns an empty table.
func NewTable(logger *event.Logger) *Table {
	return &Table{
		Logger: logger,
		mu:     lock.New(lock.RankBackend, "backend"),
		pools:  map[string][]Server{},
		places: map[string]place{},
	}
}

// server returns the view of a server. The caller holds the lock.
func (t *Table) server(name string) (Server, bool) {
	p, ok := t.places[name]
	if !ok {
		return Server{}, false
	}
	return t.pools[p.pool][p.index], true
}

// set swaps the view of a known server. The caller holds the lock.
func (t *Table) set(s Server) {
	p := t.places[s.Name]
	t.pools[p.pool][p.index] = s
}

// changeAll swaps all views. The caller holds the lock.
func (t *Table) changeAll(next func(Server) Server) {
	for _, servers := range t.pools {
		for i, s := range servers {
			servers[i] = next(s)
		}
	}
}

// replace makes the table hold exactly some servers. The caller holds the lock.
func (t *Table) replace(servers map[string]Server) {
	t.pools, t.places = map[string][]Server{}, make(map[string]place, len(servers))
	for _, n := range slices.Sorted(maps.Keys(servers)) {
		s := servers[n]
		t.places[n] = place{pool: s.Pool, index: len(t.pools[s.Pool])}
		t.pools[s.Pool] = append(t.pools[s.Pool], s)
	}
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
