package batch

import (
	"cmp"
	"slices"
	"time"
)

// lookAhead is the number of waiting pieces among which a call is chosen. Others
// wait behind them in any case.
const lookAhead = 160

// queue holds the waiting pieces of a pool in the order of their urgency.
type queue struct {
	// onTime can still meet their objectives, late can not.
	onTime []Piece
	late   []Piece
	// displaced is the best class of which a piece was put off last, and when.
	displaced displacement
}

// displacement is when pieces of a class and of worse ones were put off for better
// ones.
type displacement struct {
	class Class
	at    time.Time
}

// displacementLife is how long an overload counts after the last piece that was put
// off: about the time of one call, after which the queue is looked at anew.
const displacementLife = 500 * time.Millisecond

// covers reports whether a new piece of a class would be put off.
func (d displacement) covers(c Class, now time.Time) bool {
	return !d.at.IsZero() && c.compare(d.class) >= 0 && now.Sub(d.at) <= displacementLife
}

// with returns the displacement after a piece of a class was put off.
func (d displacement) with(c Class, now time.Time) displacement {
	if d.covers(c, now) {
		return displacement{d.class, now}
	}
	return displacement{c, now}
}

func (q *queue) isEmpty() bool { return len(q.onTime) == 0 && len(q.late) == 0 }

func (q *queue) size() int { return len(q.onTime) + len(q.late) }

// add puts a piece in its place.
func (q *queue) add(p Piece, now time.Time) {
	if p.isLate(now) {
		q.late = insert(q.late, p, compareLate)
		return
	}
	q.onTime = insert(q.onTime, p, compareOnTime)
}

func insert(pieces []Piece, p Piece, compare func(a, b Piece) int) []Piece {
	at, _ := slices.BinarySearchFunc(pieces, p, compare)
	return slices.Insert(pieces, at, p)
}

// age moves pieces that can no longer meet their objectives.
func (q *queue) age(now time.Time) {
	if !slices.ContainsFunc(q.onTime, func(p Piece) bool { return p.isLate(now) }) {
		return
	}
	kept := make([]Piece, 0, len(q.onTime))
	for _, p := range q.onTime {
		if p.isLate(now) {
			q.late = insert(q.late, p, compareLate)
		} else {
			kept = append(kept, p)
		}
	}
	q.onTime = kept
}

// displace moves stages of requests behind the others if better classes would start
// too late because of them. Without it an overload that lasts makes all classes late
// alike: each piece waits until its latest start, whatever its class.
func (q *queue) displace(spec Spec, perSecond float64, now time.Time) {
	if !q.isOverloaded(spec, perSecond, now) {
		return
	}
	kept := make([]Piece, 0, len(q.onTime))
	for _, p := range q.onTime {
		for p.startsLate(len(kept), spec, perSecond, now) {
			victim, ok := lowest(kept, p.Class)
			if !ok {
				break
			}
			q.displaced = q.displaced.with(victim.Class, now)
			isOfVictim := func(other Piece) bool { return other.Request == victim.Request && other.Stage == victim.Stage }
			for _, other := range kept {
				if isOfVictim(other) {
					q.late = insert(q.late, other, compareLate)
				}
			}
			kept = slices.DeleteFunc(kept, isOfVictim)
		}
		kept = append(kept, p)
	}
	q.onTime = kept
}

// isOverloaded reports whether a piece would start too late in the order of the queue.
func (q *queue) isOverloaded(spec Spec, perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		return false
	}
	for ahead, p := range q.onTime {
		if p.startsLate(ahead, spec, perSecond, now) {
			return true
		}
	}
	return false
}

// startsLate reports whether a piece starts after its latest start if some others go
// before it, as many at a time as a call has.
func (p Piece) startsLate(ahead int, spec Spec, perSecond float64, now time.Time) bool {
	whole := ahead - ahead%max(1, spec.Size)
	return p.isLate(now.Add(time.Duration(float64(whole) / perSecond * float64(time.Second))))
}

// lowest returns the last piece of the lowest class below a class.
func lowest(pieces []Piece, c Class) (Piece, bool) {
	at := -1
	for i, p := range pieces {
		if p.compare(c) > 0 && (at < 0 || p.compare(pieces[at].Class) >= 0) {
			at = i
		}
	}
	if at < 0 {
		return Piece{}, false
	}
	return pieces[at], true
}

// ahead estimates how many pieces are made before one of a class with a latest start
// that is queued now.
func (q *queue) ahead(start time.Time, c Class, now time.Time) float64 {
	// The identity sorts behind those of pieces with the same start.
	probe := Piece{Identity: Identity{Request: "\uffff"}, Start: start, Class: c}
	switch {
	case probe.isLate(now):
		return float64(q.size())
	case q.displaced.covers(c, now):
		return lateWaitFactor * float64(q.size())
	}
	place, _ := slices.BinarySearchFunc(q.onTime, probe, compareOnTime)
	return float64(place)
}

// first returns the most urgent pieces.
func (q *queue) first(most int) []Piece {
	pieces := slices.Clone(q.onTime[:min(most, len(q.onTime))])
	return append(pieces, q.late[:min(most-len(pieces), len(q.late))]...)
}

// remove takes pieces out.
func (q *queue) remove(pieces []Piece) {
	taken := make(map[Identity]bool, len(pieces))
	for _, p := range pieces {
		taken[p.Identity] = true
	}
	isTaken := func(p Piece) bool { return taken[p.Identity] }
	q.onTime = slices.DeleteFunc(q.onTime, isTaken)
	q.late = slices.DeleteFunc(q.late, isTaken)
}

// removeRequest takes the pieces of a request out.
func (q *queue) removeRequest(request string) {
	isOfRequest := func(p Piece) bool { return p.Request == request }
	q.onTime = slices.DeleteFunc(q.onTime, isOfRequest)
	q.late = slices.DeleteFunc(q.late, isOfRequest)
}

// compareOnTime orders pieces that can be on time by their latest start, with a
// bias for better classes.
func compareOnTime(a, b Piece) int {
	return cmp.Or(a.biasedStart().Compare(b.biasedStart()), compareIdentity(a, b))
}

// compareLate orders late pieces by class and deadline. They go after the others:
// a late piece that went first would make another one late as well.
func compareLate(a, b Piece) int {
	return cmp.Or(a.compare(b.Class), a.Deadline.Compare(b.Deadline), compareIdentity(a, b))
}
