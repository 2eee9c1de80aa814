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
// Readers may start at any offset. Two readers agree about every acquisition that
// both can verify, because its validity depends only on the records of the pool
// between Record.AppliedOffset and the acquisition:
//
//   - Any renewal or release between them makes the acquisition invalid. Even an
//     invalid renewal or release does, because a late reader can't tell whether it
//     is valid.
//   - A valid acquisition between them makes it invalid.
//   - An invalid acquisition between them has no effect. Two candidates that receive
//     records late would otherwise invalidate each other's acquisitions forever.
//
// A reader can't verify an acquisition if it has not seen all of these records, or
// if one of them is an acquisition that it could not verify, unless a record that it
// has seen makes the acquisition invalid. An acquisition that can't be verified
// leaves the owner unchanged.
//
// A reader that started after the first record learns from renewals the terms whose
// acquisitions it has not seen. The term with the highest ID is the current one,
// because an instance renews only terms whose acquisition it has verified.
type State struct {
	applied uint64
	// base is the offset of the last record before the reader started; 0 if it has
	// seen the whole stream.
	base uint64
	// learnFromRenewalsUpTo is the highest ID of terms that are learnt from renewals:
	// the offset of the last acquisition that the reader could not verify, or base if
	// there is none.
	learnFromRenewalsUpTo uint64
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
	return State{applied: base, base: base, learnFromRenewalsUpTo: base, index: map[Key]int{}}
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
	return Snapshot{Applied: s.applied, Base: s.base, LastUnverified: s.learnFromRenewalsUpTo, Terms: slices.Clone(s.terms)}
}

// State returns the state that the snapshot holds.
func (n Snapshot) State() State {
	s := State{applied: n.Applied, base: n.Base, learnFromRenewalsUpTo: n.LastUnverified, index: make(map[Key]int, len(n.Terms)), terms: slices.Clone(n.Terms)}
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
			next.learnFromRenewalsUpTo = offset
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
		case !s.hasReadVersion(t, r):
			return t
		case r.AppliedOffset < s.base || r.AppliedOffset < t.LastUnverified:
			return t.WithUnverified(offset)
		}
		return t.WithOwner(offset, r.Instance, r.Incarnation).WithRenewal(offset)
	case Renew:
		if rt.Term > t.ID && rt.Term <= s.learnFromRenewalsUpTo {
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

// hasReadVersion is the compare-and-set of an acquisition. It reports whether its
// instance had applied the last record that changed the version of the term, so
// that the previous term and its last renewal were still the current ones.
func (s State) hasReadVersion(t Term, r Record) bool {
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
