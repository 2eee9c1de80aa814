package catalogue

import (
	"maps"
	"slices"
	"time"
)

// MaxHold is the longest duration of a hold.
const MaxHold = 15 * time.Minute

// Hold keeps new work from a data centre for a limited time. Operators place it
// through any instance while the log is down.
type Hold struct {
	DataCentre string
	Operator   string
	// Ends is when the hold ends by itself.
	Ends time.Time
	// Sequence orders the holds of a data centre: the higher one counts.
	Sequence uint64
}

// Holds are the holds by data centre. They are immutable.
type Holds struct {
	byDataCentre map[string]Hold
}

// Active reports whether a data centre is on hold.
func (h Holds) Active(dataCentre string, now time.Time) bool {
	hold, ok := h.byDataCentre[dataCentre]
	return ok && now.Before(hold.Ends)
}

// All returns the holds by data centre, ended ones included.
func (h Holds) All() []Hold {
	names := slices.Sorted(maps.Keys(h.byDataCentre))
	all := make([]Hold, 0, len(names))
	for _, n := range names {
		all = append(all, h.byDataCentre[n])
	}
	return all
}

// With returns the holds with another one, unless one of at least its sequence
// is there, and whether it was taken.
func (h Holds) With(hold Hold) (Holds, bool) {
	if old, ok := h.byDataCentre[hold.DataCentre]; ok && old.Sequence >= hold.Sequence {
		return h, false
	}
	next := maps.Clone(h.byDataCentre)
	if next == nil {
		next = map[string]Hold{}
	}
	next[hold.DataCentre] = hold
	return Holds{byDataCentre: next}, true
}

// withTakenOut ends the holds on data centres that a newer catalogue takes out,
// which records what they stand for. The end has the next sequence number on
// every instance, so that it counts more than the hold that an instance with an
// older catalogue passes on.
func (h Holds) withTakenOut(before, after Catalogue, now time.Time) Holds {
	for _, hold := range h.All() {
		if now.Before(hold.Ends) && after.IsTakenOut(hold.DataCentre) && !before.IsTakenOut(hold.DataCentre) {
			hold.Ends = now
			hold.Sequence++
			h, _ = h.With(hold)
		}
	}
	return h
}
