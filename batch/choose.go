package batch

import "time"

const (
	// crossingPenalty is the delay that is accepted for a result of penaltyBytes
	// to be made in the data centre that uses it.
	crossingPenalty = 120 * time.Millisecond
	penaltyBytes    = 1 << 20
	// inputPenalty is the delay that is accepted for inputs of penaltyBytes to be
	// fetched within a data centre.
	inputPenalty = 6 * time.Millisecond
	// bulkyBytes is the size from which the place of a result matters.
	bulkyBytes = 256 << 10
)

// busyMargin is what a busy server must be better than an idle one by for a piece to
// wait for it. The speeds of servers differ by a few percent from call to call.
const busyMargin = 25 * time.Millisecond

// maxHeldBack is the number of pieces that may wait for a busy server, one after the
// other, before an idle one is left idle.
const maxHeldBack = 48

// Call is a number of pieces on their way to a server.
type Call struct {
	Number uint64
	Server Place
	Pool   string
	Pieces []Piece
	SentAt time.Time
	// Usual is the time that the pool declares for such a call, Expected what this
	// server is expected to take.
	Usual    time.Duration
	Expected time.Duration
}

const (
	// limitSlack and limitFactor bound a call by its expected time: a server that
	// takes longer is taken as gone and its pieces are made elsewhere. Of 4,700 calls
	// on days with trouble 10 took more than twice the expected time.
	limitSlack  = 350 * time.Millisecond
	limitFactor = 2
)

// Limit returns the time after which the call is given up.
func (c Call) Limit() time.Duration { return limitFactor*c.Expected + limitSlack }

// Bytes returns the room that the results of the call take.
func (c Call) Bytes() int64 {
	total := int64(0)
	for _, p := range c.Pieces {
		total += p.Bytes
	}
	return total
}

// choose returns the next call of a pool, or false if no piece should be sent
// now. The pieces are the most urgent ones of those that wait, in their order.
func choose(spec Spec, servers []Server, waiting []Piece, size int, now time.Time) (Call, bool) {
	idle := 0
	for _, s := range servers {
		if s.Calls < spec.Slots && !s.isBlocked(now) {
			idle++
		}
	}
	if idle == 0 {
		return Call{}, false
	}
	for k, p := range waiting {
		if k >= maxHeldBack {
			break
		}
		s, ok := bestServer(spec, servers, p, now)
		if !ok || s.Calls >= spec.Slots {
			continue
		}
		pieces := fill(spec, s, p, waiting, share(spec, size, idle), now)
		usual := spec.duration(len(pieces))
		return Call{
			Server: s.Place, Pool: spec.Pool, Pieces: pieces, SentAt: now,
			Usual: usual, Expected: s.expected(spec, len(pieces), now),
		}, true
	}
	return Call{}, false
}

// minShare is the smallest number of pieces by which waiting pieces are split
// among idle servers. Smaller calls cost more of the pool than they save time.
const minShare = 4

// share returns the largest number of pieces for one call if some servers are
// idle.
func share(spec Spec, waiting, idle int) int {
	each := (waiting + idle - 1) / idle
	return min(spec.Size, max(minShare, each))
}

// bestServer returns the server that is expected to end a piece first. A busy
// one may be best: then the piece waits for it.
func bestServer(spec Spec, servers []Server, p Piece, now time.Time) (Server, bool) {
	best, bestCost := -1, time.Duration(0)
	for i, s := range servers {
		if s.isBlocked(now) || s.ID == p.Avoid && len(servers) > 1 || !s.hasRoom(spec, p.Bytes, now) {
			continue
		}
		cost := s.expected(spec, 1, now) + penalty(p, s)
		if s.Calls >= spec.Slots {
			cost += s.untilFree(now) + busyMargin
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Server{}, false
	}
	return servers[best], true
}

// penalty returns the delay that is accepted to spare what a piece would move
// between data centres if a server made it.
func penalty(p Piece, s Server) time.Duration {
	cost := 0.0
	if p.Near != "" && p.Near != s.DataCentre && p.Bytes >= bulkyBytes {
		cost += float64(crossingPenalty) * float64(p.Bytes)
	}
	for _, f := range p.Inflow {
		if f.DataCentre != s.DataCentre {
			cost += float64(inputPenalty) * float64(f.Bytes)
		}
	}
	return time.Duration(cost / penaltyBytes)
}

// smallPenalty is the penalty up to which a piece fills up the call of another
// one.
const smallPenalty = 25 * time.Millisecond

// fill returns the pieces of a call that begins with one piece: all that may go
// to the server in order of urgency, and the rest of a request that has begun.
func fill(spec Spec, s Server, first Piece, waiting []Piece, limit int, now time.Time) []Piece {
	room := spec.usable() - s.taken(now) - first.Bytes
	pieces := []Piece{first}
	add := func(p Piece) {
		if p.Identity != first.Identity && p.Bytes <= room && p.Avoid != s.ID {
			pieces = append(pieces, p)
			room -= p.Bytes
		}
	}
	for _, p := range waiting {
		if len(pieces) < spec.Size && p.Request == first.Request && p.Stage == first.Stage {
			add(p)
		}
	}
	for _, p := range waiting {
		if len(pieces) >= limit {
			break
		}
		if (p.Request != first.Request || p.Stage != first.Stage) && penalty(p, s) <= smallPenalty {
			add(p)
		}
	}
	return pieces
}
