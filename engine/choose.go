package engine

import "time"

const (
	// prefillTokensPerMillisecond is the prefill speed of current engines.
	prefillTokensPerMillisecond = 40
	// minFirstEventTime is the time to the first event of an idle engine that has the
	// whole prompt cached.
	minFirstEventTime = 40 * time.Millisecond
	// missFactor weighs tokens that have to be prefilled again above their prefill
	// time, because they also delay the other requests of the engine.
	missFactor = 2
	// transferFactor is the cost of a token that is transferred from the cache of
	// another engine, relative to one that is prefilled again.
	transferFactor = 0.2
	// minTransferTokens is the number of tokens from which a transfer is worth its
	// setup.
	minTransferTokens = 512
	// requestCost is the expected delay by each other request at the engine.
	requestCost = 3 * time.Millisecond
	// crossDataCentreCost is the cost of a megabyte of results from another data
	// centre.
	crossDataCentreCost = 60 * time.Millisecond
	// memoryShare is the share of an engine's memory that running requests may use
	// before other engines are preferred.
	memoryShare = 0.85
	// overloadCost is added for an engine without a free slot or enough memory.
	overloadCost = time.Second
)

// Requirements are the requirements of a request besides its prompt.
type Requirements struct {
	// InputBytes is the size of the results that the engine has to fetch, by data
	// centre.
	InputBytes map[string]int64
	// AvoidEngines lists engines that have rejected or failed the request.
	AvoidEngines []string
	// RequiredEngine is the ID of the only engine that may be chosen, empty for any.
	RequiredEngine string
	// ColdShare is the share of the request rate of cold engines that this coordinator
	// may use, from 0 to 1.
	ColdShare float64
	// Allows reports whether an engine may be chosen; nil allows all.
	Allows func(id string) bool
}

// prefillTime returns the time to prefill a number of prompt tokens.
func prefillTime(tokens int64) time.Duration {
	return time.Duration(max(0, tokens)) * time.Millisecond / prefillTokensPerMillisecond
}

// cost estimates the time to the first event and adds the other costs of choosing the
// engine. transferable is the largest number of leading prompt tokens that an engine
// has in its cache and could transfer.
func (s Server) cost(spec Spec, p Prompt, n Requirements, transferable int64, now time.Time) time.Duration {
	own := s.cachedTokens(p, now)
	missing := p.InputTokens - own
	if transferable-own >= minTransferTokens {
		missing -= int64((1 - transferFactor) * float64(transferable-own))
	}
	used, pending := p.MaxTokens(), int64(0)
	for _, r := range s.requests {
		used += r.tokens
		pending += r.pendingPrefill
	}
	cost := missFactor*prefillTime(missing) + prefillTime(pending) + time.Duration(len(s.requests))*requestCost + s.excessDelay
	for dc, bytes := range n.InputBytes {
		if dc != s.DataCentre {
			cost += time.Duration(float64(crossDataCentreCost) * float64(bytes) / (1 << 20))
		}
	}
	if len(s.requests) >= spec.Slots || spec.MemoryTokens > 0 && float64(used) > memoryShare*float64(spec.MemoryTokens) {
		cost += overloadCost
	}
	return cost
}

// expectedFirstEvent estimates the time to the first event of a request.
func (s Server) expectedFirstEvent(p Prompt, now time.Time) time.Duration {
	pending := p.InputTokens - s.cachedTokens(p, now)
	for _, r := range s.requests {
		pending += r.pendingPrefill
	}
	return minFirstEventTime + prefillTime(pending) + time.Duration(len(s.requests))*requestCost + s.excessDelay
}

// isWithinColdRate reports whether one more request keeps the engine within the rate
// limit of cold engines. The limit applies to all engines, because an engine may become
// cold without notice.
func (s Server) isWithinColdRate(spec Spec, share float64, now time.Time) bool {
	if spec.ColdRequestsPerSecond <= 0 {
		return true
	}
	return float64(len(withinRateWindow(s.sentAt, now))) < max(1, spec.ColdRequestsPerSecond*share)
}

// chooseEngine returns the engine with the lowest cost. The parameter remote is the
// number of leading prompt tokens that an engine of another cell has read.
func chooseEngine(spec Spec, servers []Server, p Prompt, n Requirements, remote int64, now time.Time) (Server, bool) {
	transferable := remote
	for _, s := range servers {
		transferable = max(transferable, s.cachedTokensWithin(p, transferLifetime, now))
	}
	best, bestCost := -1, time.Duration(0)
	for i, s := range servers {
		if n.RequiredEngine != "" && n.RequiredEngine != s.ID || now.Before(s.blockedUntil) || contains(n.AvoidEngines, s.ID) || !n.allows(s.ID) || !s.isWithinColdRate(spec, n.ColdShare, now) {
			continue
		}
		cost := s.cost(spec, p, n, transferable, now)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Server{}, false
	}
	return servers[best], true
}

// transferSource returns the address of the engine from which the chosen one should
// fetch the beginning of the prompt, empty for none. It is an engine of another cell
// only if that has read more of the prompt.
func transferSource(servers []Server, remote *remoteCache, chosen Server, p Prompt, now time.Time) string {
	best, tokens := "", chosen.cachedTokens(p, now)+minTransferTokens
	for _, s := range servers {
		if m := s.cachedTokensWithin(p, transferLifetime, now); m >= tokens && s.ID != chosen.ID && !now.Before(s.blockedUntil) {
			best, tokens = s.Address, m+1
		}
	}
	if address, m := remote.longest(p, now); m >= tokens {
		return address
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
