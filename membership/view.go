// Package membership keeps the instances of the system that reach each other, and
// agrees on the one that prepares requests for all: the coordinator. It is the
// instance that has been fit for the longest time among those that are reached, so
// that an instance that returns doesn't take the work back. The choice is soft
// state: two coordinators cost work, and break no promise.
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
	// FitSince is since when the instance runs without a break, in Unix
	// milliseconds of its own clock. The instance fixes it, so that all compare the
	// same number.
	FitSince int64 `msgpack:"fitSince"`
	// IsLeaving tells that the instance shuts down.
	IsLeaving bool `msgpack:"isLeaving"`
	// IsStrong tells that the machine has the processor and the link to coordinate
	// a large site.
	IsStrong bool `msgpack:"isStrong"`
}

// WithFitSince returns the instance after a break.
func (m Instance) WithFitSince(at time.Time) Instance {
	m.FitSince = at.UnixMilli()
	return m
}

// WithLeaving returns the instance while it shuts down.
func (m Instance) WithLeaving() Instance {
	m.IsLeaving = true
	return m
}

// seen is an instance and when it was last in touch.
type seen struct {
	instance Instance
	// contactAt is when it last answered or asked, zero if only others know it.
	contactAt time.Time
	// failedAt is when a call to it last failed.
	failedAt time.Time
	addedAt  time.Time
}

// View is what an instance knows of the others. It is an immutable value.
type View struct {
	self   Instance
	others map[string]seen
}

const (
	// contactAge is how long an instance counts as reachable after its last message. It
	// is five beats, so that two lost ones and a slow machine don't matter.
	contactAge = 1250 * time.Millisecond
	// forgetAfter is when an instance that isn't reached any more is forgotten.
	forgetAfter = 30 * time.Second
)

// isReachable reports whether an instance can be reached as far as is known.
func (s seen) isReachable(now time.Time) bool {
	return now.Sub(s.contactAt) < contactAge && !s.failedAt.After(s.contactAt)
}

// Coordinator returns the instance that prepares requests, which may be the
// instance itself.
func (v View) Coordinator(now time.Time) Instance {
	best := v.self
	for _, s := range v.others {
		if s.isReachable(now) && goesBefore(s.instance, best) {
			best = s.instance
		}
	}
	return best
}

// goesBefore orders instances for the choice of the coordinator.
func goesBefore(a, b Instance) bool {
	if a.IsLeaving != b.IsLeaving {
		return b.IsLeaving
	}
	if a.IsStrong != b.IsStrong {
		return a.IsStrong
	}
	return cmp.Or(cmp.Compare(a.FitSince, b.FitSince), cmp.Compare(a.Name, b.Name)) < 0
}

const (
	// candidateCount is the number of first candidates for coordinator that every
	// instance stays in touch with. With all of them in touch with each other, the
	// messages of n instances would grow with n squared.
	candidateCount = 5
	// failedFor is how long an instance that did not answer is left out of the
	// candidates.
	failedFor = 1500 * time.Millisecond
)

// Candidates returns the first candidates for coordinator among the instances that
// may live, which may include this one.
func (v View) Candidates(now time.Time) []Instance {
	candidates := []Instance{v.self}
	for _, s := range v.others {
		if s.isReachable(now) || now.Sub(s.failedAt) >= failedFor && now.Sub(s.lastSign()) < forgetAfter {
			candidates = append(candidates, s.instance)
		}
	}
	slices.SortFunc(candidates, func(a, b Instance) int {
		if goesBefore(a, b) {
			return -1
		}
		return 1
	})
	return candidates[:min(len(candidates), candidateCount)]
}

// lastSign returns when the instance was last in touch, or first known.
func (s seen) lastSign() time.Time {
	if s.contactAt.IsZero() {
		return s.addedAt
	}
	return s.contactAt
}

// IsReachable reports whether an instance can be reached as far as is known.
func (v View) IsReachable(name string, now time.Time) bool {
	s, ok := v.others[name]
	return ok && s.isReachable(now)
}

// Size returns the number of known instances, this one included.
func (v View) Size() int { return len(v.others) + 1 }

// Reachable returns the other instances that can be reached, by name.
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

// Known returns all other instances, by name.
func (v View) Known() []Instance {
	instances := make([]Instance, 0, len(v.others))
	for _, s := range v.others {
		instances = append(instances, s.instance)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return instances
}

// Share returns the part of all known instances that can be reached, this one
// included. An instance that is cut off uses only that part of common limits.
func (v View) Share(now time.Time) float64 {
	return float64(len(v.Reachable(now))+1) / float64(len(v.others)+1)
}

// Self returns this instance.
func (v View) Self() Instance { return v.self }

// WithSelf returns the view after this instance has changed.
func (v View) WithSelf(m Instance) View {
	v.self = m
	return v
}

// WithContact returns the view after a message of an instance.
func (v View) WithContact(m Instance, at time.Time) View {
	if m.Name == v.self.Name {
		return v
	}
	s := v.others[m.Name]
	if s.addedAt.IsZero() {
		s.addedAt = at
	}
	s.instance, s.contactAt = m, at
	return v.with(m.Name, s)
}

// WithKnown returns the view after others told of instances.
func (v View) WithKnown(instances []Instance, at time.Time) View {
	for _, m := range instances {
		old, ok := v.others[m.Name]
		if m.Name == v.self.Name || m.IsLeaving && !ok || ok && (!old.contactAt.IsZero() || old.instance == m) {
			continue
		}
		if !ok {
			old.addedAt = at
		}
		old.instance = m
		v = v.with(m.Name, old)
	}
	return v
}

// WithFailure returns the view after a call to an instance failed.
func (v View) WithFailure(name string, at time.Time) View {
	s, ok := v.others[name]
	if !ok {
		return v
	}
	s.failedAt = at
	return v.with(name, s)
}

// WithoutStale returns the view without instances that have not been in touch for
// long.
func (v View) WithoutStale(now time.Time) View {
	isStale := func(s seen) bool { return now.Sub(s.lastSign()) >= forgetAfter }
	if !slices.ContainsFunc(slices.Collect(maps.Values(v.others)), isStale) {
		return v
	}
	others := make(map[string]seen, len(v.others))
	for name, s := range v.others {
		if now.Sub(s.lastSign()) < forgetAfter {
			others[name] = s
		}
	}
	v.others = others
	return v
}

func (v View) with(name string, s seen) View {
	others := make(map[string]seen, len(v.others)+1)
	for n, o := range v.others {
		others[n] = o
	}
	others[name] = s
	v.others = others
	return v
}
