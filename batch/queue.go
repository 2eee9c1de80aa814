package batch

import (
	"cmp"
	"slices"
	"time"
)

// lookAhead is the number of waiting pieces, most urgent first, from which a call is
// filled. The others have to wait in any case.
const lookAhead = 160

// queue holds the waiting pieces of a pool in order of urgency.
type queue struct {
	// onTime pieces can still meet their objectives, late ones cannot.
	onTime []Piece
	late   []Piece
	// displaced is the highest class that was displaced in the current overload.
	displaced displacement
}

// displacement records when pieces of a class and of lower ones were last moved to the
// late pieces in favour of higher classes.
type displacement struct {
	class Class
	at    time.Time
}

// displacementLife is how long an overload is assumed to last after the last displaced
// piece: about the time of one call, after which the order of the queue is computed anew.
const displacementLife = 500 * time.Millisecond

// covers reports whether a new piece of a class would be displaced.
func (d displacement) covers(c Class, now time.Time) bool {
	return !d.at.IsZero() && c.Compare(d.class) >= 0 && now.Sub(d.at) <= displacementLife
}

// withClass returns the displacement after a piece of a class was displaced.
func (d displacement) withClass(c Class, now time.Time) displacement {
	if d.covers(c, now) {
		return displacement{d.class, now}
	}
	return displacement{c, now}
}

func (q *queue) isEmpty() bool { return len(q.onTime) == 0 && len(q.late) == 0 }

func (q *queue) size() int { return len(q.onTime) + len(q.late) }

// add inserts a piece in order of urgency.
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

// moveLate moves pieces that can no longer meet their objectives to the late ones.
func (q *queue) moveLate(now time.Time) {
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

// displace moves stages of requests to the late pieces if they would make pieces of
// higher classes start too late. Without it a lasting overload delays all classes
// alike: each piece waits until its latest start, whatever its class.
func (q *queue) displace(spec Spec, perSecond float64, now time.Time) {
	if !q.isOverloaded(spec, perSecond, now) {
		return
	}
	kept := make([]Piece, 0, len(q.onTime))
	for _, p := range q.onTime {
		for p.startsLate(len(kept), spec, perSecond, now) {
			lowest, ok := lowestClassPiece(kept, p.Class)
			if !ok {
				break
			}
			q.displaced = q.displaced.withClass(lowest.Class, now)
			isOfLowest := func(other Piece) bool { return other.RequestID == lowest.RequestID && other.Stage == lowest.Stage }
			for _, other := range kept {
				if isOfLowest(other) {
					q.late = insert(q.late, other, compareLate)
				}
			}
			kept = slices.DeleteFunc(kept, isOfLowest)
		}
		kept = append(kept, p)
	}
	q.onTime = kept
}

// isOverloaded reports whether a piece would start too late in the current order.
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

// startsLate reports whether a piece starts after its latest start if a number of
// pieces are served before it in full calls.
func (p Piece) startsLate(ahead int, spec Spec, perSecond float64, now time.Time) bool {
	whole := ahead - ahead%max(1, spec.MaxPieces)
	return p.isLate(now.Add(time.Duration(float64(whole) / perSecond * float64(time.Second))))
}

// lowestClassPiece returns the last piece of the lowest class below a class.
func lowestClassPiece(pieces []Piece, c Class) (Piece, bool) {
	at := -1
	for i, p := range pieces {
		if p.Compare(c) > 0 && (at < 0 || p.Compare(pieces[at].Class) >= 0) {
			at = i
		}
	}
	if at < 0 {
		return Piece{}, false
	}
	return pieces[at], true
}

// piecesAhead estimates how many pieces are computed before one with a latest start and
// a class that is queued now.
func (q *queue) piecesAhead(start time.Time, c Class, now time.Time) float64 {
	// This identity sorts after those of all pieces with the same start.
	probe := Piece{Identity: Identity{RequestID: "\uffff"}, LatestStart: start, Class: c}
	switch {
	case probe.isLate(now):
		return float64(len(q.onTime) + q.lateOfClass(c))
	case q.displaced.covers(c, now):
		return lateWaitFactor * float64(len(q.onTime)+q.lateOfClass(c))
	}
	position, _ := slices.BinarySearchFunc(q.onTime, probe, compareOnTime)
	return float64(position)
}

// lateOfClass returns the number of late pieces of a class and of the higher ones.
func (q *queue) lateOfClass(c Class) int {
	position, _ := slices.BinarySearchFunc(q.late, c, func(p Piece, c Class) int {
		if p.Compare(c) <= 0 {
			return -1
		}
		return 1
	})
	return position
}

// mostUrgent returns the most urgent pieces in order.
func (q *queue) mostUrgent(limit int) []Piece {
	pieces := slices.Clone(q.onTime[:min(limit, len(q.onTime))])
	return append(pieces, q.late[:min(limit-len(pieces), len(q.late))]...)
}

// remove removes pieces by their identity.
func (q *queue) remove(pieces []Piece) {
	removed := make(map[Identity]bool, len(pieces))
	for _, p := range pieces {
		removed[p.Identity] = true
	}
	isRemoved := func(p Piece) bool { return removed[p.Identity] }
	q.onTime = slices.DeleteFunc(q.onTime, isRemoved)
	q.late = slices.DeleteFunc(q.late, isRemoved)
}

// removeRequest removes the pieces of a request.
func (q *queue) removeRequest(request string) {
	isOfRequest := func(p Piece) bool { return p.RequestID == request }
	q.onTime = slices.DeleteFunc(q.onTime, isOfRequest)
	q.late = slices.DeleteFunc(q.late, isOfRequest)
}

// setAnswerBy records when the instance of a request gives its final answers.
func (q *queue) setAnswerBy(request string, at time.Time) {
	for _, pieces := range [][]Piece{q.onTime, q.late} {
		for n, p := range pieces {
			if p.RequestID == request {
				pieces[n] = p.WithAnswerBy(at)
			}
		}
	}
}

// compareOnTime orders pieces that can be on time by their latest start, with a bias
// for higher classes.
func compareOnTime(a, b Piece) int {
	return cmp.Or(a.biasedStart().Compare(b.biasedStart()), compareIdentity(a, b))
}

// compareLate orders late pieces by class and deadline. They are served after the
// others, because a late piece that is served first makes another one late as well.
func compareLate(a, b Piece) int {
	return cmp.Or(a.Compare(b.Class), a.Deadline.Compare(b.Deadline), compareIdentity(a, b))
}
