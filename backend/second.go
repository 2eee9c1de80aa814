package backend

import (
	"slices"
	"time"
)

const (
	// maxOccupied is the share of the limits of a pool's warm servers in use above which
	// no second send of a request is started there.
	maxOccupied = 0.7
	// secondLimitDivisor leaves half of the limit of a server to first sends.
	secondLimitDivisor = 2
)

// ChooseSecond returns the server for the second send of a request whose first one, to a
// given server, is late. It is warm, not suspected of being cold, at most half used, and
// none of those to avoid. A server in another data centre is preferred if it isn't
// expected to take longer than the best one in the same. There is none while the pool is
// short of capacity.
func ChooseSecond(servers []Server, first Server, avoid []string, now time.Time) (Server, bool) {
	permission := Permission{WarmLimitDivisor: secondLimitDivisor}
	inFlight, limits := 0, 0
	var near, far *Server
	for i := range servers {
		s := &servers[i]
		if s.Warmth != Warm || s.IsLeaving() {
			continue
		}
		inFlight, limits = inFlight+s.InFlight, limits+s.CurrentLimit
		if s.Name == first.Name || s.Address == first.Address || s.ServiceTime == 0 || !s.suspectedSince.IsZero() ||
			!s.HasFreeSlot(0, permission, now) || slices.Contains(avoid, s.Name) {
			continue
		}
		best := &near
		if s.DataCentre != first.DataCentre {
			best = &far
		}
		if *best == nil || expectedTime(s, now) < expectedTime(*best, now) {
			*best = s
		}
	}
	switch {
	case float64(inFlight) > maxOccupied*float64(limits):
		return Server{}, false
	case far != nil && (near == nil || expectedTime(far, now) <= expectedTime(near, now)):
		return *far, true
	case near != nil:
		return *near, true
	}
	return Server{}, false
}

// ReserveSecond reserves a slot for the second send of a request (see ChooseSecond).
func (c Commands) ReserveSecond(pool string, first Server, avoid []string, now time.Time) (Server, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := ChooseSecond(t.pools[pool], first, avoid, now)
	if !ok {
		return Server{}, false
	}
	s = s.WithReserved()
	t.setServer(s)
	return s, true
}

// ReleaseCancelled frees a slot whose step was cancelled some time after it was sent,
// because its result was no longer needed.
func (c Commands) ReleaseCancelled(name string, elapsed time.Duration) {
	c.update(name, func(s Server) Server { return s.WithCancelled(elapsed) })
}

// WithCancelled returns the server after a step was cancelled some time after it was sent.
// The step would have taken longer than that, which raises a shorter service time; it is
// neither a success nor a failure.
func (s Server) WithCancelled(elapsed time.Duration) Server {
	s.InFlight--
	if s.ServiceTime > 0 && elapsed > s.ServiceTime {
		s.ServiceTime = updateAverage(s.ServiceTime, elapsed)
	}
	return s
}
