package catalogue

import (
	"cmp"
	"maps"
	"slices"

	"lycheecrank.example/request"
)

// Catalogue is the state after all records up to Offset. The zero value is the
// state before the first record. It is immutable.
type Catalogue struct {
	// Offset of the last applied record.
	Offset uint64
	// Revision is the offset of the last accepted edit.
	Revision uint64
	entries  map[ID]Entry
	// entriesByKind, serversByPool and poolsByDataCentre are indexes of entries,
	// each sorted by name. They are read for each step of a request and for each
	// check of the pools, so they are built once per catalogue.
	entriesByKind     map[Kind][]Entry
	serversByPool     map[string][]Entry
	poolsByDataCentre map[string][]string
	// judgedEdits holds the identifiers of edits that have a verdict, oldest first.
	judgedEdits []string
}

// maxJudgedEdits bounds how many identifiers of edits with a verdict are kept to
// detect repeated edits. At 3,200 edits a day they cover more than a day, which is
// longer than any client retries an append.
const maxJudgedEdits = 4096

// Entry returns the entry of a kind and name, and whether it exists.
func (c Catalogue) Entry(k Kind, name string) (Entry, bool) {
	e, ok := c.entries[ID{k, name}]
	return e, ok
}

// Entries returns all entries, sorted by kind and name.
func (c Catalogue) Entries() []Entry {
	all := make([]Entry, 0, len(c.entries))
	for _, k := range Kinds() {
		all = append(all, c.entriesByKind[k]...)
	}
	return all
}

// EntriesOfKind returns all entries of a kind, sorted by name. The slice must not
// be changed.
func (c Catalogue) EntriesOfKind(k Kind) []Entry { return c.entriesByKind[k] }

// PoolsIn returns the names of the pools that have servers in a data centre, in
// alphabetical order. The slice must not be changed.
func (c Catalogue) PoolsIn(dataCentre string) []string { return c.poolsByDataCentre[dataCentre] }

// Servers returns the backend servers of a pool, sorted by name. The slice must
// not be changed.
func (c Catalogue) Servers(pool string) []Entry { return c.serversByPool[pool] }

// IsTakenOut reports whether operators have taken a data centre out.
func (c Catalogue) IsTakenOut(dataCentre string) bool {
	e, ok := c.Entry(DataCentreKind, dataCentre)
	return ok && e.State == TakenOut
}

// ClassRank returns the rank of a class, and whether the class exists.
func (c Catalogue) ClassRank(class string) (int, bool) {
	e, ok := c.Entry(ClassKind, class)
	return e.Rank, ok
}

// EffectiveClass returns the lowest of the given classes, the one with the largest
// rank, and its rank. It skips empty names and returns a refusal with
// request.ReasonUnknownClass for unknown ones.
func (c Catalogue) EffectiveClass(classes ...string) (string, int, error) {
	name, rank := "", -1
	for _, s := range classes {
		if s == "" {
			continue
		}
		r, ok := c.ClassRank(s)
		if !ok {
			return "", 0, request.Refuse(request.ReasonUnknownClass, "class "+s+" is not in the catalogue")
		}
		if r > rank {
			name, rank = s, r
		}
	}
	return name, rank, nil
}

// Serves reports whether a pool, server or data centre with the class entryClass
// serves requests of a rank, which must not be larger than the rank of that class.
func (c Catalogue) Serves(entryClass string, rank int) bool {
	r, ok := c.ClassRank(entryClass)
	return ok && rank <= r
}

// WithEntries returns a catalogue with exactly the given entries. It sets Offset and
// Revision to offset.
func (c Catalogue) WithEntries(offset uint64, entries map[ID]Entry) Catalogue {
	c.Offset, c.Revision = offset, offset
	c.entries = entries
	c.entriesByKind, c.serversByPool, c.poolsByDataCentre = map[Kind][]Entry{}, map[string][]Entry{}, map[string][]string{}
	byName := slices.SortedFunc(maps.Values(entries), func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range byName {
		c.entriesByKind[e.Kind] = append(c.entriesByKind[e.Kind], e)
		if e.Kind == ServerKind {
			c.serversByPool[e.Pool] = append(c.serversByPool[e.Pool], e)
			c.poolsByDataCentre[e.DataCentre] = append(c.poolsByDataCentre[e.DataCentre], e.Pool)
		}
	}
	for dc, pools := range c.poolsByDataCentre {
		slices.Sort(pools)
		c.poolsByDataCentre[dc] = slices.Compact(pools)
	}
	return c
}

// WithOffset returns the catalogue after a record that changed no entry.
func (c Catalogue) WithOffset(offset uint64) Catalogue {
	c.Offset = offset
	return c
}

// WithJudgedEdit returns the catalogue with the identifier of an edit that has a
// verdict added, so that a repeat of the edit is detected.
func (c Catalogue) WithJudgedEdit(id string) Catalogue {
	judged := append(slices.Clone(c.judgedEdits), id)
	if len(judged) > maxJudgedEdits {
		judged = judged[len(judged)-maxJudgedEdits:]
	}
	c.judgedEdits = judged
	return c
}

// Snapshot returns the state of the catalogue, from which FromSnapshot restores
// it.
func (c Catalogue) Snapshot() Snapshot {
	return Snapshot{Offset: c.Offset, Revision: c.Revision, Entries: c.Entries(), JudgedEdits: slices.Clone(c.judgedEdits)}
}
