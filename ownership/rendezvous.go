package ownership

import (
	"github.com/cespare/xxhash/v2"

	"lycheecrank.example/member"
)

// score is the rendezvous hash of an instance for a pool in a data centre. The
// candidate with the highest score comes first. It allocates nothing.
func score(pool, dataCentre, instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(dataCentre)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(instance)
	return d.Sum64()
}

// rank returns how many candidates come before this instance, without the owner.
func (t *Table) rank(term Term, candidates []member.Instance) int {
	k := term.Key
	own := score(k.Pool, k.DataCentre, t.self.Instance)
	before := 0
	for _, i := range candidates {
		if i.Name == t.self.Instance || !i.IsCandidate() || i.DataCentre != k.DataCentre || term.IsOwnedBy(i.Name, i.Incarnation) {
			continue
		}
		if score(k.Pool, k.DataCentre, i.Name) > own {
			before++
		}
	}
	return before
}

// isReachable reports whether the owner of a term is a known instance that can
// be reached.
func (t *Table) isReachable(term Term, candidates []member.Instance) bool {
	if term.IsOwnedBy(t.self.Instance, t.self.Incarnation) {
		return true
	}
	owner, ok := find(term, candidates)
	return ok && owner.Reachable
}
