package batch

import (
	"slices"
	"time"
)

// splitTrial returns the servers of a version that is tried out, and the others.
func splitTrial(servers []Server) (trial, others []Server) {
	if !slices.ContainsFunc(servers, func(s Server) bool { return s.IsTrial }) {
		return nil, servers
	}
	for _, s := range servers {
		if s.IsTrial {
			trial = append(trial, s)
		} else {
			others = append(others, s)
		}
	}
	return trial, others
}

// chooseTrialCall returns the next call to a server of a version that is tried out. It
// holds pieces with IsTrial only. If none of these servers is idle, the other servers
// compute these pieces.
func chooseTrialCall(spec Spec, servers []Server, waiting []Piece, now time.Time) (Call, bool) {
	if !slices.ContainsFunc(servers, func(s Server) bool { return s.Calls < spec.Slots && !s.isBlocked(now) }) {
		return Call{}, false
	}
	var pieces []Piece
	for _, p := range waiting {
		if p.IsTrial {
			pieces = append(pieces, p)
		}
	}
	for _, p := range pieces {
		s, ok := bestServer(spec, servers, p, now)
		if !ok || s.Calls >= spec.Slots {
			continue
		}
		pieces = fillCall(spec, s, p, pieces, spec.MaxPieces, now)
		return Call{
			Server: s.Endpoint, Pool: spec.Pool, Pieces: pieces, SentAt: now,
			TypicalTime: spec.typicalTime(len(pieces)), ExpectedTime: s.expectedTime(spec, len(pieces), now),
		}, true
	}
	return Call{}, false
}
