// Package crew keeps the instances of the system that hear each other, and
// agrees on the one that prepares requests for all: the coordinator. It is the
// instance that has been fit for the longest time among those that are heard, so
// that an instance that returns doesn't take the work back. The choice is soft
// state: two coordinators cost work, and break no promise.
package crew

import (
	"cmp"
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
	return cmp.Or(cmp.Compare(a.FitSince, b.FitSince), cmp.Compare(a.Name, b.Name)) < 0
}

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
	others := make(map[string]seen, len(v.others))
	for name, s := range v.others {
		last := s.heardAt
		if last.IsZero() {
			last = s.addedAt
		}
		if now.Sub(last) < forgetAfter {
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
