package ownership

import (
	"time"

	"lycheecrank.example/member"
)

// Queries reads a table without taking a lock. Concurrent calls are safe.
type Queries struct{ table *Table }

// State returns the state through the last record that this instance applied.
func (q Queries) State() State { return q.table.current.Load().state }

// Owner returns the term of a pool in a data centre and whether it has an owner.
func (q Queries) Owner(pool, dataCentre string) (Term, bool) {
	t := q.table.current.Load().state.Term(Key{pool, dataCentre})
	return t, t.HasOwner()
}

// Permission returns what this instance may dispatch for a pool of its data centre.
// The time must be a reading of time.Now with its monotonic part. Call it directly
// before each dispatch; it allocates nothing.
func (q Queries) Permission(pool string, now time.Time) Permission {
	t := q.table
	v := t.current.Load()
	if v.closed {
		return Permission{}
	}
	if o, ok := v.ownTerms[pool]; ok {
		return o.permission(now)
	}
	if v.substitutePools[pool] && now.Sub(v.ownerLastSeen(Key{pool, t.self.DataCentre})) >= t.timing.SubstituteDelay {
		return Permission{WarmShare: WarmHalf}
	}
	return Permission{}
}

// IsNextCandidate reports whether this instance is the next candidate for a pool
// after its owner.
func (q Queries) IsNextCandidate(pool string, candidates []member.Instance) bool {
	t := q.table
	term := t.current.Load().state.Term(Key{pool, t.self.DataCentre})
	return !term.IsOwnedBy(t.self.Instance, t.self.Incarnation) && t.candidateRank(term, candidates) == 0
}

// Route returns the instance that a step for a pool in a data centre is sent to:
// the owner, or, with substitute set, the best other candidate if there is no
// owner or it can't be reached. The name is empty if no instance can be reached.
// The candidates are the instances of the data centre, leaving ones included: an
// owner that is leaving dispatches until it has released its terms.
func (q Queries) Route(pool, dataCentre string, candidates []member.Instance, unreachable func(name string) bool) (instance string, substitute bool) {
	if term, held := q.Owner(pool, dataCentre); held {
		if owner, ok := findOwner(term, candidates); ok && !unreachable(owner.Name) {
			return owner.Name, false
		}
	}
	best, bestScore := "", uint64(0)
	for _, i := range candidates {
		if i.DataCentre != dataCentre || i.IsLeaving || unreachable(i.Name) {
			continue
		}
		if s := score(pool, dataCentre, i.Name); best == "" || s > bestScore {
			best, bestScore = i.Name, s
		}
	}
	return best, best != ""
}

// findOwner returns the owner of a term among candidates.
func findOwner(term Term, candidates []member.Instance) (member.Instance, bool) {
	for _, i := range candidates {
		if i.Name == term.Instance && term.IsOwnedBy(i.Name, i.Incarnation) {
			return i, true
		}
	}
	return member.Instance{}, false
}
