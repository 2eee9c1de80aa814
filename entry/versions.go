package entry

import (
	"slices"
	"strings"
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/rollout"
	"lycheecrank.example/route"
)

func rolloutBounds(settings platform.Settings) rollout.Bounds {
	return rollout.Bounds{ExposureShare: settings.ExposureShare, ExposureSlack: settings.ExposureSlack, RollbackTime: settings.RollbackTime}
}

// applyRolloutRecord records an order to move a pool to another version, or its withdrawal.
func (i *Instance) applyRolloutRecord(record feed.Record) {
	now := time.Now()
	pool := strings.TrimPrefix(record.Key, platform.RolloutPrefix)
	if record.IsRemoved {
		i.rollouts.Commands().WithdrawOrder(pool, now)
		i.Logger.Write(event.RolloutOrdered, pool, "", 0, record.Offset, true)
		i.triggerRollouts()
		return
	}
	order, err := platform.DecodeRollout(record.Key, record.Value, record.Position())
	if err != nil {
		i.Logger.Write(event.LogRecordUnreadable, platform.OperatorStream, record.Offset, err)
		return
	}
	index, places := i.placeOf(order.Pool)
	i.rollouts.Commands().ApplyOrder(order, index, places, now)
	i.Logger.Write(event.RolloutOrdered, order.Pool, order.To, order.Duration.Milliseconds(), order.Offset, false)
	i.triggerRollouts()
}

// placeOf returns the index of this instance among the places that choose servers of a pool
// independently, and their number: the cells for pools that coordinators use, otherwise the
// instances.
func (i *Instance) placeOf(name string) (index, places int) {
	var names []string
	own := i.Settings.Name
	if p, ok := i.routes.Queries().Current().Pool(name); ok && isCoordinated(p) {
		names, own = i.division.Load().layout.Cells(), i.ownCell()
	} else {
		names = append(names, own)
		for _, m := range i.view().Known() {
			if m.Name != own {
				names = append(names, m.Name)
			}
		}
	}
	names = slices.Sorted(slices.Values(names))
	return slices.Index(names, own), len(names)
}

// isCoordinated reports whether coordinators choose the servers of a pool.
func isCoordinated(pool route.Pool) bool { return pool.Engine != nil || pool.Batch != nil }

// setVersions tells the rollouts which servers may get work.
func (i *Instance) setVersions(configuration route.Configuration, usable map[string][]fleet.Server, now time.Time) {
	if !i.rollouts.Queries().IsEnabled() {
		return
	}
	layout, own := i.division.Load().layout, i.ownCell()
	servers := make(map[string][]rollout.Server, len(usable))
	for name, list := range usable {
		p, _ := configuration.Pool(name)
		for _, s := range list {
			isInScope := !isCoordinated(p) || !layout.IsDivided() || layout.Contains(own, s.DataCentre)
			servers[name] = append(servers[name], rollout.Server{ID: s.ID, Version: s.Version, IsInScope: isInScope})
		}
	}
	i.rollouts.Commands().SetServers(servers, now)
}

// serves reports whether a server gets the requests of its pool, and isn't of a version
// that is tried out or out of use.
func (i *Instance) serves(s fleet.Server, now time.Time) bool {
	return i.rollouts.Queries().Serves(s.Pool, s.Version, now)
}

// newRolloutUpdate returns what this instance knows of the rollouts, nil if there is nothing
// to tell. includesAll is set for an instance that may have joined late.
func (i *Instance) newRolloutUpdate(includesAll bool, now time.Time) *rolloutUpdate {
	// Taken before the states, which may be replaced and confirmed anew in between: a newer
	// confirmation must not go with older states.
	age := i.rollouts.Queries().ConfirmedAge(now)
	states := i.rollouts.Queries().States(includesAll, now)
	if len(states) == 0 && len(i.rollouts.Queries().InProgress()) == 0 {
		return nil
	}
	return &rolloutUpdate{States: states, AgeMs: age.Milliseconds()}
}

func (u *rolloutUpdate) withEvidence(evidence []rollout.Evidence) *rolloutUpdate {
	if u != nil {
		u.Evidence = evidence
	}
	return u
}

// mergeRollouts adds what another instance knows. sentAt is the time of the heartbeat to
// which the update replies, zero for an update that may be old.
func (i *Instance) mergeRollouts(update *rolloutUpdate, sentAt, now time.Time) {
	if update == nil {
		return
	}
	hasNewBad := i.rollouts.Commands().AddEvidence(update.Evidence)
	i.applyRolloutStates(update.States, now)
	if !sentAt.IsZero() {
		i.rollouts.Commands().Confirm(sentAt.Add(-time.Duration(update.AgeMs) * time.Millisecond))
	}
	if hasNewBad {
		i.triggerRollouts()
	}
}

// applyRolloutStates applies states and what follows from them at once. It reports whether
// a phase has changed.
func (i *Instance) applyRolloutStates(states []rollout.State, now time.Time) bool {
	before := map[string]rollout.State{}
	for _, s := range states {
		before[s.Pool] = i.rollouts.Queries().State(s.Pool)
	}
	isChanged := false
	for _, s := range i.rollouts.Commands().Merge(states, now) {
		if old := before[s.Pool]; old.Position() != s.Position() || old.Phase != s.Phase {
			isChanged = true
			i.rolloutCounts.Add(s.Phase.String())
			i.Logger.Write(event.RolloutChanged, s.Pool, s.To, s.Offset, s.Phase.String(), s.Reason)
		}
	}
	if isChanged {
		i.syncServers(now)
	}
	return isChanged
}

// badPushInterval is the least time between heartbeats because of bad responses.
const badPushInterval = 100 * time.Millisecond

// pushBadResponse sends heartbeats at once after a bad response of a new version.
func (i *Instance) pushBadResponse() {
	last, now := i.badPushedAt.Load(), int64(time.Since(i.startedAt))
	if now-last >= int64(badPushInterval) && i.badPushedAt.CompareAndSwap(last, now) {
		i.triggerHeartbeats()
		i.triggerRollouts()
	}
}

// triggerRollouts makes runRollouts check the rollouts at once.
func (i *Instance) triggerRollouts() {
	select {
	case i.rolloutTrigger <- struct{}{}:
	default:
	}
}

// withoutReplaced returns the servers without those of a version that was replaced. These
// end at once, which doesn't show that their data centre is unreachable.
func (i *Instance) withoutReplaced(servers []fleet.Server) []fleet.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s fleet.Server) bool { return i.rollouts.Queries().IsReplaced(s.Pool, s.Version) })
}
