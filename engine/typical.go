package engine

import "time"

// typicalFirstEvent returns the time to the first event of a request at an idle engine of
// the usual speed of its pool. Unlike expectedFirstEvent, it doesn't depend on how slow the
// engine was lately, so that engines can be compared by it.
func (s Server) typicalFirstEvent(p Prompt, ofPool float64, now time.Time) time.Duration {
	return minFirstEventTime + prefillTime(p.InputTokens-s.cachedTokens(p, now), ofPool)
}

// allows reports whether the requirements allow an engine.
func (n Requirements) allows(id string) bool { return n.Allows == nil || n.Allows(id) }
