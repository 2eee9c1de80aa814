package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is a server that may get work, as far as versions matter.
type Server struct {
	ID      string
	Version string
	// IsInScope is set if this place chooses among servers with this one: those of its
	// cell, or all servers of a pool that each instance uses by itself.
	IsInScope bool
}

// use is what the servers of a version get.
type use int

const (
	// noRequests: nothing.
	noRequests use = iota
	// shareOnly: the requests that the share gives to the new version.
	shareOnly
	// allRequests: every request that isn't for the new version.
	allRequests
)

const (
	// confirmationAge is the age of the last confirmation of the phases above which a
	// version that hasn't succeeded gets nothing: it may have been rolled back.
	confirmationAge = 2 * time.Second
	// holdBack is how long servers of a new version get nothing without an order, which
	// may still be on its way.
	holdBack = 2 * time.Second
)

// pool is what this process knows of the versions of a pool. It is an immutable value.
type pool struct {
	order Order
	// hasOrder is set if there is an order, isWithdrawn if its record was removed.
	hasOrder    bool
	isWithdrawn bool
	state       State
	// knownAt is when the order was given, as far as this instance knows.
	knownAt time.Time
	// firstSeen is when each version was first listed, the zero time for those that were
	// listed when the pool became known. initial is the only version among the latter,
	// empty if there were several.
	firstSeen map[string]time.Time
	initial   string
	versions  map[string]string
	// trial holds the servers of the new version that get the share. listed is the number of
	// listed servers of the new version, and isOtherListed is set if there are others.
	trial         map[string]bool
	listed        int
	isOtherListed bool
	tokens        tokenCount
	// steppedAt is when the state last changed.
	steppedAt time.Time
}

// isCurrent reports whether the state belongs to the order.
func (p pool) isCurrent() bool { return p.hasOrder && p.state.Position() == p.order.Position() }

// isOutdated reports whether there is a state of a newer order than the known one. The record
// of the newer order is still on its way, and the outcome of the known one isn't known any
// more, except that it is among the rejected versions if it hasn't succeeded.
func (p pool) isOutdated() bool {
	return p.hasOrder && p.state.Position().Compare(p.order.Position()) > 0
}

// phase returns the phase of the order.
func (p pool) phase() Phase {
	switch {
	case !p.isCurrent():
		return Pending
	case p.isWithdrawn && !p.state.Phase.IsFinal():
		return RolledBack
	}
	return p.state.Phase
}

// isInProgress reports whether the order has neither succeeded nor been rolled back.
func (p pool) isInProgress() bool { return p.hasOrder && !p.isOutdated() && !p.phase().IsFinal() }

// current returns the version that the pool has while its order isn't started, empty if that
// isn't known.
func (p pool) current() string {
	switch {
	case p.state.Phase == Succeeded:
		return p.state.To
	case p.state.From != "":
		return p.state.From
	}
	return p.initial
}

// rejected returns the versions that earlier orders named and that have not succeeded.
func (p pool) rejected() []string {
	versions := p.state.Rejected
	if !p.isCurrent() && p.state.To != "" && p.state.Phase != Succeeded {
		versions = append(slices.Clone(versions), p.state.To)
	}
	return versions
}

// useOf returns what the servers of a version get.
func (p pool) useOf(version string, isConfirmed bool, now time.Time) use {
	phase := p.phase()
	if p.hasOrder && version == p.order.To && !p.isOutdated() {
		switch {
		case phase == Succeeded, phase == Shifted && isConfirmed:
			return allRequests
		case phase == Running && isConfirmed:
			return shareOnly
		case phase == Pending && p.state.To != "" && p.current() == version:
			return allRequests
		case phase == Pending && !p.isOtherListed && (p.initial == version || now.Sub(p.knownAt) > confirmationAge):
			// This instance has started long after the order, and hasn't learned how the
			// rollout has ended.
			return allRequests
		}
		return noRequests
	}
	switch {
	case slices.Contains(p.rejected(), version), p.isHeld(version, now):
		return noRequests
	case p.listed > 0 && (phase == Succeeded || phase == Shifted && isConfirmed):
		return noRequests
	}
	return allRequests
}

// isStillUsed reports whether servers of a version are in use until the rollout succeeds.
func (p pool) isStillUsed(version string, now time.Time) bool {
	return version != p.order.To && !p.isHeld(version, now) && !slices.Contains(p.rejected(), version)
}

// isHeld reports whether a version is held back because no order is known for it.
func (p pool) isHeld(version string, now time.Time) bool {
	seen, ok := p.firstSeen[version]
	return !ok || !seen.IsZero() && now.Sub(seen) < holdBack
}

// isUnrestricted reports whether all listed servers get all requests.
func (p pool) isUnrestricted(now time.Time) bool {
	if p.hasOrder || p.state.To != "" {
		return false
	}
	for version := range p.firstSeen {
		if p.isHeld(version, now) {
			return false
		}
	}
	return true
}

// withServers returns the pool with the servers that may get work.
func (p pool) withServers(servers []Server, share float64, now time.Time) pool {
	firstSeen := make(map[string]time.Time, len(p.firstSeen)+1)
	for version, at := range p.firstSeen {
		firstSeen[version] = at
	}
	isFirst := len(p.firstSeen) == 0
	p.versions = make(map[string]string, len(servers))
	p.listed, p.isOtherListed = 0, false
	for _, s := range servers {
		p.versions[s.ID] = s.Version
		if _, ok := firstSeen[s.Version]; !ok {
			firstSeen[s.Version] = now
			if isFirst {
				firstSeen[s.Version] = time.Time{}
			}
		}
		if p.hasOrder && s.Version == p.order.To {
			p.listed++
		} else {
			p.isOtherListed = true
		}
	}
	p.firstSeen = firstSeen
	if isFirst && len(firstSeen) == 1 {
		p.initial = servers[0].Version
	}
	return p.withTrial(servers, share)
}

// trialRounding is added to the number of servers that the share needs. It is below a half,
// so that each server gets at least about the load of an old one.
const trialRounding = 0.2

// withTrial returns the pool with the servers that get the share: as many as are needed for
// each to have the load of an old server, so that a version that is bad only under load
// shows it. All places that choose among the same servers take the same ones.
func (p pool) withTrial(servers []Server, share float64) pool {
	var fresh []Server
	old := 0
	for _, s := range servers {
		switch {
		case !s.IsInScope:
		case p.hasOrder && s.Version == p.order.To:
			fresh = append(fresh, s)
		default:
			old++
		}
	}
	rank := func(s Server) uint64 { return xxhash.Sum64String(s.ID) ^ p.order.Offset*0x9e3779b97f4a7c15 }
	slices.SortFunc(fresh, func(a, b Server) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID)) })
	count := max(1, p.state.Spread, int(share*float64(old)+trialRounding))
	p.trial = map[string]bool{}
	for _, s := range fresh[:min(count, len(fresh))] {
		p.trial[s.ID] = true
	}
	return p
}
