// Package fleet keeps the backend servers that the platform's store lists, the
// data centres that operators have evacuated, and decides which servers may get
// new work.
package fleet

import "time"

// Server is a backend server as its entry in the store describes it. It is an
// immutable value.
type Server struct {
	// ID names the server; a restarted one may keep it.
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Slots      int
	IsDraining bool
	// ColdUntil is when the cold start that the server reports will be over.
	ColdUntil time.Time
	// Born is when the server says it was started, in Unix milliseconds; 0 if it
	// doesn't say.
	Born int64
	// Offset is that of the entry.
	Offset uint64
	// lapsedAt is when the entry disappeared, zero while it is there.
	lapsedAt time.Time
}

// WithLapse returns the server after its entry disappeared.
func (s Server) WithLapse(at time.Time) Server {
	s.lapsedAt = at
	return s
}

// IsCold reports whether the server says that it is in cold start.
func (s Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// lapseGrace is how long a server whose entry lapsed while the store was away
// still gets work. Servers that live are listed again within two seconds.
const lapseGrace = 1700 * time.Millisecond

// isGone reports whether the server is to be taken as gone.
func (s Server) isGone(now time.Time) bool {
	return !s.lapsedAt.IsZero() && now.Sub(s.lapsedAt) >= lapseGrace
}
