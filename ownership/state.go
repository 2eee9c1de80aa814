// Package ownership decides which instance dispatches for a pool in a data
// centre, and until when. The decisions are records of one stream of the log,
// which every instance applies by the same pure function.
package ownership

import (
	"errors"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrGap is returned for a record whose predecessor has not been applied.
var ErrGap = errors.New("ownership record out of order")

// State is what the stream says through an offset. It is an immutable value.
//
// Two readers agree about every take that both can judge, wherever they started:
// a take is valid by the records between its Through and itself alone. Renewals
// and releases of the pool make it void, valid or not, since a late reader can't
// tell. Void takes don't: two candidates with slow tails would make each other's
// takes void for ever. A take that a reader can't judge leaves the term as it is,
// and puts the takes in doubt that were decided without knowing it. A reader
// that started after the first record learns the terms whose takes it has not
// seen from renewals: the highest one is the current one, because an instance
// renews only terms whose take it has judged to be valid.
type State struct {
	applied uint64
	// base is the offset of the last record that the reader has not seen; 0 if it
	// has seen the whole stream.
	base uint64
	// learnt is the offset of the last take that the reader has not seen or could
	// not judge. Terms through it are learnt from renewals.
	learnt uint64
	// index holds the position of a key in terms. It is replaced only when a key
	// is added, so that a renewal copies nothing but the slice.
	index map[Key]int
	terms []Term
	// accepts judges the take of a pool; nil stands for the compare-and-set.
	accepts func(t Term, r Record) bool
}

// NewState returns the state of a reader that starts after the offset base, 0
// for the start of the stream.
func NewState(base uint64) State {
	return State{applied: base, base: base, learnt: base, index: map[Key]int{}}
}

// Snapshot is a state for another reader.
type Snapshot struct {
	Applied uint64 `msgpack:"applied"`
	Base    uint64 `msgpack:"base"`
	Learnt  uint64 `msgpack:"learnt"`
	Terms   []Term `msgpack:"terms"`
}

// Snapshot returns the state as a record.
func (s State) Snapshot() Snapshot {
	return Snapshot{Applied: s.applied, Base: s.base, Learnt: s.learnt, Terms: slices.Clone(s.terms)}
}

// State returns the state that a snapshot holds.
func (n Snapshot) State() State {
	s := State{applied: n.Applied, base: n.Base, learnt: n.Learnt, index: make(map[Key]int, len(n.Terms)), terms: slices.Clone(n.Terms)}
	for i, t := range s.terms {
		s.index[t.Key] = i
	}
	return s
}

// Applied returns the offset of the last record applied.
func (s State) Applied() uint64 { return s.applied }

// IsWhole reports whether the reader has seen the stream from its first record.
func (s State) IsWhole() bool { return s.base == 0 }

// Terms returns all terms in the order of their first records. The slice must
// not be changed.
func (s State) Terms() []Term { return s.terms }

// Term returns the term of a pool in a data centre. For an unknown one it holds
// the key alone.
func (s State) Term(k Key) Term {
	if n, ok := s.index[k]; ok {
		return s.terms[n]
	}
	return Term{Key: k}
}

// Apply returns the state after the record at an offset. A record at or below
// the applied offset changes nothing. ErrGap is returned if the record before it
// is missing.
func (s State) Apply(offset uint64, r Record) (State, error) {
	if offset <= s.applied {
		return s, nil
	}
	if offset != s.applied+1 {
		return s, eris.Wrapf(ErrGap, "offset %d after %d", offset, s.applied)
	}
	next := s
	next.applied = offset
	if !r.isKnown() || len(r.Terms) == 0 {
		return next, nil
	}
	next.terms = slices.Clone(s.terms)
	for _, rt := range r.Terms {
		n := next.position(Key{rt.Pool, r.DataCentre}, s)
		next.terms[n] = s.after(next.terms[n], offset, r, rt)
		if next.terms[n].Doubt == offset {
			next.learnt = offset
		}
	}
	return next, nil
}

// after returns a term after the part of a record that names its pool.
func (s State) after(t Term, offset uint64, r Record, rt RecordTerm) Term {
	owns := rt.Term == t.ID && t.IsOwnedBy(r.Instance, r.Incarnation)
	switch r.Kind {
	case Take:
		switch {
		case !s.isCurrent(t, r):
			return t
		case r.Through < s.base || r.Through < t.Doubt:
			return t.WithDoubt(offset)
		}
		return t.WithOwner(offset, r.Instance, r.Incarnation).WithRenewal(offset)
	case Renew:
		if rt.Term > t.ID && rt.Term <= s.learnt {
			return t.WithOwner(rt.Term, r.Instance, r.Incarnation).WithRenewal(offset)
		}
		if owns {
			return t.WithRenewal(offset)
		}
	case Release:
		if owns {
			return t.WithRelease(rt.Settled).WithRenewal(offset)
		}
	}
	return t.WithTouched(offset)
}

// isCurrent is the compare-and-set: the previous term and its last renewal are
// still the current ones if nothing has touched the pool since the taker's view.
func (s State) isCurrent(t Term, r Record) bool {
	if s.accepts != nil {
		return s.accepts(t, r)
	}
	return t.Touched <= r.Through
}

// position returns the place of a key, which it adds if needed. The index is
// copied before the first addition, since former states share it.
func (s *State) position(k Key, former State) int {
	if n, ok := s.index[k]; ok {
		return n
	}
	if len(s.index) == len(former.index) {
		index := make(map[Key]int, len(s.index)+1)
		for key, n := range s.index {
			index[key] = n
		}
		s.index = index
	}
	s.terms = append(s.terms, Term{Key: k})
	s.index[k] = len(s.terms) - 1
	return len(s.terms) - 1
}
