package ownership

// Key identifies a pool in a data centre.
type Key struct {
	Pool       string `msgpack:"pool"`
	DataCentre string `msgpack:"dataCentre"`
}

// Term is the ownership of a pool in a data centre according to the stream. It is
// an immutable value.
type Term struct {
	Key Key `msgpack:"key"`
	// ID is the offset of the acquisition; 0 if no owner is known.
	ID          uint64 `msgpack:"id"`
	Instance    string `msgpack:"instance"`
	Incarnation string `msgpack:"incarnation"`
	// LastRenewal is the offset of the last record that confirmed the term: its
	// acquisition, a renewal or its release.
	LastRenewal uint64 `msgpack:"renewal"`
	// Version is used in the compare-and-set of acquisitions. It is the offset of the
	// last record that invalidates acquisitions decided without having read it: a
	// valid acquisition, or a renewal or release, valid or not.
	Version uint64 `msgpack:"touched"`
	// LastUnverified is the offset of the last acquisition of this pool that the reader
	// could not verify, or 0.
	LastUnverified uint64 `msgpack:"doubt,omitempty"`
	// Released is set if the owner has released the term.
	Released bool `msgpack:"released"`
	// Drained is set if no calls were running when the term was released.
	Drained bool `msgpack:"settled"`
}

// WithUnverified returns the term after an acquisition whose validity can't be
// determined.
func (t Term) WithUnverified(offset uint64) Term {
	t.LastUnverified = offset
	return t
}

// WithVersion returns the term after an invalid renewal or release.
func (t Term) WithVersion(offset uint64) Term {
	t.Version = offset
	return t
}

// WithOwner returns the term with another ID and owner.
func (t Term) WithOwner(id uint64, instance, incarnation string) Term {
	t.ID, t.Instance, t.Incarnation = id, instance, incarnation
	t.Released, t.Drained = false, false
	return t
}

// WithRenewal returns the term after a record that confirmed it.
func (t Term) WithRenewal(offset uint64) Term {
	t.LastRenewal, t.Version = offset, offset
	return t
}

// WithRelease returns the term after its owner released it.
func (t Term) WithRelease(drained bool) Term {
	t.Released, t.Drained = true, drained
	return t
}

// HasOwner reports whether the term has an owner.
func (t Term) HasOwner() bool { return t.ID != 0 && !t.Released }

// IsOwnedBy reports whether the given incarnation of an instance is the owner.
func (t Term) IsOwnedBy(instance, incarnation string) bool {
	return t.HasOwner() && t.Instance == instance && t.Incarnation == incarnation
}
