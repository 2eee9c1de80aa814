// Package crew keeps the instances of the system that hear each other, and
// agrees on the one that prepares requests for all: the coordinator. It is the
// instance that has been fit for the longest time among those that are heard, so
// that an instance that returns doesn't take the work back. The choice is soft
// state: two coordinators cost work, and break no promise.
package crew

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Mate is an instance of the system as it describes itself. It is an immutable
// value.
type Mate struct {
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
func (m Mate) WithFitSince(at time.Time) Mate {
	m.FitSince = at.UnixMilli()
	return m
}

// WithLeaving returns the instance while it shuts down.
func (m Mate) WithLeaving() Mate {
	m.IsLeaving = true
	return m
}

// seen is an instance and when it was last heard of.
type seen struct {
	mate Mate
	// heardAt is when it last answered or asked, zero if only others know it.
	heardAt time.Time
	// failedAt is when a call to it last failed.
	failedAt time.Time
	addedAt  time.Time
}

// View is what an instance knows of the others. It is an immutable value.
type View struct {
	self   Mate
	others map[string]seen
}

const (
	// HeardFor is how long an instance counts as heard after its last message. It
	// is five beats, so that two lost ones and a slow machine don't matter.
	HeardFor = 1250 * time.Millisecond
	// forgetAfter is when an instance that isn't heard any more is forgotten.
	forgetAfter = 30 * time.Second
)

// isHeard reports whether an instance can be reached as far as is known.
func (s seen) isHeard(now time.Time) bool {
	return now.Sub(s.heardAt) < HeardFor && !s.failedAt.After(s.heardAt)
}

// Coordinator returns the instance that prepares requests, which may be the
// instance itself.
func (v View) Coordinator(now time.Time) Mate {
	best := v.self
	for _, s := range v.others {
		if s.isHeard(now) && goesBefore(s.mate, best) {
			best = s.mate
		}
	}
	return best
}

// goesBefore orders instances for the choice of the coordinator.
func goesBefore(a, b Mate) bool {
	if a.IsLeaving != b.IsLeaving {
		return b.IsLeaving
	}
	if a.IsStrong != b.IsStrong {
		return a.IsStrong
	}
	return cmp.Or(cmp.Compare(a.FitSince, b.FitSince), cmp.Compare(a.Name, b.Name)) < 0
}

const (
	// councilSize is the number of first candidates for coordinator that every
	// instance stays in touch with. With all of them in touch with each other, the
	// messages of n instances would grow with n squared.
	councilSize = 5
	// failedFor is how long an instance that did not answer is left out of the
	// council.
	failedFor = 1500 * time.Millisecond
)

// Council returns the first candidates for coordinator among the instances that
// may live, which may include this one.
func (v View) Council(now time.Time) []Mate {
	council := []Mate{v.self}
	for _, s := range v.others {
		if s.isHeard(now) || now.Sub(s.failedAt) >= failedFor && now.Sub(s.lastSign()) < forgetAfter {
			council = append(council, s.mate)
		}
	}
	slices.SortFunc(council, func(a, b Mate) int {
		if goesBefore(a, b) {
			return -1
		}
		return 1
	})
	return council[:min(len(council), councilSize)]
}

// lastSign returns when the instance was last heard, or first heard of.
func (s seen) lastSign() time.Time {
	if s.heardAt.IsZero() {
		return s.addedAt
	}
	return s.heardAt
}

// IsHeard reports whether an instance can be reached as far as is known.
func (v View) IsHeard(name string, now time.Time) bool {
	s, ok := v.others[name]
	return ok && s.isHeard(now)
}

// Size returns the number of known instances, this one included.
func (v View) Size() int { return len(v.others) + 1 }

// Heard returns the other instances that can be reached, by name.
func (v View) Heard(now time.Time) []Mate {
	var mates []Mate
	for _, s := range v.others {
		if s.isHeard(now) {
			mates = append(mates, s.mate)
		}
	}
	slices.SortFunc(mates, func(a, b Mate) int { return cmp.Compare(a.Name, b.Name) })
	return mates
}

// Known returns all other instances, by name.
func (v View) Known() []Mate {
	mates := make([]Mate, 0, len(v.others))
	for _, s := range v.others {
		mates = append(mates, s.mate)
	}
	slices.SortFunc(mates, func(a, b Mate) int { return cmp.Compare(a.Name, b.Name) })
	return mates
}

// Share returns the part of all known instances that can be reached, this one
// included. An instance that is cut off uses only that part of common limits.
func (v View) Share(now time.Time) float64 {
	return float64(len(v.Heard(now))+1) / float64(len(v.others)+1)
}

// Self returns this instance.
func (v View) Self() Mate { return v.self }

// WithSelf returns the view after this instance has changed.
func (v View) WithSelf(m Mate) View {
	v.self = m
	return v
}

// WithHeard returns the view after a message of an instance.
func (v View) WithHeard(m Mate, at time.Time) View {
	if m.Name == v.self.Name {
		return v
	}
	s := v.others[m.Name]
	if s.addedAt.IsZero() {
		s.addedAt = at
	}
	s.mate, s.heardAt = m, at
	return v.with(m.Name, s)
}

// WithKnown returns the view after others told of instances.
func (v View) WithKnown(mates []Mate, at time.Time) View {
	for _, m := range mates {
		old, ok := v.others[m.Name]
		if m.Name == v.self.Name || m.IsLeaving && !ok || ok && (!old.heardAt.IsZero() || old.mate == m) {
			continue
		}
		if !ok {
			old.addedAt = at
		}
		old.mate = m
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

// WithoutStale returns the view without instances that have not been heard for
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
