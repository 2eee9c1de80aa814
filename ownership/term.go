package ownership

// Key names a pool in a data centre.
type Key struct {
	Pool       string `msgpack:"pool"`
	DataCentre string `msgpack:"dataCentre"`
}

// Term is what the stream says about the owner of a pool in a data centre. It is
// an immutable value.
type Term struct {
	Key Key `msgpack:"key"`
	// ID is the offset of the take; 0 if no owner is known.
	ID          uint64 `msgpack:"id"`
	Instance    string `msgpack:"instance"`
	Incarnation string `msgpack:"incarnation"`
	// Renewal is the offset of the last record that showed the term: its take, a
	// renewal or its release.
	Renewal uint64 `msgpack:"renewal"`
	// Touched is the offset of the last record that makes takes void which were
	// decided without knowing it: a valid take, or any renewal or release.
	Touched uint64 `msgpack:"touched"`
	// Doubt is the offset of the last take that the reader could not judge.
	Doubt uint64 `msgpack:"doubt,omitempty"`
	// Released tells that the owner gave the term up, Settled that it did so with
	// no work running.
	Released bool `msgpack:"released"`
	Settled  bool `msgpack:"settled"`
}

// WithDoubt returns the term after a take that can't be judged.
func (t Term) WithDoubt(offset uint64) Term {
	t.Doubt = offset
	return t
}

// WithTouched returns the term after a void renewal or release.
func (t Term) WithTouched(offset uint64) Term {
	t.Touched = offset
	return t
}

// WithOwner returns the term id of another owner.
func (t Term) WithOwner(id uint64, instance, incarnation string) Term {
	t.ID, t.Instance, t.Incarnation = id, instance, incarnation
	t.Released, t.Settled = false, false
	return t
}

// WithRenewal returns the term after a record that showed it.
func (t Term) WithRenewal(offset uint64) Term {
	t.Renewal, t.Touched = offset, offset
	return t
}

// WithRelease returns the term after its owner gave it up.
func (t Term) WithRelease(settled bool) Term {
	t.Released, t.Settled = true, settled
	return t
}

// IsHeld reports whether the term has an owner.
func (t Term) IsHeld() bool { return t.ID != 0 && !t.Released }

// IsOwnedBy reports whether an incarnation of an instance is the owner.
func (t Term) IsOwnedBy(instance, incarnation string) bool {
	return t.IsHeld() && t.Instance == instance && t.Incarnation == incarnation
}
