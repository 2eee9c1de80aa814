package engine

import (
	"slices"
	"time"
)

const (
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
	// memoryShare is the share of an engine's memory that running requests use while
	// another engine has capacity.
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
	// Until is when the request has ended at the latest, zero if it is unknown.
	Until time.Time
	// ColdShare is the share of the request rate of cold engines that this coordinator
	// may use, from 0 to 1.
	ColdShare float64
	// Allows reports whether an engine may be chosen; nil allows all.
	Allows func(id string) bool
}

// cost estimates the time to the first event and adds the other costs of choosing the
// engine. transferable is the largest number of leading prompt tokens that an engine
// has in its cache and could transfer, ofPool the prefill speed of the pool.
func (s Server) cost(spec Spec, p Prompt, n Requirements, transferable int64, ofPool float64, now time.Time) time.Duration {
	own := s.cachedTokens(p, now)
	missing := p.InputTokens - own
	if transferable-own >= minTransferTokens {
		missing -= int64((1 - transferFactor) * float64(transferable-own))
	}
	tokensPerMs := s.prefillSpeed(ofPool, now)
	cost := missFactor*prefillTime(missing, tokensPerMs) + prefillTime(s.pendingPrefill, tokensPerMs) + time.Duration(len(s.requests))*requestCost + s.currentExcess(now) + s.fetchCost(n)
	if len(s.requests) >= spec.Slots || !s.hasSpareMemory(spec, p) {
		cost += overloadCost
	}
	return cost
}

// fetchCost returns the cost of the results that the engine fetches from other data
// centres.
func (s Server) fetchCost(n Requirements) time.Duration {
	cost := time.Duration(0)
	for dc, bytes := range n.InputBytes {
		if dc != s.DataCentre {
			cost += time.Duration(float64(crossDataCentreCost) * float64(bytes) / (1 << 20))
		}
	}
	return cost
}

// expectedFirstEvent estimates the time to the first event of a request. After some times
// as long, the engine counts as silent, so that the time isn't shortened by a reported
// slowness below the usual one, which may end meanwhile.
func (s Server) expectedFirstEvent(p Prompt, n Requirements, ofPool float64, now time.Time) time.Duration {
	pending := s.pendingPrefill + p.InputTokens - s.cachedTokens(p, now)
	return minFirstEventTime + prefillTime(pending, min(s.speed.value(ofPool, now), s.prefillSpeed(ofPool, now))) + time.Duration(len(s.requests))*requestCost + s.currentExcess(now) + s.fetchCost(n)
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

// isAllowed reports whether an engine may get a request, apart from its memory.
func (s Server) isAllowed(spec Spec, n Requirements, now time.Time) bool {
	isExcluded := n.RequiredEngine != "" && n.RequiredEngine != s.ID || slices.Contains(n.AvoidEngines, s.ID) || !n.allows(s.ID)
	return !isExcluded && !now.Before(s.blockedUntil) && s.isWithinColdRate(spec, n.ColdShare, now)
}

// hasMemory reports whether the memory of the engine holds the request besides the
// running ones, each with its largest output.
func (s Server) hasMemory(spec Spec, p Prompt) bool {
	return spec.MemoryTokens <= 0 || s.heldTokens+p.MaxTokens() <= spec.MemoryTokens
}

// hasSpareMemory reports whether the request leaves the part of the memory free that is
// used only if no other engine has capacity.
func (s Server) hasSpareMemory(spec Spec, p Prompt) bool {
	return spec.MemoryTokens <= 0 || float64(s.heldTokens+p.MaxTokens()) <= memoryShare*float64(spec.MemoryTokens)
}

// candidate is an engine with its cost.
type candidate struct {
	index int
	cost  time.Duration
}

func (c candidate) orCheaper(index int, cost time.Duration) candidate {
	if c.index < 0 || cost < c.cost {
		return candidate{index, cost}
	}
	return c
}

// chooseEngine returns the engine with the lowest cost. An engine that has no spare memory
// is chosen only if no other one has capacity, and one without memory never: engines crash
// if the requests at them need more. The parameter remote is the number of leading prompt
// tokens that an engine of another cell has read, ofPool the prefill speed of the pool.
func chooseEngine(spec Spec, servers []Server, p Prompt, n Requirements, remote int64, ofPool float64, now time.Time) (Server, bool) {
	transferable := remote
	for _, s := range servers {
		transferable = max(transferable, s.cachedTokensWithin(p, transferLifetime, now))
	}
	// withCapacity is the best engine with a free slot and spare memory, withSlots that
	// with a free slot only, and full the best one without a free slot.
	none := candidate{index: -1}
	withCapacity, withSlots, full := none, none, none
	for i, s := range servers {
		if !s.hasMemory(spec, p) || !s.isAllowed(spec, n, now) {
			continue
		}
		cost := s.cost(spec, p, n, transferable, ofPool, now)
		switch {
		case len(s.requests) >= spec.Slots:
			full = full.orCheaper(i, cost)
		case s.hasSpareMemory(spec, p):
			withCapacity = withCapacity.orCheaper(i, cost)
		default:
			withSlots = withSlots.orCheaper(i, cost)
		}
	}
	best := withCapacity
	if best.index < 0 {
		best = withSlots
	}
	if full.index >= 0 {
		best = best.orCheaper(full.index, full.cost)
	}
	if best.index < 0 {
		return Server{}, false
	}
	return servers[best.index], true
}

// isShortOfMemory reports whether an engine could get the request if it had more memory.
func isShortOfMemory(spec Spec, servers []Server, p Prompt, n Requirements, now time.Time) bool {
	return slices.ContainsFunc(servers, func(s Server) bool { return !s.hasMemory(spec, p) && s.isAllowed(spec, n, now) })
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
