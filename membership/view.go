// Package membership keeps the instances that an instance of package entry knows, and
// whether they are reachable. Package member does the same from other sources for the
// daemon of package instance.
//
// Package membership also chooses the coordinator of a scope, which is the whole site or
// a part of it: the instance that prepares the requests of all instances of the scope,
// which means that it has the stages of a request computed and reserves an engine (see
// package preparation). Among equally suitable reachable
// instances it is the one that has been eligible for the longest time, so that an
// instance that returns doesn't take the role back. The choice isn't stored, and
// instances may disagree for a short time: two concurrent coordinators cause extra work,
// but break no guarantee.
//
// A break is a time in which an instance didn't run, for example because its machine
// was suspended. An instance is eligible since its start, or since its last break or the
// last time that it stepped down as coordinator because it ran too slowly.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Instance is an instance of the system as it describes itself. It is an immutable
// value.
type Instance struct {
	Name       string `msgpack:"name"`
	Address    string `msgpack:"address"`
	DataCentre string `msgpack:"dataCentre"`
	// EligibleSince is when the instance started, ended its last break or last stepped
	// down as coordinator, whichever is latest, in Unix milliseconds of its own clock.
	// The instance sets it, so that all instances compare the same number.
	EligibleSince int64 `msgpack:"fitSince"`
	// IsLeaving is true while the instance shuts down.
	IsLeaving bool `msgpack:"isLeaving"`
	// IsPreferred is true if the machine has enough processor cores and link speed to
	// coordinate a large site. A site is all instances of one installation.
	IsPreferred bool `msgpack:"isStrong"`
	// SeenAgoMs is set in lists of known instances: the time since the last contact of an
	// instance with this one, in milliseconds.
	SeenAgoMs int64 `msgpack:"seenAgo,omitempty"`
}

// WithEligibleSince returns the instance after a break that ended, or after it stepped
// down as coordinator, at a time.
func (m Instance) WithEligibleSince(at time.Time) Instance {
	m.EligibleSince = at.UnixMilli()
	return m
}

// WithLeaving returns the instance with IsLeaving set.
func (m Instance) WithLeaving() Instance {
	m.IsLeaving = true
	return m
}

// WithReply returns the view after a reply of an instance that doesn't describe it. An
// instance that is unknown so far is added as described by another one.
func (v View) WithReply(instance Instance, at time.Time) View {
	if known, ok := v.others[instance.Name]; ok {
		instance = known.instance
	}
	return v.WithContact(instance, at)
}

// isNewerThan reports whether a description of an instance is newer than another one.
// EligibleSince only grows, and an instance that is leaving doesn't stay.
func (m Instance) isNewerThan(other Instance) bool {
	if m.EligibleSince != other.EligibleSince {
		return m.EligibleSince > other.EligibleSince
	}
	return m.IsLeaving && !other.IsLeaving
}

// contactState is an instance with the times of the last contact and failure.
type contactState struct {
	instance Instance
	// contactAt is when the last message or reply of the instance was received; it is
	// zero if the instance is known only from others.
	contactAt time.Time
	// failedAt is when the last failed call to the instance failed.
	failedAt time.Time
	// seenAt is when another instance had its last contact with this one, as far as known.
	seenAt time.Time
}

// View holds the other instances as known to one instance, with the times of the last
// contacts and failures. It is an immutable value.
type View struct {
	self   Instance
	others map[string]contactState
}

const (
	// contactTimeout is how long an instance counts as reachable after its last
	// message. It is five heartbeat intervals, which allows for two lost heartbeats and
	// a slow machine.
	contactTimeout = 1250 * time.Millisecond
	// staleAfter is how long an instance is remembered after its last contact.
	staleAfter = 30 * time.Second
)

// isReachable reports whether the last contact is recent and no call has failed after
// it.
func (s contactState) isReachable(now time.Time) bool {
	return now.Sub(s.contactAt) < contactTimeout && !s.failedAt.After(s.contactAt)
}

// Scope selects the instances of some data centres. The zero value selects all.
type Scope struct {
	// Contains reports whether the instances of a data centre are selected.
	Contains func(dataCentre string) bool
}

func (s Scope) contains(instance Instance) bool {
	return s.Contains == nil || s.Contains(instance.DataCentre)
}

// Coordinator returns the instance of a scope that prepares its requests, which may be
// this one. This instance must be in the scope.
func (v View) Coordinator(scope Scope, now time.Time) Instance {
	best := v.self
	for _, s := range v.others {
		if s.isReachable(now) && precedes(s.instance, best) && scope.contains(s.instance) {
			best = s.instance
		}
	}
	return best
}

// precedes reports whether instance a is chosen as coordinator before instance b.
func precedes(a, b Instance) bool {
	if a.IsLeaving != b.IsLeaving {
		return b.IsLeaving
	}
	if a.IsPreferred != b.IsPreferred {
		return a.IsPreferred
	}
	return cmp.Or(cmp.Compare(a.EligibleSince, b.EligibleSince), cmp.Compare(a.Name, b.Name)) < 0
}

const (
	// candidateCount is the number of candidates for coordinator that every instance
	// stays in contact with. If all n instances were in contact with each other, the
	// messages would grow with n squared. In a site of more than largeSiteSize instances
	// an instance stays in contact with the candidates of its cell as well, so that fewer
	// of each kind are enough.
	candidateCount      = 5
	largeCandidateCount = 3
	largeSiteSize       = 100
	// failureBackoff is how long an instance is left out of the candidates after a
	// failed call, unless a message of it has arrived since.
	failureBackoff = 1500 * time.Millisecond
)

// Candidates returns the candidates for coordinator of a scope: at most candidateCount
// instances, or largeCandidateCount in a large site, in the order in which they would be
// chosen. They are taken from this instance, the reachable ones, and those that were
// last seen within staleAfter and to which no call has failed within failureBackoff.
func (v View) Candidates(scope Scope, now time.Time) []Instance {
	var candidates []Instance
	if scope.contains(v.self) {
		candidates = append(candidates, v.self)
	}
	for _, s := range v.others {
		if !scope.contains(s.instance) {
			continue
		}
		if s.isReachable(now) || now.Sub(s.failedAt) >= failureBackoff && now.Sub(s.lastSeenAt()) < staleAfter {
			candidates = append(candidates, s.instance)
		}
	}
	slices.SortFunc(candidates, func(a, b Instance) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	count := candidateCount
	if v.Size() > largeSiteSize {
		count = largeCandidateCount
	}
	return candidates[:min(len(candidates), count)]
}

// HasRecentFailure reports whether a call to an instance of a scope has failed within
// failureBackoff, and no message of it has arrived since.
func (v View) HasRecentFailure(scope Scope, now time.Time) bool {
	for _, s := range v.others {
		if scope.contains(s.instance) && now.Sub(s.failedAt) < failureBackoff && s.failedAt.After(s.contactAt) {
			return true
		}
	}
	return false
}

// lastSeenAt returns the time of the last contact with this or another instance.
func (s contactState) lastSeenAt() time.Time {
	if s.seenAt.After(s.contactAt) {
		return s.seenAt
	}
	return s.contactAt
}

// IsReachable reports whether the instance with the given name is reachable.
func (v View) IsReachable(name string, now time.Time) bool {
	s, ok := v.others[name]
	return ok && s.isReachable(now)
}

// Size returns the number of known instances, including this one.
func (v View) Size() int { return len(v.others) + 1 }

// Position returns the position of this instance among the known ones, ordered by name,
// from 0 on.
func (v View) Position() int {
	position := 0
	for name := range v.others {
		if name < v.self.Name {
			position++
		}
	}
	return position
}

// Reachable returns the other instances that are reachable, ordered by name.
func (v View) Reachable(now time.Time) []Instance {
	var instances []Instance
	for _, s := range v.others {
		if s.isReachable(now) {
			instances = append(instances, s.instance)
		}
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return instances
}

// Known returns all other known instances, ordered by name.
func (v View) Known() []Instance {
	instances := make([]Instance, 0, len(v.others))
	for _, s := range v.others {
		instances = append(instances, s.instance)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return instances
}

// Sightings returns all other known instances with the time since each was seen, ordered
// by name.
func (v View) Sightings(now time.Time) []Instance {
	instances := v.Known()
	for n, m := range instances {
		instances[n].SeenAgoMs = now.Sub(v.others[m.Name].lastSeenAt()).Milliseconds()
	}
	return instances
}

// ReachableShare returns the fraction of the known instances of a scope that are
// reachable, including this one. An instance that is cut off from others uses only this
// fraction of the limits that all instances of the scope share.
func (v View) ReachableShare(scope Scope, now time.Time) float64 {
	known, reachable := 1, 1
	for _, s := range v.others {
		if !scope.contains(s.instance) {
			continue
		}
		known++
		if s.isReachable(now) {
			reachable++
		}
	}
	return float64(reachable) / float64(known)
}

// Self returns this instance.
func (v View) Self() Instance { return v.self }

// WithSelf returns the view after this instance has changed.
func (v View) WithSelf(instance Instance) View {
	v.self = instance
	return v
}

// WithContact returns the view after a message from an instance.
func (v View) WithContact(instance Instance, at time.Time) View {
	if instance.Name == v.self.Name {
		return v
	}
	s := v.others[instance.Name]
	s.instance, s.contactAt = instance, at
	return v.withOther(instance.Name, s)
}

// WithKnown returns the view with instances that others know. Unknown instances that are
// leaving or stale are ignored, and so is a description that is older than the known one.
// An instance that this one isn't in contact with is remembered for as long as others are.
func (v View) WithKnown(instances []Instance, at time.Time) View {
	for _, m := range instances {
		seenAt := at.Add(-time.Duration(m.SeenAgoMs) * time.Millisecond)
		m.SeenAgoMs = 0
		old, ok := v.others[m.Name]
		isNew, isSeenLater := !ok || m.isNewerThan(old.instance), seenAt.After(old.lastSeenAt())
		if m.Name == v.self.Name || !ok && (m.IsLeaving || at.Sub(seenAt) >= staleAfter) || !isNew && !isSeenLater {
			continue
		}
		if isNew {
			old.instance = m
		}
		if isSeenLater {
			old.seenAt = seenAt
		}
		v = v.withOther(m.Name, old)
	}
	return v
}

// WithEntries returns the view with instances that are known from their entries in the
// store. An entry remains after its instance has failed, so that it doesn't keep a known
// instance from being forgotten.
func (v View) WithEntries(entries []Instance, at time.Time) View {
	isNew := func(m Instance) bool {
		old, ok := v.others[m.Name]
		return !ok || m.isNewerThan(old.instance)
	}
	return v.WithKnown(slices.DeleteFunc(slices.Clone(entries), func(m Instance) bool { return !isNew(m) }), at)
}

// WithFailure returns the view after a failed call to an instance.
func (v View) WithFailure(name string, at time.Time) View {
	other, ok := v.others[name]
	if !ok {
		return v
	}
	other.failedAt = at
	return v.withOther(name, other)
}

// WithoutStale returns the view without the instances whose last contact is older than
// staleAfter.
func (v View) WithoutStale(now time.Time) View {
	isStale := func(s contactState) bool { return now.Sub(s.lastSeenAt()) >= staleAfter }
	if !slices.ContainsFunc(slices.Collect(maps.Values(v.others)), isStale) {
		return v
	}
	others := make(map[string]contactState, len(v.others))
	for name, s := range v.others {
		if now.Sub(s.lastSeenAt()) < staleAfter {
			others[name] = s
		}
	}
	v.others = others
	return v
}

func (v View) withOther(name string, changed contactState) View {
	others := make(map[string]contactState, len(v.others)+1)
	for n, o := range v.others {
		others[n] = o
	}
	others[name] = changed
	v.others = others
	return v
}
