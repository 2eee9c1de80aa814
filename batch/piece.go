// Package batch makes results of stages in calls of many pieces. Each pool has
// one queue: whenever one of its servers is idle, the most urgent pieces go to it
// in one call, as many as the call and the server's room for results allow.
package batch

import (
	"cmp"
	"time"
)

// Identity names a piece. A piece may be made again; its results are alike.
type Identity struct {
	Request string
	Stage   int
	Number  int
}

// Inflow is a number of bytes that come from a data centre.
type Inflow struct {
	DataCentre string
	Bytes      int64
}

// Class is how urgent a request is among others: by the rank of its workspace's class,
// then by that of its route. 0 is served first. Where workspaces have ranks, those of
// routes alone would say nothing, and those of workspaces don't tell a draft from a
// chat.
type Class struct {
	Rank      int
	RouteRank int
}

// compare is negative if the class goes before another one.
func (c Class) compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Rank, other.Rank), cmp.Compare(c.RouteRank, other.RouteRank))
}

// Piece is a part of a stage of a request.
type Piece struct {
	Identity
	Pool string
	// Key is what a piece of a stage without inputs is made from.
	Key string
	// Inputs are the handles of the results that the piece needs.
	Inputs []string
	// Bytes is the approximate size of its result.
	Bytes int64
	Class
	// Start is the latest start that lets the request meet its objective.
	Start time.Time
	// Deadline is the end of the time that the request has.
	Deadline time.Time
	// Near is the data centre in which a large result will be used, empty if its
	// place does not matter.
	Near string
	// Inflow is what all pieces of the stage fetch together.
	Inflow []Inflow
	// Avoid is a server that failed or delays the piece.
	Avoid string
	// QueuedAt is when the piece was queued.
	QueuedAt time.Time
}

// rankBias and routeRankBias are by how much a class goes before the next one while all
// can still meet their objectives.
const (
	rankBias      = 150 * time.Millisecond
	routeRankBias = 75 * time.Millisecond
)

// isLate reports whether the request can no longer meet its objective.
func (p Piece) isLate(now time.Time) bool { return now.After(p.Start) }

func (p Piece) biasedStart() time.Time {
	return p.Start.Add(time.Duration(p.Rank)*rankBias + time.Duration(p.RouteRank)*routeRankBias)
}

// compareIdentity keeps the pieces of a request together.
func compareIdentity(a, b Piece) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Number, b.Number))
}
