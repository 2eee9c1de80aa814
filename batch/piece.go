// Package batch groups the pieces of stages into calls to stage servers. Each pool has
// one queue: whenever one of its servers is idle, the most urgent pieces are sent to it
// in one call, as many as the size of a call and the server's result memory allow.
package batch

import (
	"cmp"
	"time"
)

// Identity identifies a piece. A piece that is computed again has the same identity and
// an equivalent result.
type Identity struct {
	RequestID string
	Stage     int
	Number    int
}

// InputSize is the size of the inputs that come from one data centre.
type InputSize struct {
	DataCentre string
	Bytes      int64
}

// Class is the priority of a request: first the rank of its workspace's class, then
// that of its route. 0 is served first. Both are needed: Rank orders workspaces, and
// RouteRank orders the routes, such as chat and draft, of workspaces of equal rank.
type Class struct {
	Rank      int
	RouteRank int
}

// Compare returns a negative number if the class is served before another one.
func (c Class) Compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Rank, other.Rank), cmp.Compare(c.RouteRank, other.RouteRank))
}

// Piece is a part of a stage of a request.
type Piece struct {
	Identity
	Pool string
	// Key identifies the source data of a piece whose stage has no inputs.
	Key string
	// Inputs are the handles of the results that the piece reads.
	Inputs []string
	// ResultBytes is the approximate size of its result.
	ResultBytes int64
	Class
	// LatestStart is the latest start with which the request meets its objective.
	LatestStart time.Time
	// Deadline is the deadline of the request.
	Deadline time.Time
	// AnswerBy is when the instance of the client gives its final answers, zero if it isn't
	// shutting down. It doesn't change the order of the pieces.
	AnswerBy time.Time
	// PreferredDataCentre is the data centre that will use a large result. It is empty
	// if the data centre does not matter.
	PreferredDataCentre string
	// InputSizes are the sizes of the inputs of all pieces of the stage, by data centre.
	InputSizes []InputSize
	// AvoidServer is the ID of a server that failed or delayed the piece.
	AvoidServer string
	// IsTrial is set for a piece that a server of a version that is tried out may compute.
	IsTrial  bool
	QueuedAt time.Time
}

const (
	// Among pieces that can still meet their objectives, the latest start of a piece is
	// treated as rankBias later for each Rank below the highest, and as routeRankBias
	// later for each RouteRank below the highest.
	rankBias      = 150 * time.Millisecond
	routeRankBias = 75 * time.Millisecond
)

// isLate reports whether the request can no longer meet its objective.
func (p Piece) isLate(now time.Time) bool { return now.After(p.LatestStart) }

// isCutShort reports whether the instance of the client gives its final answers before a
// piece that is complete at a time is of use.
func (p Piece) isCutShort(at time.Time) bool { return !p.AnswerBy.IsZero() && at.After(p.AnswerBy) }

// WithAnswerBy returns the piece of a request whose instance gives its final answers at a
// time.
func (p Piece) WithAnswerBy(at time.Time) Piece {
	p.AnswerBy = at
	return p
}

func (p Piece) biasedStart() time.Time {
	return p.LatestStart.Add(time.Duration(p.Rank)*rankBias + time.Duration(p.RouteRank)*routeRankBias)
}

// compareIdentity orders pieces so that those of a request stay together.
func compareIdentity(a, b Piece) int {
	return cmp.Or(cmp.Compare(a.RequestID, b.RequestID), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Number, b.Number))
}
