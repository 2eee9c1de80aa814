// Package ownership elects the instance that dispatches for a pool in a data
// centre, for the duration of a lease. The decisions are records of one stream of
// the log, which every instance applies by the same pure function.
package ownership

import (
	"errors"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrGap is returned for a record whose predecessor has not been applied.
var ErrGap = errors.New("ownership record out of order")

// State is the ownership of all pools through an offset of the stream. It is an
// immutable value.
//
// Two readers agree about every acquisition that both can verify, wherever they
// started: its validity depends only on the records between the offset through
// which its instance had read and the acquisition itself. Any renewal or release
// of the pool among them makes it void, even an invalid one, because a late reader
// can't tell these apart. Void acquisitions among them don't: two candidates that
// receive records late would otherwise invalidate each other's acquisitions
// forever. An acquisition that a reader can't verify leaves the owner unchanged,
// and later ones that were decided without having read it can't be verified
// either. A reader that started after the first record learns from renewals the
// terms whose acquisitions it has not seen: the highest one is the current one,
// because an instance renews only terms whose acquisition it has verified.
type State struct {
	applied uint64
	// base is the offset of the last record before the reader started; 0 if it has
	// seen the whole stream.
	base uint64
	// lastUnverified is the offset of the last acquisition that the reader has
	// not seen or could not verify. Terms up to it are learnt from renewals.
	lastUnverified uint64
	// index holds the position of a key in terms. It is replaced only when a key
	// is added, so that a renewal copies nothing but the slice.
	index map[Key]int
	terms []Term
	// acceptsAcquire validates the acquisition of a pool; nil stands for the
	// compare-and-set of matchesVersion.
	acceptsAcquire func(t Term, r Record) bool
}

// NewState returns the state of a reader that starts after the offset base; 0 is
// the start of the stream.
func NewState(base uint64) State {
	return State{applied: base, base: base, lastUnverified: base, index: map[Key]int{}}
}

// Snapshot is the encoded form of a state, for another reader.
type Snapshot struct {
	Applied        uint64 `msgpack:"applied"`
	Base           uint64 `msgpack:"base"`
	LastUnverified uint64 `msgpack:"learnt"`
	Terms          []Term `msgpack:"terms"`
}

// Snapshot returns the state in its encoded form.
func (s State) Snapshot() Snapshot {
	return Snapshot{Applied: s.applied, Base: s.base, LastUnverified: s.lastUnverified, Terms: slices.Clone(s.terms)}
}

// State returns the state that the snapshot holds.
func (n Snapshot) State() State {
	s := State{applied: n.Applied, base: n.Base, lastUnverified: n.LastUnverified, index: make(map[Key]int, len(n.Terms)), terms: slices.Clone(n.Terms)}
	for i, t := range s.terms {
		s.index[t.Key] = i
	}
	return s
}

// Applied returns the offset of the last record applied.
func (s State) Applied() uint64 { return s.applied }

// IsComplete reports whether the reader has seen the stream from its first record.
func (s State) IsComplete() bool { return s.base == 0 }

// Terms returns all terms in the order of their first records. The slice must
// not be changed.
func (s State) Terms() []Term { return s.terms }

// Term returns the term of a pool in a data centre. For an unknown pool only the
// key is set.
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
		next.terms[n] = s.termAfter(next.terms[n], offset, r, rt)
		if next.terms[n].LastUnverified == offset {
			next.lastUnverified = offset
		}
	}
	return next, nil
}

// termAfter returns a term after the part of a record that concerns its pool.
func (s State) termAfter(t Term, offset uint64, r Record, rt RecordTerm) Term {
	owns := rt.Term == t.ID && t.IsOwnedBy(r.Instance, r.Incarnation)
	switch r.Kind {
	case Acquire:
		switch {
		case !s.matchesVersion(t, r):
			return t
		case r.AppliedOffset < s.base || r.AppliedOffset < t.LastUnverified:
			return t.WithUnverified(offset)
		}
		return t.WithOwner(offset, r.Instance, r.Incarnation).WithRenewal(offset)
	case Renew:
		if rt.Term > t.ID && rt.Term <= s.lastUnverified {
			return t.WithOwner(rt.Term, r.Instance, r.Incarnation).WithRenewal(offset)
		}
		if owns {
			return t.WithRenewal(offset)
		}
	case Release:
		if owns {
			return t.WithRelease(rt.Drained).WithRenewal(offset)
		}
	}
	return t.WithVersion(offset)
}

// matchesVersion is the compare-and-set of an acquisition: it reports whether its
// instance had applied the last record that changed the version of the term, so
// that the previous term and its last renewal were still the current ones.
func (s State) matchesVersion(t Term, r Record) bool {
	if s.acceptsAcquire != nil {
		return s.acceptsAcquire(t, r)
	}
	return t.Version <= r.AppliedOffset
}

// position returns the position of a key in terms and adds the key if needed. It
// copies the index before the first addition, because former states share it.
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
