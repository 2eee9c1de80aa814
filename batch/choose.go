package batch

import "time"

const (
	// crossDataCentrePenalty is the extra delay, per penaltyBytes of a result, that is
	// accepted to compute the result in the data centre that uses it.
	crossDataCentrePenalty = 120 * time.Millisecond
	penaltyBytes           = 1 << 20
	// inputPenalty is the extra delay, per penaltyBytes of inputs, that is accepted to
	// fetch the inputs within a data centre rather than from another one.
	inputPenalty = 6 * time.Millisecond
	// largeResultBytes is the result size from which the preferred data centre counts.
	largeResultBytes = 256 << 10
)

// busyMargin is how much sooner a busy server must be expected to finish a piece than
// an idle one for the piece to wait for it. The speed of a server varies by a few
// percent between calls.
const busyMargin = 25 * time.Millisecond

// maxDeferredPieces is the number of waiting pieces, most urgent first, of which one can
// be the first piece of a call. If each of them should wait for a busy server, the idle
// servers stay idle. The other pieces of a call come from all lookAhead pieces.
const maxDeferredPieces = 48

// Call is a batch of pieces that is sent to one server.
type Call struct {
	Number uint64
	Server Endpoint
	Pool   string
	Pieces []Piece
	SentAt time.Time
	// TypicalTime is the time that the pool declares for such a call, ExpectedTime the
	// estimate for this server.
	TypicalTime  time.Duration
	ExpectedTime time.Duration
}

const (
	// timeoutSlack and timeoutFactor derive the timeout of a call from its expected
	// time: a server that takes longer is treated as failed and its pieces are computed
	// elsewhere. During incidents, 10 of 4,700 calls took more than twice the expected
	// time.
	timeoutSlack  = 350 * time.Millisecond
	timeoutFactor = 2
)

// Timeout returns the time after which the call is treated as failed.
func (c Call) Timeout() time.Duration { return timeoutFactor*c.ExpectedTime + timeoutSlack }

// ResultBytes returns the declared size of all results of the call.
func (c Call) ResultBytes() int64 {
	total := int64(0)
	for _, p := range c.Pieces {
		total += p.ResultBytes
	}
	return total
}

// chooseCall returns the next call of a pool, or false if no piece should be sent now.
// The waiting pieces are the most urgent ones of the queue, in order; queueLength is the
// length of the whole queue.
func chooseCall(spec Spec, servers []Server, waiting []Piece, queueLength int, now time.Time) (Call, bool) {
	trial, others := splitTrial(servers)
	if call, ok := chooseTrialCall(spec, trial, waiting, now); ok {
		return call, true
	}
	servers = others
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
		if k >= maxDeferredPieces {
			break
		}
		s, ok := bestServer(spec, servers, p, now)
		if !ok || s.Calls >= spec.Slots {
			continue
		}
		pieces := fillCall(spec, s, p, waiting, callSize(spec, queueLength, idle), now)
		typical := spec.typicalTime(len(pieces))
		return Call{
			Server: s.Endpoint, Pool: spec.Pool, Pieces: pieces, SentAt: now,
			TypicalTime: typical, ExpectedTime: s.boundedTime(spec, len(pieces), now),
		}, true
	}
	return Call{}, false
}

// minSplitPieces is the smallest number of pieces per call when waiting pieces are
// split among idle servers. Smaller calls use more of the pool's capacity than they
// save time.
const minSplitPieces = 4

// callSize returns the largest number of pieces for one call when the waiting pieces
// are split among the idle servers.
func callSize(spec Spec, waiting, idle int) int {
	each := (waiting + idle - 1) / idle
	return min(spec.MaxPieces, max(minSplitPieces, each))
}

// bestServer returns the server that is expected to finish a piece first. It may be a
// busy one, in which case the piece waits for it.
func bestServer(spec Spec, servers []Server, p Piece, now time.Time) (Server, bool) {
	best, bestCost := -1, time.Duration(0)
	for i, s := range servers {
		if s.isBlocked(now) || s.ID == p.AvoidServer && len(servers) > 1 || !s.hasMemory(spec, p.ResultBytes, now) {
			continue
		}
		cost := s.expectedTime(spec, 1, now) + transferPenalty(p, s)
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

// transferPenalty returns the bytes that would move between data centres if a server
// computed a piece, expressed as a delay.
func transferPenalty(p Piece, s Server) time.Duration {
	cost := 0.0
	if p.PreferredDataCentre != "" && p.PreferredDataCentre != s.DataCentre && p.ResultBytes >= largeResultBytes {
		cost += float64(crossDataCentrePenalty) * float64(p.ResultBytes)
	}
	for _, f := range p.InputSizes {
		if f.DataCentre != s.DataCentre {
			cost += float64(inputPenalty) * float64(f.Bytes)
		}
	}
	return time.Duration(cost / penaltyBytes)
}

// maxFillPenalty is the largest transfer penalty with which a piece is added to a call
// of another stage or request.
const maxFillPenalty = 25 * time.Millisecond

// fillCall returns the pieces of a call that starts with a given piece: first the other
// waiting pieces of its stage, then pieces of other stages and requests up to the
// limit, each in order of urgency and as far as the server has memory for the results.
func fillCall(spec Spec, s Server, first Piece, waiting []Piece, limit int, now time.Time) []Piece {
	free := spec.usableMemory() - s.usedMemory(now) - first.ResultBytes
	pieces := []Piece{first}
	add := func(p Piece) {
		if p.Identity != first.Identity && p.ResultBytes <= free && p.AvoidServer != s.ID {
			pieces = append(pieces, p)
			free -= p.ResultBytes
		}
	}
	for _, p := range waiting {
		if len(pieces) < spec.MaxPieces && p.RequestID == first.RequestID && p.Stage == first.Stage {
			add(p)
		}
	}
	for _, p := range waiting {
		if len(pieces) >= limit {
			break
		}
		if (p.RequestID != first.RequestID || p.Stage != first.Stage) && transferPenalty(p, s) <= maxFillPenalty {
			add(p)
		}
	}
	return pieces
}
