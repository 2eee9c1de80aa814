package member

import (
	"slices"
	"strings"
	"time"
)

// ContactTimeout is how long an instance that is missing from the platform's list is kept
// after direct contact. The list lags by several seconds, so a reply of the instance is
// better evidence than the missing entry.
const ContactTimeout = 10 * time.Second

// List is an immutable list of instances, ordered by name. The zero value is
// empty.
type List struct {
	all          []Instance
	byDataCentre map[string][]Instance
	// contactAt holds the time of the last direct contact by name.
	contactAt map[string]time.Time
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

// WithPlatformList returns the list after the platform's list was read at the given
// time. The results of direct contact with the same incarnation are kept. An instance
// that is missing from the platform's list, or listed in another incarnation, stays
// unchanged while the last direct contact with it is more recent than ContactTimeout.
func (l List) WithPlatformList(listed []Instance, at time.Time) List {
	next := make([]Instance, 0, len(listed))
	seen := map[string]bool{}
	for _, i := range listed {
		if seen[i.Name] {
			continue
		}
		seen[i.Name] = true
		next = append(next, l.merge(i.WithReachable(true), at))
	}
	for _, i := range l.all {
		if !seen[i.Name] && l.isInContact(i.Name, at) {
			next = append(next, i)
		}
	}
	return newList(next, l.contactAt)
}

// WithContact returns the list after direct contact with an instance. An unknown
// instance is added. If another incarnation of it was known, the given one replaces it.
func (l List) WithContact(instance Instance, at time.Time) List {
	known, ok := l.ByName(instance.Name)
	if ok && known.Incarnation == instance.Incarnation {
		instance = known.WithLeaving(known.IsLeaving || instance.IsLeaving)
	}
	contact := cloneTimes(l.contactAt)
	contact[instance.Name] = at
	return newList(l.withInstance(instance.WithReachable(true)), contact)
}

// WithoutContact returns the list after a call to an instance has failed.
// Unknown names change nothing.
func (l List) WithoutContact(name string) List {
	i, ok := l.ByName(name)
	if !ok {
		return l
	}
	contact := cloneTimes(l.contactAt)
	delete(contact, name)
	return newList(l.withInstance(i.WithReachable(false)), contact)
}

// WithLeaving returns the list after an incarnation of an instance announced its
// shutdown. Other incarnations and unknown names change nothing.
func (l List) WithLeaving(name, incarnation string) List {
	i, ok := l.ByName(name)
	if !ok || i.Incarnation != incarnation || i.IsLeaving {
		return l
	}
	return newList(l.withInstance(i.WithLeaving(true)), l.contactAt)
}

// merge combines an entry of the platform's list with the known instance.
func (l List) merge(listed Instance, at time.Time) Instance {
	known, ok := l.ByName(listed.Name)
	switch {
	case !ok:
		return listed
	case known.Incarnation == listed.Incarnation:
		return listed.WithReachable(known.IsReachable).WithLeaving(known.IsLeaving || listed.IsLeaving)
	case l.isInContact(listed.Name, at):
		return known
	}
	return listed
}

func (l List) isInContact(name string, at time.Time) bool {
	contact, ok := l.contactAt[name]
	return ok && at.Sub(contact) < ContactTimeout
}

func (l List) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.all, name, func(i Instance, n string) int { return strings.Compare(i.Name, n) })
}

// withInstance returns a copy of all instances in which the given one is replaced or
// added.
func (l List) withInstance(instance Instance) []Instance {
	n, ok := l.find(instance.Name)
	next := slices.Clone(l.all)
	if ok {
		next[n] = instance
		return next
	}
	return slices.Insert(next, n, instance)
}

// newList orders and indexes the instances, and drops the contact times of instances
// that aren't among them.
func newList(all []Instance, contact map[string]time.Time) List {
	slices.SortFunc(all, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	l := List{all: all, byDataCentre: map[string][]Instance{}, contactAt: map[string]time.Time{}}
	for _, i := range all {
		l.byDataCentre[i.DataCentre] = append(l.byDataCentre[i.DataCentre], i)
		if at, ok := contact[i.Name]; ok {
			l.contactAt[i.Name] = at
		}
	}
	return l
}

func cloneTimes(contact map[string]time.Time) map[string]time.Time {
	next := make(map[string]time.Time, len(contact)+1)
	for n, at := range contact {
		next[n] = at
	}
	return next
}
