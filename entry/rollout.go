package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"lycheecrank.example/codec"
	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
	"lycheecrank.example/preparation"
	"lycheecrank.example/rollout"
)

const (
	// rolloutInterval is how often the leader checks the rollouts in progress, and
	// rolloutMinInterval the least time between two checks.
	rolloutInterval    = 200 * time.Millisecond
	rolloutMinInterval = 100 * time.Millisecond
	// rolloutReadInterval is how often the leader reads the stream of the rollouts while
	// one is in progress: another leader may have decided.
	rolloutReadInterval = 500 * time.Millisecond
	// rolloutTimeout bounds a call to the store, rolloutRetryDelay is the pause after a
	// failed one, idleRetryDelay that without a rollout in progress. The decisions of the
	// leader wait for its calls.
	rolloutTimeout    = 600 * time.Millisecond
	rolloutRetryDelay = 250 * time.Millisecond
	idleRetryDelay    = time.Second
	// startWindow is how long after its start an instance may learn of orders that were
	// given long before.
	startWindow = 3 * time.Second
	// majority is the part of the known instances that a leader without the store must
	// reach to confirm phases: there is no other leader that could have decided then.
	majority = 0.5
	// rolloutRetries is the number of retries that an instance may save up while a rollout
	// is in progress and for resumeTime after it: all streams of the old version break off
	// when the rollout succeeds, and resume at the new one.
	rolloutRetries = 200
	resumeTime     = 5 * time.Second
)

// rolloutLeader is what the leader knows of the streams of the rollouts in the store.
type rolloutLeader struct {
	instance *Instance
	// hasRead is set once the streams were read, until an append shows that another
	// instance has written. rolloutEnd and statusEnd are their ends.
	hasRead    bool
	rolloutEnd feed.Position
	statusEnd  feed.Position
	// stored and statuses hold the newest records by pool.
	stored   map[string]rollout.State
	statuses map[string]string
	readAt   time.Time
	failedAt time.Time
	isDown   bool
}

// runRollouts decides about rollouts while this instance is the leader.
func (i *Instance) runRollouts(ctx context.Context) error {
	if !i.rollouts.Queries().IsEnabled() {
		return nil
	}
	leader := &rolloutLeader{instance: i}
	var lastInProgress time.Time
	timer := time.NewTimer(rolloutInterval)
	defer timer.Stop()
	for {
		timer.Reset(i.rollouts.Queries().UntilDue(rolloutInterval, time.Now()))
		select {
		case <-timer.C:
		case <-i.rolloutTrigger:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		if len(i.rollouts.Queries().InProgress()) > 0 {
			lastInProgress = now
		}
		if !lastInProgress.IsZero() && now.Sub(lastInProgress) < resumeTime {
			i.delivery.Budget.SetReserve(rolloutRetries)
		} else {
			i.delivery.Budget.SetReserve(0)
		}
		if i.isStarting(now) || i.view().Coordinator(membership.Scope{}, now).Name != i.Settings.Name {
			*leader = rolloutLeader{instance: i}
			continue
		}
		leader.lead(ctx, now)
		pause(ctx, i.rollouts.Queries().UntilDue(rolloutMinInterval, time.Now()))
	}
}

// lead makes the due decisions, and brings the store up to date.
func (l *rolloutLeader) lead(ctx context.Context, now time.Time) {
	i := l.instance
	// A rollback must not wait for the store.
	names := i.rollouts.Queries().InProgress()
	var decisions []rolloutDecision
	for _, name := range names {
		next, input, ok := l.decide(name, now)
		switch {
		case ok && next.Phase == rollout.RolledBack:
			l.apply(next, input, now)
		case ok:
			decisions = append(decisions, rolloutDecision{next, input})
		}
	}
	retryDelay := rolloutRetryDelay
	if len(names) == 0 {
		retryDelay = idleRetryDelay
	}
	if l.failedAt.IsZero() || now.Sub(l.failedAt) >= retryDelay {
		err := l.leadWithStore(ctx, names, decisions, now)
		l.failedAt = time.Time{}
		if err != nil {
			l.failedAt = time.Now()
		}
		if errors.Is(err, platform.ErrMoved) {
			return
		}
		if l.isDown != (err != nil) {
			l.isDown = err != nil
			i.logStoreAvailability(platform.RolloutStream, err)
		}
	}
	if i.view().ReachableShare(membership.Scope{}, now) > majority {
		i.rollouts.Commands().Confirm(now)
	}
}

func (l *rolloutLeader) leadWithStore(ctx context.Context, names []string, decisions []rolloutDecision, now time.Time) error {
	if l.rolloutEnd.Era != l.instance.store.Era() {
		l.hasRead = false // the store has lost what was written last
	}
	if !l.hasRead || len(names) > 0 && now.Sub(l.readAt) >= rolloutReadInterval {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := l.start(ctx, name, now); err != nil {
			return err
		}
	}
	for _, d := range decisions {
		if err := l.advance(ctx, d, now); err != nil {
			return err
		}
	}
	return l.writeMissing(ctx)
}

// rolloutDecision is the next state of a rollout, with what it depends on.
type rolloutDecision struct {
	next  rollout.State
	input rollout.Input
}

// decide returns the next state of a rollout, if it changes.
func (l *rolloutLeader) decide(name string, now time.Time) (rollout.State, rollout.Input, bool) {
	i := l.instance
	configuration := i.routes.Queries().Current()
	isRoute := func(route string) bool {
		return strings.HasPrefix(route, preparation.StageRoutePrefix) || configuration.HasRoute(route)
	}
	return i.rollouts.Commands().Decide(name, isRoute, now)
}

// start starts the rollout of a new order, once the store has its first state.
func (l *rolloutLeader) start(ctx context.Context, name string, now time.Time) error {
	first, ok := l.instance.rollouts.Commands().Start(name, now)
	if !ok {
		return nil
	}
	if err := l.writeState(ctx, first); err != nil {
		return err
	}
	l.apply(first, rollout.Input{}, now)
	return nil
}

// advance applies a decision. A later phase takes effect only once the store has it.
func (l *rolloutLeader) advance(ctx context.Context, d rolloutDecision, now time.Time) error {
	current := l.instance.rollouts.Queries().State(d.next.Pool)
	if current.Position() != d.input.State.Position() || current.Phase != d.input.State.Phase {
		// The store had a decision of another leader.
		return nil
	}
	if d.next.Phase != current.Phase {
		if err := l.writeState(ctx, d.next); err != nil {
			return err
		}
	}
	l.apply(d.next, d.input, now)
	return nil
}

// apply applies a decision, logs it and sends it to all reachable instances.
func (l *rolloutLeader) apply(next rollout.State, input rollout.Input, now time.Time) {
	i := l.instance
	responses, bad, oldResponses, oldBad := input.Counts()
	i.Logger.Write(event.RolloutDecided, next.Pool, next.To, next.Offset, next.Phase.String(), next.Step, next.Spread, input.Elapsed.Milliseconds(),
		responses, bad, oldResponses, oldBad, next.Reason)
	if i.applyRolloutStates([]rollout.State{next}, now) {
		i.isPushPending.Store(true)
		i.triggerHeartbeats()
	}
}

// read reads both streams, and applies the phases that another leader has written.
func (l *rolloutLeader) read(ctx context.Context) error {
	i := l.instance
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	sentAt := time.Now()
	if l.hasRead {
		records, end, err := i.store.Read(ctx, platform.RolloutStream, l.rolloutEnd, 0)
		if err != nil {
			l.hasRead = false
			return err
		}
		l.rolloutEnd = end
		l.addStored(records)
	} else {
		records, end, err := i.store.Newest(ctx, platform.RolloutStream)
		if err != nil {
			return err
		}
		statuses, statusEnd, err := i.store.Newest(ctx, platform.StatusStream)
		if err != nil {
			return err
		}
		l.rolloutEnd, l.statusEnd = end, statusEnd
		l.stored, l.statuses = map[string]rollout.State{}, map[string]string{}
		for _, r := range statuses {
			if pool, ok := strings.CutPrefix(r.Key, platform.RolloutPrefix); ok {
				l.statuses[pool] = string(r.Value)
			}
		}
		l.addStored(records)
	}
	l.hasRead, l.readAt = true, sentAt
	i.rollouts.Commands().Confirm(sentAt)
	return nil
}

// addStored applies states that were read from the store.
func (l *rolloutLeader) addStored(records []feed.Record) {
	i := l.instance
	now := time.Now()
	var states []rollout.State
	for _, r := range records {
		var s rollout.State
		if err := codec.Unmarshal(r.Value, &s); err != nil {
			i.Logger.Write(event.LogRecordUnreadable, platform.RolloutStream, r.Offset, err)
			continue
		}
		l.stored[s.Pool] = s
		states = append(states, s)
		// An instance that was there when the order was given measured the time itself, and
		// needn't trust the clock of the machine.
		if elapsed := now.Sub(time.UnixMilli(s.StartedUnixMilli)); now.Sub(i.startedAt) < startWindow {
			i.rollouts.Commands().SetElapsed(s.Pool, s.Position(), min(elapsed, s.Duration()), now)
		}
	}
	if i.applyRolloutStates(states, now) {
		i.isPushPending.Store(true)
		i.triggerHeartbeats()
	}
}

// writeMissing writes the phases and statuses that the store lacks: those that were decided
// while it was unavailable, or by a leader that ended before it had written both.
func (l *rolloutLeader) writeMissing(ctx context.Context) error {
	for _, s := range l.instance.rollouts.Queries().States(true, time.Now()) {
		stored := l.stored[s.Pool]
		order := s.Position().Compare(stored.Position())
		if stored.To == "" || order > 0 || order == 0 && s.Phase > stored.Phase {
			if err := l.writeState(ctx, s); err != nil {
				return err
			}
		}
		if err := l.writeStatus(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// writeState writes a state, if no other instance has written to the stream.
func (l *rolloutLeader) writeState(ctx context.Context, state rollout.State) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	state.ElapsedMs = 0
	data, err := codec.Marshal(state)
	if err == nil {
		err = l.instance.store.PutAt(ctx, platform.RolloutStream, state.Pool, data, l.rolloutEnd)
	}
	if err != nil {
		// The append may have taken effect.
		l.hasRead = false
		return err
	}
	l.rolloutEnd.Offset++
	l.stored[state.Pool] = state
	return nil
}

// writeStatus writes the status of a rollout for operators and backend servers, if it has
// changed.
func (l *rolloutLeader) writeStatus(ctx context.Context, state rollout.State) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	value, err := platform.EncodeRolloutStatus(state)
	if err != nil || l.statuses[state.Pool] == string(value) {
		return err
	}
	if err := l.instance.store.PutAt(ctx, platform.StatusStream, platform.RolloutPrefix+state.Pool, value, l.statusEnd); err != nil {
		l.hasRead = false
		return err
	}
	l.statusEnd.Offset++
	l.statuses[state.Pool] = string(value)
	return nil
}
