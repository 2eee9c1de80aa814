// Package fleet keeps the backend servers that are listed in the platform's store
// and the data centres that operators have evacuated, and decides which servers may
// get new work.
package fleet

import (
	"time"

	"lycheecrank.example/feed"
)

// Server is a backend server as described by its entry in the store. It is an
// immutable value.
type Server struct {
	// ID identifies the server; it may stay the same after a restart.
	ID         string
	Pool       string
	Address    string
	DataCentre string
	// Version is the version of the software that the server runs, empty if it reports
	// none.
	Version    string
	Slots      int
	IsDraining bool
	// ColdUntil is the end of the cold start that the server reports: the time after its
	// start in which it should get only a few requests.
	ColdUntil time.Time
	// StartedUnixMilli is the start time that the server reports, in Unix
	// milliseconds; 0 if it reports none.
	StartedUnixMilli int64
	// EntryPosition is the position of the entry in its stream.
	EntryPosition feed.Position
	// lapsedAt is when the entry lapsed, zero while it exists. An entry lapses when the
	// store drops it because the server could not renew it while the store was
	// unavailable.
	lapsedAt time.Time
}

// Process returns the process that the entry describes.
func (s Server) Process() Process {
	return Process{ServerID: s.ID, Address: s.Address, StartedUnixMilli: s.StartedUnixMilli}
}

// WithLapse returns the server with the time at which its entry lapsed.
func (s Server) WithLapse(at time.Time) Server {
	s.lapsedAt = at
	return s
}

// IsCold reports whether the server is in cold start, according to its entry.
func (s Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// lapseGracePeriod is how long a server still gets work after its entry lapsed while the
// store was unavailable. Running servers are listed again within two seconds of the lapse.
// A failed server must get work for less than two seconds, so the period is slightly
// shorter; a running server that is listed again only after it gets no work in between.
const lapseGracePeriod = 1700 * time.Millisecond

// isGone reports whether the server counts as gone, lapseGracePeriod after its entry
// lapsed.
func (s Server) isGone(now time.Time) bool {
	return !s.lapsedAt.IsZero() && now.Sub(s.lapsedAt) >= lapseGracePeriod
}
