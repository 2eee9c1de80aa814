package ownership

import (
	"github.com/cespare/xxhash/v2"

	"lycheecrank.example/member"
)

// score returns the rendezvous hash of an instance for a pool in a data centre.
// The candidate with the highest score is the best one. It allocates nothing.
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

// candidateRank returns how many candidates other than the owner have a higher
// score than this instance.
func (t *Table) candidateRank(term Term, candidates []member.Instance) int {
	k := term.Key
	ownScore := score(k.Pool, k.DataCentre, t.self.Instance)
	rank := 0
	for _, i := range candidates {
		if i.Name == t.self.Instance || !i.IsCandidate() || i.DataCentre != k.DataCentre || term.IsOwnedBy(i.Name, i.Incarnation) {
			continue
		}
		if score(k.Pool, k.DataCentre, i.Name) > ownScore {
			rank++
		}
	}
	return rank
}

// isReachable reports whether the owner of a term is a known instance that can
// be reached.
func (t *Table) isReachable(term Term, candidates []member.Instance) bool {
	if term.IsOwnedBy(t.self.Instance, t.self.Incarnation) {
		return true
	}
	owner, ok := findOwner(term, candidates)
	return ok && owner.IsReachable
}
