package backend

import (
	"slices"
	"time"
)

// Permission is the current permission of an instance to dispatch to a pool.
type Permission struct {
	// AllowCold allows steps for servers that are not warm.
	AllowCold bool
	// ProbesCold gives steps to servers that are not warm however slow they are expected to
	// be, so that they become warm. It is for the only instance that dispatches to a pool:
	// the probes of several add up.
	ProbesCold bool
	// WarmLimitDivisor is the divisor of the limits of warm servers: 1 for the whole
	// limit, 2 for half of it. 0 allows no steps for warm servers.
	WarmLimitDivisor int
}

// Limit returns the number of steps that the instance may have in flight on the
// server under the permission.
func (s Server) Limit(p Permission) int {
	if s.IsLeaving() {
		return 0
	}
	if s.Warmth != Warm || !s.unconfirmedSince.IsZero() {
		switch {
		case !p.AllowCold:
			return 0
		case !s.unconfirmedSince.IsZero():
			return min(s.CurrentLimit, s.ColdInFlight)
		}
		return s.CurrentLimit
	}
	if p.WarmLimitDivisor == 0 {
		return 0
	}
	limit := max(1, s.CurrentLimit/p.WarmLimitDivisor)
	if !s.suspectedSince.IsZero() {
		return min(limit, s.ColdInFlight)
	}
	return limit
}

// HasFreeSlot reports whether the server can take one more step of a rank.
func (s Server) HasFreeSlot(rank int, p Permission, now time.Time) bool {
	return rank <= s.LowestRank && s.InFlight < s.Limit(p) && !now.Before(s.backoffUntil) && !now.Before(s.PausedUntil) && hasColdTurn(&s, now)
}

// expectedTime estimates the duration of one more step on the server. It takes a pointer
// because the copies of servers took half of the time of Choose.
func expectedTime(s *Server, now time.Time) time.Duration { return assumedTime(s, s.ServiceTime, now) }

// assumedTime is expectedTime for an assumed service time. The smoothed service time
// already includes the effect of other steps at typical load; the second term spreads
// steps over servers before one is full. The ratio adjusts it if the server reports
// another slowness now than while it was measured.
func assumedTime(s *Server, serviceTime time.Duration, now time.Time) time.Duration {
	expected := serviceTime + serviceTime*time.Duration(s.InFlight)/time.Duration(max(1, s.CurrentLimit))
	if ratio := s.speed.Ratio(now); ratio != 1 {
		return time.Duration(float64(expected) * ratio)
	}
	return expected
}

// maxServiceTimeAge is the age above which a measured service time is ignored when
// deciding whether to refuse a step. Refused steps yield no measurement, so a pool
// that was slow once would otherwise refuse all steps forever.
const maxServiceTimeAge = 5 * time.Second

// hasRecentServiceTime reports whether the service time is known and not outdated.
func (s Server) hasRecentServiceTime(now time.Time) bool {
	return s.ServiceTime > 0 && now.Sub(s.measuredAt) <= maxServiceTimeAge
}

// ServiceTimeBound estimates an upper bound of the service time, or returns 0 if it
// is unknown. The mean plus twice the mean deviation covers all values of a uniform
// distribution.
func (s Server) ServiceTimeBound(now time.Time) time.Duration {
	if !s.hasRecentServiceTime(now) {
		return 0
	}
	return s.ServiceTime + 2*s.Deviation
}

// Choose returns the available server with the shortest expected time. It returns
// one of the servers to avoid only if no other is available.
func Choose(servers []Server, rank int, avoid []string, p Permission, now time.Time) (Server, bool) {
	best, bestAvoided := -1, false
	for i := range servers {
		s := &servers[i]
		// The first comparison is cheap and skips most servers of a busy pool.
		if s.InFlight >= s.CurrentLimit || !s.HasFreeSlot(rank, p, now) {
			continue
		}
		avoided := slices.Contains(avoid, s.Name)
		if best < 0 || isBetter(s, &servers[best], avoided, bestAvoided, p, now) {
			best, bestAvoided = i, avoided
		}
	}
	if best < 0 {
		return Server{}, false
	}
	return servers[best], true
}

// probeInterval is how long after its last measured step an idle server that isn't warm
// gets another one, however slow it is expected to be.
const probeInterval = 500 * time.Millisecond

// needsProbe reports whether a server that isn't warm yet should get a step to warm up.
// Its measured time may be that of a stall or of its cold start, and while the other
// servers have room for all steps, no step would show that it is faster now. Without
// recent reports it can't become warm.
func needsProbe(s *Server, p Permission, now time.Time) bool {
	return p.ProbesCold && s.CurrentLimit < s.MaxInFlight && s.InFlight == 0 && s.ServiceTime > 0 && now.Sub(s.measuredAt) >= probeInterval &&
		now.Sub(s.reportedAt) <= maxReportAge && !isInColdStart(s, now)
}

// isBetter reports whether s is preferred over best. It prefers, in this order, a
// server that is not to be avoided, one that needs a probe, a shorter expected time, one
// that isn't in cold start, and fewer steps in flight. A server in cold start whose service
// time is unknown is expected to be as slow as the other one: otherwise all instances would
// prefer it.
func isBetter(s, best *Server, avoided, bestAvoided bool, p Permission, now time.Time) bool {
	if avoided != bestAvoided {
		return bestAvoided
	}
	if isProbe, isBestProbe := needsProbe(s, p, now), needsProbe(best, p, now); isProbe != isBestProbe {
		return isProbe
	}
	a, b := expectedTime(s, now), expectedTime(best, now)
	switch {
	case s.ServiceTime == 0 && isInColdStart(s, now):
		a = assumedTime(s, best.ServiceTime, now)
	case best.ServiceTime == 0 && isInColdStart(best, now):
		b = assumedTime(best, s.ServiceTime, now)
	}
	if a != b {
		return a < b
	}
	if isCold, isBestCold := isInColdStart(s, now), isInColdStart(best, now); isCold != isBestCold {
		return isBestCold
	}
	return s.InFlight < best.InFlight
}

// Capacity is the capacity of a pool for steps of a rank under a permission.
type Capacity struct {
	// Slots is the number of steps that may be in flight simultaneously.
	Slots int
	// MinServiceTime is the shortest service time, or 0 if that of any server is
	// unknown, since that server may be the fastest.
	MinServiceTime time.Duration
	// StepsPerSecond is the throughput of the servers with a known service time, in
	// steps per second.
	StepsPerSecond float64
}

// maxCapacityBackoff is the remaining backoff above which a server doesn't count
// towards the capacity of its pool. If no other server is left, this instance
// refuses the steps, so that other instances may serve them.
const maxCapacityBackoff = 500 * time.Millisecond

// CapacityOf returns the capacity of servers for steps of a rank.
func CapacityOf(servers []Server, rank int, p Permission, now time.Time) Capacity {
	var c Capacity
	unknown := false
	for i := range servers {
		s := &servers[i]
		limit := s.Limit(p)
		if limit == 0 || rank > s.LowestRank || s.backoffUntil.Sub(now) > maxCapacityBackoff {
			continue
		}
		c.Slots += limit
		unknown = unknown || !s.hasRecentServiceTime(now)
		if s.ServiceTime <= 0 {
			continue
		}
		c.StepsPerSecond += float64(limit) / s.ServiceTime.Seconds()
		if c.MinServiceTime == 0 || s.ServiceTime < c.MinServiceTime {
			c.MinServiceTime = s.ServiceTime
		}
	}
	if unknown {
		c.MinServiceTime = 0
	}
	return c
}
