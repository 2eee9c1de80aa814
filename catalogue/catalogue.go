package catalogue

import (
	"cmp"
	"maps"
	"slices"

	"lycheecrank.example/request"
)

// Catalogue is the state after a number of records. The zero value is the state
// before the first. It is immutable.
type Catalogue struct {
	// Offset of the last applied record.
	Offset uint64
	// Revision is the offset of the last accepted edit.
	Revision uint64
	entries  map[ID]Entry
	// kinds, servers and pools index the entries, since each step of a request
	// and each check of the pools reads them: the entries of a kind by name, the
	// servers of a pool by name, the pools with servers in a data centre.
	kinds   map[Kind][]Entry
	servers map[string][]Entry
	pools   map[string][]string
	judged  []string
}

// maxJudged bounds the memory of judged edits. At 3,200 edits a day it reaches
// back more than a day, longer than anybody retries an append.
const maxJudged = 4096

// Entry returns an entry.
func (c Catalogue) Entry(k Kind, name string) (Entry, bool) {
	e, ok := c.entries[ID{k, name}]
	return e, ok
}

// Entries returns all entries by kind and name.
func (c Catalogue) Entries() []Entry {
	all := make([]Entry, 0, len(c.entries))
	for _, k := range Kinds() {
		all = append(all, c.kinds[k]...)
	}
	return all
}

// OfKind returns all entries of a kind by name. The slice must not be changed.
func (c Catalogue) OfKind(k Kind) []Entry { return c.kinds[k] }

// PoolsIn returns the names of the pools that have servers in a data centre, in
// alphabetical order. The slice must not be changed.
func (c Catalogue) PoolsIn(dataCentre string) []string { return c.pools[dataCentre] }

// Servers returns the backend servers of a pool by name.
func (c Catalogue) Servers(pool string) []Entry { return c.servers[pool] }

// IsTakenOut reports whether operators have taken a data centre out.
func (c Catalogue) IsTakenOut(dataCentre string) bool {
	e, ok := c.Entry(DataCentreKind, dataCentre)
	return ok && e.State == TakenOut
}

// Rank returns the rank of a class.
func (c Catalogue) Rank(class string) (int, bool) {
	e, ok := c.Entry(ClassKind, class)
	return e.Rank, ok
}

// EffectiveClass returns the least privileged of some classes and its rank. It
// passes over empty names and returns request.ReasonUnknownClass for unknown
// ones.
func (c Catalogue) EffectiveClass(classes ...string) (string, int, error) {
	name, rank := "", -1
	for _, s := range classes {
		if s == "" {
			continue
		}
		r, ok := c.Rank(s)
		if !ok {
			return "", 0, request.Refuse(request.ReasonUnknownClass, "class "+s+" is not in the catalogue")
		}
		if r > rank {
			name, rank = s, r
		}
	}
	return name, rank, nil
}

// Serves reports whether an entry of the class lowest serves requests of a rank.
func (c Catalogue) Serves(lowest string, rank int) bool {
	r, ok := c.Rank(lowest)
	return ok && rank <= r
}

// WithEntries returns a catalogue with exactly the given entries, at an offset.
func (c Catalogue) WithEntries(offset uint64, entries map[ID]Entry) Catalogue {
	c.Offset, c.Revision = offset, offset
	c.entries = entries
	c.kinds, c.servers, c.pools = map[Kind][]Entry{}, map[string][]Entry{}, map[string][]string{}
	byName := slices.SortedFunc(maps.Values(entries), func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range byName {
		c.kinds[e.Kind] = append(c.kinds[e.Kind], e)
		if e.Kind == ServerKind {
			c.servers[e.Pool] = append(c.servers[e.Pool], e)
			c.pools[e.DataCentre] = append(c.pools[e.DataCentre], e.Pool)
		}
	}
	for dc, pools := range c.pools {
		slices.Sort(pools)
		c.pools[dc] = slices.Compact(pools)
	}
	return c
}

// WithOffset returns the catalogue after a record that changed nothing.
func (c Catalogue) WithOffset(offset uint64) Catalogue {
	c.Offset = offset
	return c
}

// WithJudged returns the catalogue that remembers a judged edit.
func (c Catalogue) WithJudged(id string) Catalogue {
	judged := append(slices.Clone(c.judged), id)
	if len(judged) > maxJudged {
		judged = judged[len(judged)-maxJudged:]
	}
	c.judged = judged
	return c
}

// Snapshot returns the record that stands for the state of the catalogue.
func (c Catalogue) Snapshot() Snapshot {
	return Snapshot{Through: c.Offset, Revision: c.Revision, Entries: c.Entries(), Judged: slices.Clone(c.judged)}
}
