package catalogue

import (
	"maps"
	"slices"
	"time"
)

// MaxHoldDuration is the longest duration of a hold.
const MaxHoldDuration = 15 * time.Minute

// Hold stops new work for a data centre for a limited time. Operators place it
// through any instance while the log is unavailable.
type Hold struct {
	DataCentre string
	Operator   string
	// EndsAt is the time at which the hold expires. A released hold is kept until
	// then, so that it overrides the copies on other instances.
	EndsAt time.Time
	// Sequence orders the holds of a data centre: the highest takes precedence.
	Sequence uint64
	// Released reports that an operator has ended the hold. It is sent to the other
	// instances.
	Released bool
	// Recorded reports that the data centre is taken out in the catalogue of this
	// instance, which replaces the hold. It is not sent to the other instances: one
	// whose catalogue is behind would give the data centre new work until it has
	// applied the edit.
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

// WithRecorded returns the hold after the catalogue replaced it, because the data
// centre is taken out there.
func (h Hold) WithRecorded() Hold {
	h.Recorded = true
	return h
}

// IsActive reports whether the hold stops new work.
func (h Hold) IsActive(now time.Time) bool { return !h.Released && !h.Recorded && now.Before(h.EndsAt) }

// Holds are the holds on all data centres. They are immutable.
type Holds struct {
	byDataCentre map[string]Hold
}

// IsActive reports whether a data centre is on hold.
func (h Holds) IsActive(dataCentre string, now time.Time) bool {
	return h.byDataCentre[dataCentre].IsActive(now)
}

// OfDataCentre returns the hold of a data centre, even if it has ended.
func (h Holds) OfDataCentre(dataCentre string) (Hold, bool) {
	hold, ok := h.byDataCentre[dataCentre]
	return hold, ok
}

// All returns the holds sorted by data centre, including ended ones.
func (h Holds) All() []Hold {
	names := slices.Sorted(maps.Keys(h.byDataCentre))
	all := make([]Hold, 0, len(names))
	for _, n := range names {
		all = append(all, h.byDataCentre[n])
	}
	return all
}

// With returns the holds with a new one, and reports whether it was stored. It is
// not stored if the known hold of the data centre has a higher sequence number,
// or the same one and the new copy is not a release of it.
func (h Holds) With(hold Hold) (Holds, bool) {
	if old, ok := h.byDataCentre[hold.DataCentre]; ok {
		if old.Sequence > hold.Sequence || (old.Sequence == hold.Sequence && (old.Released || !hold.Released)) {
			return h, false
		}
	}
	return h.replace(hold), true
}

func (h Holds) replace(hold Hold) Holds {
	next := maps.Clone(h.byDataCentre)
	if next == nil {
		next = map[string]Hold{}
	}
	next[hold.DataCentre] = hold
	return Holds{byDataCentre: next}
}

// withRecordedTakeOuts ends the holds on data centres that are taken out in a
// catalogue, so that a hold doesn't delay their return to service.
func (h Holds) withRecordedTakeOuts(c Catalogue) Holds {
	for _, hold := range h.byDataCentre {
		if !hold.Recorded && c.IsTakenOut(hold.DataCentre) {
			h = h.replace(hold.WithRecorded())
		}
	}
	return h
}
