package ownership

import (
	"time"

	"lycheecrank.example/member"
)

// Queries reads a table without taking a lock. Concurrent calls are safe.
type Queries struct{ table *Table }

// State returns the state of the stream as this instance has read it.
func (q Queries) State() State { return q.table.current.Load().state }

// Owner returns the term of a pool in a data centre and whether it has an owner.
func (q Queries) Owner(pool, dataCentre string) (Term, bool) {
	t := q.table.current.Load().state.Term(Key{pool, dataCentre})
	return t, t.IsHeld()
}

// Rights returns what this instance may dispatch for a pool of its data centre
// at a moment, which must be a reading of time.Now with its monotonic part. Call
// it directly before each dispatch; it allocates nothing.
func (q Queries) Rights(pool string, now time.Time) Rights {
	t := q.table
	v := t.current.Load()
	if v.left {
		return Rights{}
	}
	if l, ok := v.own[pool]; ok {
		return l.rights(now)
	}
	if v.standIns[pool] && now.Sub(v.lastSign(Key{pool, t.self.DataCentre})) >= t.timing.StandIn {
		return Rights{Warm: WarmHalf}
	}
	return Rights{}
}

// Route returns the instance that a step for a pool in a data centre goes to:
// the owner, or, with standIn set, the best other candidate if there is no owner
// or it can't be reached. It returns an empty name if nobody can be reached. The
// candidates are the instances of the data centre, leaving ones included: an
// owner that is leaving dispatches until it has released its terms.
func (q Queries) Route(pool, dataCentre string, candidates []member.Instance, unreachable func(name string) bool) (instance string, standIn bool) {
	if term, held := q.Owner(pool, dataCentre); held {
		if owner, ok := find(term, candidates); ok && !unreachable(owner.Name) {
			return owner.Name, false
		}
	}
	best, bestScore := "", uint64(0)
	for _, i := range candidates {
		if i.DataCentre != dataCentre || i.Leaving || unreachable(i.Name) {
			continue
		}
		if s := score(pool, dataCentre, i.Name); best == "" || s > bestScore {
			best, bestScore = i.Name, s
		}
	}
	return best, best != ""
}

// find returns the owner of a term among candidates.
func find(term Term, candidates []member.Instance) (member.Instance, bool) {
	for _, i := range candidates {
		if i.Name == term.Instance && term.IsOwnedBy(i.Name, i.Incarnation) {
			return i, true
		}
	}
	return member.Instance{}, false
}
