package member

import (
	"slices"
	"strings"
	"time"
)

// ContactAge is how long direct contact keeps an instance that has gone from
// the platform's list. The list lags by several seconds, so an instance that
// answers is more credible than its absence.
const ContactAge = 10 * time.Second

// List is an immutable list of instances, ordered by name. The zero value is
// empty.
type List struct {
	all          []Instance
	byDataCentre map[string][]Instance
	// contact holds the time of the last direct contact by name.
	contact map[string]time.Time
}

// All returns the instances ordered by name. The slice must not be changed.
func (l List) All() []Instance { return l.all }

// ByName returns an instance by its name.
func (l List) ByName(name string) (Instance, bool) {
	n, ok := l.find(name)
	if !ok {
		return Instance{}, false
	}
	return l.all[n], true
}

// InDataCentre returns the instances of a data centre, ordered by name. The
// slice must not be changed.
func (l List) InDataCentre(dataCentre string) []Instance {
	return l.byDataCentre[dataCentre]
}

// WithPlatformList returns the list after the platform's list was read at the
// given time. Direct evidence about the same incarnation stays. An instance
// that has gone from the platform's list, or that it shows in another
// incarnation, stays as it is while direct contact with it is younger than
// ContactAge.
func (l List) WithPlatformList(listed []Instance, at time.Time) List {
	next := make([]Instance, 0, len(listed))
	seen := map[string]bool{}
	for _, i := range listed {
		if seen[i.Name] {
			continue
		}
		seen[i.Name] = true
		next = append(next, l.merged(i.WithReachable(true), at))
	}
	for _, i := range l.all {
		if !seen[i.Name] && l.isInContact(i.Name, at) {
			next = append(next, i)
		}
	}
	return newList(next, l.contact)
}

// WithContact returns the list after direct contact with an instance. An
// unknown instance is added; one of another incarnation is replaced.
func (l List) WithContact(i Instance, at time.Time) List {
	known, ok := l.ByName(i.Name)
	if ok && known.Incarnation == i.Incarnation {
		i = known.WithLeaving(known.Leaving || i.Leaving)
	}
	contact := cloneContact(l.contact)
	contact[i.Name] = at
	return newList(l.replaced(i.WithReachable(true)), contact)
}

// WithoutContact returns the list after a call to an instance has failed.
// Unknown names change nothing.
func (l List) WithoutContact(name string) List {
	i, ok := l.ByName(name)
	if !ok {
		return l
	}
	contact := cloneContact(l.contact)
	delete(contact, name)
	return newList(l.replaced(i.WithReachable(false)), contact)
}

// WithLeaving returns the list after an incarnation of an instance said that it
// is leaving. Other incarnations and unknown names change nothing.
func (l List) WithLeaving(name, incarnation string) List {
	i, ok := l.ByName(name)
	if !ok || i.Incarnation != incarnation || i.Leaving {
		return l
	}
	return newList(l.replaced(i.WithLeaving(true)), l.contact)
}

// merged combines an entry of the platform's list with what is known.
func (l List) merged(i Instance, at time.Time) Instance {
	known, ok := l.ByName(i.Name)
	switch {
	case !ok:
		return i
	case known.Incarnation == i.Incarnation:
		return i.WithReachable(known.Reachable).WithLeaving(known.Leaving || i.Leaving)
	case l.isInContact(i.Name, at):
		return known
	}
	return i
}

func (l List) isInContact(name string, at time.Time) bool {
	contact, ok := l.contact[name]
	return ok && at.Sub(contact) < ContactAge
}

func (l List) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.all, name, func(i Instance, n string) int { return strings.Compare(i.Name, n) })
}

// replaced returns a copy of all instances with one of them put in.
func (l List) replaced(i Instance) []Instance {
	n, ok := l.find(i.Name)
	next := slices.Clone(l.all)
	if ok {
		next[n] = i
		return next
	}
	return slices.Insert(next, n, i)
}

// newList orders and indexes the instances and forgets contact with others.
func newList(all []Instance, contact map[string]time.Time) List {
	slices.SortFunc(all, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	l := List{all: all, byDataCentre: map[string][]Instance{}, contact: map[string]time.Time{}}
	for _, i := range all {
		l.byDataCentre[i.DataCentre] = append(l.byDataCentre[i.DataCentre], i)
		if at, ok := contact[i.Name]; ok {
			l.contact[i.Name] = at
		}
	}
	return l
}

func cloneContact(contact map[string]time.Time) map[string]time.Time {
	next := make(map[string]time.Time, len(contact)+1)
	for n, at := range contact {
		next[n] = at
	}
	return next
}
