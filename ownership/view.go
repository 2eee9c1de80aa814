package ownership

import (
	"maps"
	"slices"
	"time"
)

// view is the data of a table that queries read. It is an immutable value.
type view struct {
	state State
	// lastSeen holds, by position in the state, when the last record that shows
	// the owner to be alive was received.
	lastSeen []time.Time
	// readingSince is when this instance began to receive the stream.
	readingSince time.Time
	// lastReceived is when the last record was received.
	lastReceived time.Time
	// lastLogContact is when the log last answered this instance. It is zero if
	// contacts are not reported.
	lastLogContact time.Time
	// logContactSince is the start of the current period of contact, which ends with
	// a gap between answers longer than Timing.LogTimeout.
	logContactSince time.Time
	// ownTerms holds the terms that this instance owns, by pool.
	ownTerms map[string]ownTerm
	// substitutePools holds the pools for which this instance is the temporary
	// substitute of the owner.
	substitutePools map[string]bool
	// closed is set once this instance has ended all its permissions permanently.
	closed bool
}

// newView returns the view of an instance that begins to receive the stream.
func newView(s State, at time.Time) view {
	return view{state: s, readingSince: at, lastReceived: at, ownTerms: map[string]ownTerm{}}
}

// ownerLastSeen returns when a record of a live owner was last received, but no
// earlier than this instance began to receive the stream.
func (v *view) ownerLastSeen(k Key) time.Time {
	if n, ok := v.state.index[k]; ok && n < len(v.lastSeen) && v.lastSeen[n].After(v.readingSince) {
		return v.lastSeen[n]
	}
	return v.readingSince
}

// withLogContact returns the view after the log has answered. A longer gap than
// the given one starts a new period of contact.
func (v view) withLogContact(at time.Time, gap time.Duration) view {
	if at.Sub(v.lastLogContact) > gap {
		v.logContactSince = at
	}
	v.lastLogContact = at
	return v
}

// hasLogContact reports whether the log has answered within the gap. It is true
// if contacts are not reported.
func (v *view) hasLogContact(now time.Time, gap time.Duration) bool {
	return v.lastLogContact.IsZero() || now.Sub(v.lastLogContact) <= gap
}

// withState returns the view after a record was received.
func (v view) withState(s State, at time.Time) view {
	v.state, v.lastReceived = s, at
	return v
}

// withLastSeen returns the view after a record that shows the owners of pools to
// be alive.
func (v view) withLastSeen(keys []Key, at time.Time) view {
	if len(keys) == 0 {
		return v
	}
	lastSeen := make([]time.Time, len(v.state.terms))
	copy(lastSeen, v.lastSeen)
	for _, k := range keys {
		lastSeen[v.state.index[k]] = at
	}
	v.lastSeen = lastSeen
	return v
}

func (v view) withOwnTerm(pool string, o ownTerm) view {
	ownTerms := maps.Clone(v.ownTerms)
	if ownTerms == nil {
		ownTerms = map[string]ownTerm{}
	}
	ownTerms[pool] = o
	v.ownTerms = ownTerms
	return v
}

func (v view) withoutOwnTerms(pools ...string) view {
	v.ownTerms = maps.Clone(v.ownTerms)
	for _, p := range pools {
		delete(v.ownTerms, p)
	}
	return v
}

func (v view) withSubstitutePools(pools map[string]bool) view {
	v.substitutePools = pools
	return v
}

func (v view) withClosed() view {
	v.closed = true
	return v
}

// ownedPools returns the pools of this instance's terms in alphabetical order.
func (v *view) ownedPools() []string {
	return slices.Sorted(maps.Keys(v.ownTerms))
}

// wasNeverOwned reports whether it is certain that a pool never had an owner.
func (v *view) wasNeverOwned(term Term) bool { return v.state.IsComplete() && term.Version == 0 }

// leaseEnd returns the latest expiry of the leases of the terms of this instance.
func (v *view) leaseEnd() time.Time {
	var end time.Time
	for _, o := range v.ownTerms {
		if o.coldUntil.After(end) {
			end = o.coldUntil
		}
	}
	return end
}

// areLeasesExpired reports whether this instance has terms and all its leases
// have expired.
func (v *view) areLeasesExpired(now time.Time) bool {
	return len(v.ownTerms) > 0 && !now.Before(v.leaseEnd())
}
