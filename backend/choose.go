package backend

import (
	"slices"
	"time"
)

// Rights are what an instance may dispatch to a pool at the moment.
type Rights struct {
	// Cold allows work for servers that are not warm.
	Cold bool
	// WarmShare is the divisor of the limits of warm servers: 1 for all of it, 2
	// for half, 0 for none.
	WarmShare int
}

// Limit returns how many steps a server may have in flight under the rights.
func (s Server) Limit(r Rights) int {
	if s.IsLeaving() {
		return 0
	}
	if s.Warmth != Warm || !s.doubtedSince.IsZero() {
		switch {
		case !r.Cold:
			return 0
		case !s.doubtedSince.IsZero():
			return min(s.Allowed, s.ColdInFlight)
		}
		return s.Allowed
	}
	if r.WarmShare == 0 {
		return 0
	}
	return max(1, s.Allowed/r.WarmShare)
}

// IsFree reports whether a server may get one more step of a rank.
func (s Server) IsFree(rank int, r Rights, now time.Time) bool {
	return rank <= s.LowestRank && s.InFlight < s.Limit(r) && !now.Before(s.blockedUntil)
}

// ExpectedTime estimates how long one more step takes at the server. The
// smoothed time already holds what other steps cost at the usual load; the
// second factor spreads work before a server is full.
func (s Server) ExpectedTime() time.Duration {
	return s.ServiceTime + s.ServiceTime*time.Duration(s.InFlight)/time.Duration(max(1, s.Allowed))
}

// maxTimeAge is the age at which a measured time counts as unknown for
// refusals. Refused steps bring no measurement, so that a pool that was slow
// once would otherwise refuse for ever.
const maxTimeAge = 5 * time.Second

// isMeasured reports whether the time of a step is known and not too old.
func (s Server) isMeasured(now time.Time) bool {
	return s.ServiceTime > 0 && now.Sub(s.measuredAt) <= maxTimeAge
}

// LikelyTime is a time within which nearly all steps succeed at the server, 0 if
// none is known: for evenly spread times the mean and twice the mean distance
// from it.
func (s Server) LikelyTime(now time.Time) time.Duration {
	if !s.isMeasured(now) {
		return 0
	}
	return s.ServiceTime + 2*s.Deviation
}

// Choose returns the free server with the shortest expected time. It takes one
// of the avoided servers only if no other is free.
func Choose(servers []Server, rank int, avoid []string, r Rights, now time.Time) (Server, bool) {
	best, bestAvoided := -1, false
	for i := range servers {
		s := &servers[i]
		// The first comparison spares most of the work in a busy pool.
		if s.InFlight >= s.Allowed || !s.IsFree(rank, r, now) {
			continue
		}
		avoided := slices.Contains(avoid, s.Name)
		if best < 0 || isBetter(s, &servers[best], avoided, bestAvoided) {
			best, bestAvoided = i, avoided
		}
	}
	if best < 0 {
		return Server{}, false
	}
	return servers[best], true
}

func isBetter(s, best *Server, avoided, bestAvoided bool) bool {
	if avoided != bestAvoided {
		return bestAvoided
	}
	a, b := s.ExpectedTime(), best.ExpectedTime()
	if a != b {
		return a < b
	}
	return s.InFlight < best.InFlight
}

// Capacity sums up what a pool can do under some rights.
type Capacity struct {
	// Slots is the number of steps that may be in flight.
	Slots int
	// Fastest is the shortest service time, 0 if that of a server is unknown:
	// it may be the fastest.
	Fastest time.Duration
	// PerSecond is the number of steps a second at the known service times.
	PerSecond float64
}

// longBlock is the block from which on a server counts as down: others may be
// better placed to serve its pool.
const longBlock = 500 * time.Millisecond

// CapacityOf returns the capacity of some servers for steps of a rank.
func CapacityOf(servers []Server, rank int, r Rights, now time.Time) Capacity {
	var c Capacity
	unknown := false
	for i := range servers {
		s := &servers[i]
		limit := s.Limit(r)
		if limit == 0 || rank > s.LowestRank || s.blockedUntil.Sub(now) > longBlock {
			continue
		}
		c.Slots += limit
		unknown = unknown || !s.isMeasured(now)
		if s.ServiceTime <= 0 {
			continue
		}
		c.PerSecond += float64(limit) / s.ServiceTime.Seconds()
		if c.Fastest == 0 || s.ServiceTime < c.Fastest {
			c.Fastest = s.ServiceTime
		}
	}
	if unknown {
		c.Fastest = 0
	}
	return c
}
