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
	// Ends is when the hold ends by itself. A released hold is kept until then,
	// so that it overrides the copies of other instances.
	Ends time.Time
	// Sequence orders the holds of a data centre: the higher one counts.
	Sequence uint64
	// Released tells that an operator has ended the hold. It spreads between the
	// instances.
	Released bool
	// Recorded tells that the catalogue of this instance has recorded that the
	// data centre is taken out. It doesn't spread: an instance that is behind
	// would give the data centre new work until it has the catalogue too.
	Recorded bool
}

// WithSequence returns the hold with another sequence number.
func (h Hold) WithSequence(sequence uint64) Hold {
	h.Sequence = sequence
	return h
}

// WithReleased returns the hold after an operator has ended it.
func (h Hold) WithReleased() Hold {
	h.Released = true
	return h
}

// WithRecorded returns the hold after the catalogue has recorded the take-out.
func (h Hold) WithRecorded() Hold {
	h.Recorded = true
	return h
}

// IsActive reports whether the hold keeps new work away.
func (h Hold) IsActive(now time.Time) bool { return !h.Released && !h.Recorded && now.Before(h.Ends) }

// Holds are the holds by data centre. They are immutable.
type Holds struct {
	byDataCentre map[string]Hold
}

// Active reports whether a data centre is on hold.
func (h Holds) Active(dataCentre string, now time.Time) bool {
	return h.byDataCentre[dataCentre].IsActive(now)
}

// Of returns the hold of a data centre, an ended one included.
func (h Holds) Of(dataCentre string) (Hold, bool) {
	hold, ok := h.byDataCentre[dataCentre]
	return hold, ok
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

// With returns the holds with another one, unless the known one counts, and
// whether it was taken. Of two copies of a hold the released one counts.
func (h Holds) With(hold Hold) (Holds, bool) {
	if old, ok := h.byDataCentre[hold.DataCentre]; ok {
		if old.Sequence > hold.Sequence || (old.Sequence == hold.Sequence && (old.Released || !hold.Released)) {
			return h, false
		}
	}
	return h.with(hold), true
}

func (h Holds) with(hold Hold) Holds {
	next := maps.Clone(h.byDataCentre)
	if next == nil {
		next = map[string]Hold{}
	}
	next[hold.DataCentre] = hold
	return Holds{byDataCentre: next}
}

// withTakenOut returns the holds after a catalogue was adopted: it ends those on
// data centres that are taken out, so that their return is not held up.
func (h Holds) withTakenOut(c Catalogue) Holds {
	for _, hold := range h.byDataCentre {
		if !hold.Recorded && c.IsTakenOut(hold.DataCentre) {
			h = h.with(hold.WithRecorded())
		}
	}
	return h
}
