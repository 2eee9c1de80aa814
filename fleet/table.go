package fleet

import (
	"maps"
	"sync/atomic"

	"lycheecrank.example/lock"
)

// Table holds the listed servers. Readers load it without a lock.
type Table struct {
	mu      *lock.Ranked
	current atomic.Pointer[List]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{mu: lock.New(lock.RankMember, "fleet")}
	t.current.Store(&List{})
	return t
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{t} }

// List is the servers and evacuated data centres at one moment. It is an
// immutable value.
type List struct {
	servers   map[string]Server
	evacuated map[string]bool
}

// WithServer returns the list with a new or changed server.
func (l List) WithServer(s Server) List {
	next := make(map[string]Server, len(l.servers)+1)
	maps.Copy(next, l.servers)
	next[s.ID] = s
	l.servers = next
	return l
}

// WithoutServer returns the list without a server.
func (l List) WithoutServer(id string) List {
	next := maps.Clone(l.servers)
	delete(next, id)
	l.servers = next
	return l
}

// WithEvacuated returns the list after a data centre was evacuated or taken back.
func (l List) WithEvacuated(dataCentre string, isEvacuated bool) List {
	next := make(map[string]bool, len(l.evacuated)+1)
	maps.Copy(next, l.evacuated)
	next[dataCentre] = isEvacuated
	l.evacuated = next
	return l
}
