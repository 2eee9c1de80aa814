package engine

import "time"

const (
	// readRate is the number of prompt tokens that an engine reads in a
	// millisecond, as today's engines do.
	readRate = 40
	// firstEventTime is the time to the first event of an idle engine that has
	// everything cached.
	firstEventTime = 40 * time.Millisecond
	// missFactor weighs tokens that have to be read again more than the time they
	// take, since they also delay the other requests of the engine.
	missFactor = 2
	// fetchFactor is what a token costs that another engine has and hands over,
	// relative to one that is read again.
	fetchFactor = 0.2
	// minFetch is the number of tokens from which on a transfer is worth its setup.
	minFetch = 512
	// runCost is the expected delay by each other request that runs at the engine.
	runCost = 3 * time.Millisecond
	// crossingCost weighs a megabyte of results that come from another data centre.
	crossingCost = 60 * time.Millisecond
	// memoryShare is the part of an engine's memory that running requests may fill
	// before others are preferred.
	memoryShare = 0.85
	fullCost    = time.Second
)

// Needs is what a request wants of an engine besides its prompt.
type Needs struct {
	// Results is the size of the results that it has to fetch, by data centre.
	Results map[string]int64
	// Avoid lists engines that have refused or failed the request.
	Avoid []string
	// Only is the one engine that may be chosen, empty for any.
	Only string
	// Rate is the share of the bound of cold engines that the chooser may use,
	// from 0 to 1.
	Rate float64
}

// readTime returns the time to read some prompt tokens.
func readTime(tokens int64) time.Duration {
	return time.Duration(max(0, tokens)) * time.Millisecond / readRate
}

// cost estimates the time to the first event, with what else a choice costs, if
// some engine has a number of the prompt's first tokens.
func (s Server) cost(spec Spec, p Prompt, n Needs, elsewhere int64, now time.Time) time.Duration {
	own := s.match(p, now)
	missing := p.Input - own
	if elsewhere-own >= minFetch {
		missing -= int64((1 - fetchFactor) * float64(elsewhere-own))
	}
	used, unread := p.Tokens(), int64(0)
	for _, r := range s.runs {
		used += r.tokens
		unread += r.unread
	}
	cost := missFactor*readTime(missing) + readTime(unread) + time.Duration(len(s.runs))*runCost + s.delay
	for dc, bytes := range n.Results {
		if dc != s.DataCentre {
			cost += time.Duration(float64(crossingCost) * float64(bytes) / (1 << 20))
		}
	}
	if len(s.runs) >= spec.Slots || spec.MemoryTokens > 0 && float64(used) > memoryShare*float64(spec.MemoryTokens) {
		cost += fullCost
	}
	return cost
}

// expected estimates the time to the first event of a request.
func (s Server) expected(p Prompt, now time.Time) time.Duration {
	unread := p.Input - s.match(p, now)
	for _, r := range s.runs {
		unread += r.unread
	}
	return firstEventTime + readTime(unread) + time.Duration(len(s.runs))*runCost + s.delay
}

// isWithinRate reports whether the engine may get one more request within the
// bound for engines in cold start. It holds for all engines, since one may turn
// cold without a sign.
func (s Server) isWithinRate(spec Spec, share float64, now time.Time) bool {
	if spec.ColdPerSecond <= 0 {
		return true
	}
	return float64(len(recent(s.sent, now))) < max(1, spec.ColdPerSecond*share)
}

// choose returns the engine with the lowest cost.
func choose(spec Spec, servers []Server, p Prompt, n Needs, now time.Time) (Server, bool) {
	elsewhere := int64(0)
	for _, s := range servers {
		elsewhere = max(elsewhere, s.matchWithin(p, sourceLife, now))
	}
	best, bestCost := -1, time.Duration(0)
	for i, s := range servers {
		if n.Only != "" && n.Only != s.ID || now.Before(s.blockedUntil) || contains(n.Avoid, s.ID) || !s.isWithinRate(spec, n.Rate, now) {
			continue
		}
		cost := s.cost(spec, p, n, elsewhere, now)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Server{}, false
	}
	return servers[best], true
}

// source returns the address of the engine from which a chosen one should fetch
// the beginning of a prompt, empty for none.
func source(servers []Server, chosen Server, p Prompt, now time.Time) string {
	best, tokens := "", chosen.match(p, now)+minFetch
	for _, s := range servers {
		if m := s.matchWithin(p, sourceLife, now); m >= tokens && s.ID != chosen.ID && !now.Before(s.blockedUntil) {
			best, tokens = s.Address, m+1
		}
	}
	return best
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
