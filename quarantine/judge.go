package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspects returns the parts of a crashed request that may have crashed the engine: those
// that have gone without a success for longest. It returns none if a request with each
// part has succeeded since the crash. The zero time stands for a part without a success.
func suspects(c Crash, lastSuccess func(part string) time.Time) []string {
	var oldest time.Time
	var parts []string
	for _, part := range c.Parts {
		at := lastSuccess(part)
		switch {
		case len(parts) == 0 || at.Before(oldest):
			oldest, parts = at, []string{part}
		case at.Equal(oldest):
			parts = append(parts, part)
		}
	}
	if oldest.After(c.at()) {
		return nil
	}
	return parts
}

// evidence is a crash that is held against a part.
type evidence struct {
	Crash
	// isSingledOut is set if no request with the part has ever succeeded, and requests with
	// each other part of the crashed request have.
	isSingledOut bool
}

// attribute returns the evidence against each suspect part, oldest first.
func attribute(crashes []Crash, lastSuccess func(part string) time.Time) map[string][]evidence {
	ordered := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.AtUnixMilli, b.AtUnixMilli), cmp.Compare(a.Server, b.Server), cmp.Compare(a.RequestID, b.RequestID))
	})
	byPart := map[string][]evidence{}
	for _, c := range ordered {
		parts := suspects(c, lastSuccess)
		for _, part := range parts {
			isSingledOut := len(parts) == 1 && len(c.Parts) > 1 && lastSuccess(part).IsZero()
			byPart[part] = append(byPart[part], evidence{c, isSingledOut})
		}
	}
	return byPart
}

// independent returns the crashes that count: one for each process of an engine. Of crashes
// within crashSpacing one counts, as engines that fail together have one cause, unless the part
// is singled out in all of them: requests with it that come together crash several engines.
func independent(found []evidence) []Crash {
	var counted []Crash
	servers := map[string]bool{}
	isLastSingledOut := false
	for _, e := range found {
		isClose := len(counted) > 0 && e.at().Sub(counted[len(counted)-1].at()) < crashSpacing
		if servers[e.Server] || isClose && !(e.isSingledOut && isLastSingledOut) {
			continue
		}
		servers[e.Server], isLastSingledOut = true, e.isSingledOut
		counted = append(counted, e.Crash)
	}
	return counted
}

// isSufficient reports whether crashes with the same suspect part are enough for a
// quarantine.
func isSufficient(crashes []Crash) bool {
	requests := map[string]bool{}
	for _, c := range crashes {
		requests[c.RequestID] = true
	}
	return len(crashes) >= minCrashes && len(requests) >= minRequests
}

func isSameCrash(a, b Crash) bool { return a.Server == b.Server && a.RequestID == b.RequestID }

// verdicts returns the entries to quarantine, in order: the parts that have enough
// crashes, and those with the same crashes together. An instance decides only about parts
// that are involved in a crash in its own cell, because it doesn't learn of the successes
// in other cells.
func verdicts(crashes []Crash, lastSuccess func(part string) time.Time, isOwn func(dataCentre string) bool) []Entry {
	var found []Entry
	byPart := attribute(crashes, lastSuccess)
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		counted := independent(byPart[part])
		if !isSufficient(counted) || !slices.ContainsFunc(counted, func(c Crash) bool { return isOwn(c.DataCentre) }) {
			continue
		}
		same := slices.IndexFunc(found, func(e Entry) bool { return slices.EqualFunc(e.Evidence, counted, isSameCrash) })
		if same >= 0 {
			found[same].Parts = append(found[same].Parts, part)
			continue
		}
		found = append(found, Entry{Parts: []string{part}, Evidence: counted})
	}
	return found
}
