package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/codec"
	"lycheecrank.example/event"
	"lycheecrank.example/membership"
	"lycheecrank.example/peer"
	"lycheecrank.example/platform"
	"lycheecrank.example/preparation"
	"lycheecrank.example/request"
)

const (
	// heartbeatInterval is how often an instance sends heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat with its reply.
	heartbeatTimeout = 700 * time.Millisecond
	// recordsTimeout bounds a heartbeat whose reply has records: a configuration takes
	// several hundred milliseconds on the link of a small machine.
	recordsTimeout = 1500 * time.Millisecond
	// largeSiteSize is the number of instances of a site above which the instances that
	// aren't candidates for coordinator send heartbeats half as often.
	largeSiteSize = 16
	// knownRounds is the number of heartbeat rounds of which one includes the list of
	// the known instances.
	knownRounds = 8
	// settlingTime is how long after its start an instance asks one other for the known
	// instances in each round: when all instances start at once, the lists of the first
	// rounds are incomplete.
	settlingTime = 3 * time.Second
	// seedRounds is the number of heartbeat rounds of which one goes to the seeds as
	// well while candidates are unreachable.
	seedRounds = 4
)

// callPeer sends a message to another instance and decodes the reply.
func callPeer[R any](ctx context.Context, instance *Instance, address, subject string, message any) (R, error) {
	var reply R
	data, err := codec.Marshal(message)
	if err != nil {
		return reply, err
	}
	data, err = instance.client.Ask(ctx, address, subject, data)
	if err != nil {
		return reply, err
	}
	return reply, codec.Unmarshal(data, &reply)
}

// serveCall decodes a message of another instance, passes it to handle and encodes the
// result.
func serveCall[Q, R any](data []byte, handle func(Q) (R, error)) ([]byte, error) {
	var message Q
	if err := codec.Unmarshal(data, &message); err != nil {
		return nil, request.Refuse(request.ReasonMalformed, err.Error())
	}
	result, err := handle(message)
	if err != nil {
		return nil, err
	}
	return codec.Marshal(result)
}

// handleCall handles a message of another instance according to its subject.
func (i *Instance) handleCall(ctx context.Context, _ peer.Hello, subject string, data []byte) ([]byte, error) {
	i.lastBreak()
	switch subject {
	case heartbeatSubject:
		return serveCall(data, i.handleHeartbeat)
	case prepareSubject:
		return serveCall(data, func(task preparation.Task) (prepareReply, error) { return i.prepareLocally(ctx, task) })
	case noticeSubject:
		return serveCall(data, i.applyNotices)
	}
	return nil, request.Refuse(request.ReasonMalformed, "unknown subject "+subject)
}

// handleHeartbeat records the contact with another instance. It replies with a
// heartbeat of this one and, on demand, with the records that the other one lacks.
func (i *Instance) handleHeartbeat(received heartbeat) (heartbeat, error) {
	// Positions in a received heartbeat can't confirm a copy of this instance: the
	// heartbeat may have been delayed, so the time that they describe is unknown.
	now := time.Now()
	// A heartbeat arrives within its timeout, or its sender has given it up.
	i.recordContact(received, now.Add(-recordsTimeout), now)
	i.mergeQuarantine(received.Quarantine, now)
	i.mergeRollouts(received.Rollouts, time.Time{}, now)
	reply := i.newHeartbeat(len(received.Known) > 0)
	// A sender with a rollout in progress may have missed its end.
	reply.Rollouts = i.newRolloutUpdate(len(received.Known) > 0 || received.Rollouts != nil, now)
	reply.Quarantine = i.missingQuarantine(received, now)
	if received.WantsRecords {
		reply.Missing = i.missingRecords(received.Positions)
		if isWithoutServers(received.Positions) {
			reply.Leaving = i.fleet.Queries().Leaving(now)
		}
	}
	if i.lacksOperatorRecords(received.Positions) {
		i.requestFetch(received.Self.Address)
	}
	return reply, nil
}

// lacksOperatorRecords reports whether another instance has newer operator changes.
// Newer server entries are only fetched with the next heartbeat: they arrive many times
// a second, and if each were fetched at once, the instances of a large site would be
// occupied with replies alone.
func (i *Instance) lacksOperatorRecords(positions []position) bool {
	return slices.ContainsFunc(positions, func(theirs position) bool {
		return theirs.Stream == platform.OperatorStream && theirs.end().Compare(i.feeds.Queries().State(theirs.Stream).Position()) > 0
	})
}

// requestFetch queues a fetch of the records of an instance, unless another fetch is
// queued.
func (i *Instance) requestFetch(address string) {
	select {
	case i.fetchAddress <- address:
	default:
	}
}

// runFetches fetches operator changes from the instances that have newer ones.
func (i *Instance) runFetches(ctx context.Context) error {
	for {
		select {
		case address := <-i.fetchAddress:
			i.sendHeartbeat(ctx, target{address: address, wantsRecords: true}, false)
		case <-ctx.Done():
			return nil
		}
	}
}

// recordContact records a message from an instance that was made at or after a time, and
// ends the backoff before the next connection to it.
func (i *Instance) recordContact(message heartbeat, madeAt, now time.Time) {
	i.members.Commands().RecordContact(message.Self, now)
	i.members.Commands().RecordSightings(message.Known, madeAt)
	i.client.ResetBackoff(message.Self.Address)
}

func (i *Instance) newHeartbeat(includesKnown bool) heartbeat {
	view := i.view()
	message := heartbeat{Self: view.Self(), Positions: i.positions(), QuarantineDigest: i.quarantine.Queries().Digest(), SinceReadFailureMs: i.sinceReadFailureMs()}
	if includesKnown {
		message.Known = view.Sightings(time.Now())
	}
	return message
}

// triggerHeartbeats makes runHeartbeats send the next heartbeats at once.
func (i *Instance) triggerHeartbeats() {
	select {
	case i.heartbeatTrigger <- struct{}{}:
	default:
	}
}

// runHeartbeats sends heartbeats to other instances, and calls changeCoordinator when
// another coordinator is chosen.
func (i *Instance) runHeartbeats(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	clock := heartbeatClock{sentAt: time.Now(), interval: heartbeatInterval}
	coordinatorName := ""
	for round := 0; ; round++ {
		select {
		case <-timer.C:
		case <-i.heartbeatTrigger:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		i.checkEligibility(&clock, now, coordinatorName == i.Settings.Name)
		timer.Reset(clock.interval)
		i.members.Commands().RemoveStale(now)
		i.wasCandidate.Store(i.isCandidate(now))
		isSettling := now.Sub(i.startedAt) < settlingTime
		for _, t := range i.heartbeatTargets(round, now) {
			group.Go(func() error {
				i.sendHeartbeat(ctx, t, round%knownRounds == 0 || t.wantsRecords && isSettling)
				return nil
			})
		}
		if coordinator := i.view().Coordinator(i.ownScope(), now); coordinator.Name != coordinatorName {
			coordinatorName = coordinator.Name
			i.changeCoordinator(ctx, &group, coordinator)
		}
	}
}

// changeCoordinator resumes or hands over the preparation of requests, and sends the
// placements of this instance to the new coordinator.
func (i *Instance) changeCoordinator(ctx context.Context, group *errgroup.Group, coordinator membership.Instance) {
	now := time.Now()
	i.Logger.Write(event.CoordinatorChosen, coordinator.Name, coordinator.EligibleSince, len(i.view().Reachable(now)), len(i.view().Known()))
	if coordinator.Name != i.Settings.Name {
		i.coordinatorSince.Store(0)
		i.coordinator.HandOver()
		i.sendPlacements(coordinator)
		return
	}
	i.coordinatorSince.Store(i.instant(now))
	i.coordinator.Resume()
	i.sendPlacements(coordinator)
	group.Go(func() error { return i.coordinator.RefreshFreeMemory(ctx) })
}

// nextHeartbeatInterval returns the time until the next heartbeats. In a large site, an
// instance that isn't a candidate for coordinator sends them half as often.
func (i *Instance) nextHeartbeatInterval() time.Duration {
	if i.view().Size() > largeSiteSize && !i.isCandidate(time.Now()) {
		return 2 * heartbeatInterval
	}
	return heartbeatInterval
}

// target is an instance that a heartbeat is sent to.
type target struct {
	address string
	// wantsRecords makes the heartbeat ask for the records that this instance lacks.
	wantsRecords bool
}

// heartbeatTargets returns the recipients of a round of heartbeats:
//   - the candidates for leader of the site, which stay in contact with all instances;
//   - the candidates for coordinator of the instance's cell, which stay in contact with
//     all instances of the cell;
//   - all reachable instances, while this instance is leaving, or after it has read
//     operator changes from the store;
//   - in every seedRounds-th round the seeds, while candidates are unreachable, and in
//     every round while no other instance is known.
//
// At most one recipient is asked for records: the first reachable candidate for leader, or
// the reachable candidates in turn while a copy is older than rotationAge. A frozen instance
// stays a candidate, and a request to it keeps the instance from asking another one. If all
// were asked in each round, their replies would fill the link of a small machine, none would
// arrive within the timeout, and all would be asked again.
func (i *Instance) heartbeatTargets(round int, now time.Time) []target {
	view := i.view()
	var targets []target
	add := func(address string) {
		isKnown := slices.ContainsFunc(targets, func(t target) bool { return t.address == address })
		if address != i.Settings.PeerAddress && !isKnown {
			targets = append(targets, target{address: address})
		}
	}
	candidates := view.Candidates(membership.Scope{}, now)
	for _, m := range candidates {
		add(m.Address)
	}
	leaders := len(targets)
	for _, m := range view.Candidates(i.ownScope(), now) {
		add(m.Address)
	}
	recordsTarget := 0
	if responsive := responsiveTargets(view, targets[:leaders], now); len(responsive) > 0 {
		recordsTarget = responsive[0]
		if i.isRotationDue(now) {
			recordsTarget = responsive[round%len(responsive)]
		}
	} else if leaders > 0 && i.isRotationDue(now) {
		recordsTarget = round % leaders
	}
	if i.isPushPending.Swap(false) || i.isLeaving() {
		for _, m := range view.Reachable(now) {
			add(m.Address)
		}
	}
	isAlone := view.Size() == 1
	if round%seedRounds == 0 && len(view.Reachable(now)) < len(candidates)-1 || isAlone {
		for _, seed := range *i.seeds.Load() {
			if isAlone {
				// The seed may have started just after the last failed connection.
				i.client.ResetBackoff(seed)
			}
			add(seed)
		}
	}
	if len(targets) > 0 && !i.isFetchingRecords.Load() {
		targets[recordsTarget].wantsRecords = true
	}
	return targets
}

// responsiveTargets returns the indices of the targets that are reachable.
func responsiveTargets(view membership.View, targets []target, now time.Time) []int {
	reachable := map[string]bool{}
	for _, m := range view.Reachable(now) {
		reachable[m.Address] = true
	}
	var indices []int
	for n, t := range targets {
		if reachable[t.address] {
			indices = append(indices, n)
		}
	}
	return indices
}

// rotationAge is the age of a copy above which the candidates are asked for records in
// turn.
const rotationAge = 800 * time.Millisecond

func (i *Instance) isRotationDue(now time.Time) bool {
	for _, stream := range streams {
		if now.Sub(i.feeds.Queries().State(stream).ConfirmedAt) > rotationAge {
			return true
		}
	}
	return false
}

func (i *Instance) sendHeartbeat(ctx context.Context, to target, includesKnown bool) {
	timeout := heartbeatTimeout
	if to.wantsRecords {
		if !i.isFetchingRecords.CompareAndSwap(false, true) {
			to.wantsRecords = false
		} else {
			defer i.isFetchingRecords.Store(false)
			timeout = recordsTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	message := i.newHeartbeat(includesKnown)
	message.WantsRecords = to.wantsRecords
	wantsAll := to.wantsRecords && i.wantsAllRecords(sentAt)
	if wantsAll {
		message.Positions = withoutServers(message.Positions)
	}
	message.IsCandidate = i.wasCandidate.Load()
	message.Quarantine = i.quarantine.Queries().Fresh(sentAt)
	message.Rollouts = i.newRolloutUpdate(includesKnown, sentAt).withEvidence(i.rollouts.Queries().Evidence())
	reply, err := callPeer[heartbeat](ctx, i, to.address, heartbeatSubject, message)
	switch {
	case errors.Is(err, request.ReasonPeerUnreachable):
		i.recordUnreachable(to.address, time.Now())
	case err != nil:
		// Any other error, usually a late reply, doesn't count as a failure: the instance
		// stays reachable until its last contact is too old.
		i.coordinationCounts.Add("heartbeatLate")
	default:
		i.recordContact(reply, sentAt, time.Now())
		i.mergeQuarantine(reply.Quarantine, time.Now())
		i.mergeRollouts(reply.Rollouts, sentAt, time.Now())
		i.applyReply(reply, sentAt)
		if wantsAll {
			i.allRecordsUntil.Store(0)
		}
	}
}

// withoutServers returns positions according to which the copy of the server entries is
// empty.
func withoutServers(positions []position) []position {
	positions = slices.Clone(positions)
	for n := range positions {
		if positions[n].Stream == platform.ServerStream {
			positions[n].End = 0
		}
	}
	return positions
}

// isWithoutServers reports whether positions are those of an instance without server entries.
func isWithoutServers(positions []position) bool {
	return slices.ContainsFunc(positions, func(p position) bool { return p.Stream == platform.ServerStream && p.End == 0 })
}

// recordUnreachable records a failed call to the instance at an address.
func (i *Instance) recordUnreachable(address string, now time.Time) {
	for _, m := range i.view().Known() {
		if m.Address == address {
			i.members.Commands().RecordFailure(m.Name, now)
		}
	}
}
