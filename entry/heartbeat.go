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
	// heartbeatInterval is how often instances hear of each other.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatLimit bounds a heartbeat with its answer.
	heartbeatLimit = 700 * time.Millisecond
	// recordsLimit bounds one whose answer has records: a configuration takes some
	// hundred milliseconds on the link of a small machine.
	recordsLimit = 1500 * time.Millisecond
	// largeSite is the number of instances from which on most heartbeat half as often.
	largeSite = 16
	// knownEvery is the number of heartbeats after which the known instances are told.
	knownEvery = 8
	// seedEvery is the number of heartbeats between attempts to reach a seed that no
	// known instance has the address of.
	seedEvery = 4
)

// ask asks another instance something and decodes its reply.
func ask[R any](ctx context.Context, i *Instance, address, subject string, question any) (R, error) {
	var reply R
	data, err := codec.Marshal(question)
	if err != nil {
		return reply, err
	}
	data, err = i.client.Ask(ctx, address, subject, data)
	if err != nil {
		return reply, err
	}
	return reply, codec.Unmarshal(data, &reply)
}

// reply decodes a question and encodes what answer makes of it.
func reply[Q, R any](data []byte, answer func(Q) (R, error)) ([]byte, error) {
	var question Q
	if err := codec.Unmarshal(data, &question); err != nil {
		return nil, request.Refuse(request.ReasonMalformed, err.Error())
	}
	r, err := answer(question)
	if err != nil {
		return nil, err
	}
	return codec.Marshal(r)
}

// answer answers the questions of other instances.
func (i *Instance) answer(ctx context.Context, _ peer.Hello, subject string, data []byte) ([]byte, error) {
	switch subject {
	case heartbeatSubject:
		return reply(data, i.takeHeartbeat)
	case prepareSubject:
		return reply(data, func(o preparation.Task) (preparation.Placement, error) { return i.prepareHere(ctx, o) })
	case noticeSubject:
		return reply(data, i.takeNotices)
	}
	return nil, request.Refuse(request.ReasonMalformed, "unknown subject "+subject)
}

// takeHeartbeat takes a heartbeat of another instance and answers with the own one and what
// the other one lacks.
func (i *Instance) takeHeartbeat(b heartbeat) (heartbeat, error) {
	// How old the positions are is not known: the heartbeat may have waited on its way.
	i.recordContact(b, time.Now())
	answer := i.heartbeat(len(b.Known) > 0)
	if b.WantsRecords {
		answer.Missing = i.missing(b.Positions)
	}
	if i.lacksOperators(b.Positions) {
		i.fetch(b.Self.Address)
	}
	return answer, nil
}

// lacksOperators reports whether another instance has newer words of operators. News
// of servers wait for the next heartbeat: they come many times a second, and a
// question for each made a large site answer nothing else.
func (i *Instance) lacksOperators(positions []position) bool {
	return slices.ContainsFunc(positions, func(p position) bool {
		return p.Stream == platform.Operators && p.End > i.feeds.Queries().State(p.Stream).End
	})
}

// fetch asks one instance for its records at once, unless another one is being
// asked.
func (i *Instance) fetch(address string) {
	select {
	case i.fetches <- address:
	default:
	}
}

// runFetches asks instances that have newer words of operators for them.
func (i *Instance) runFetches(ctx context.Context) error {
	for {
		select {
		case address := <-i.fetches:
			i.sendHeartbeat(ctx, target{address: address, wantsRecords: true}, false)
		case <-ctx.Done():
			return nil
		}
	}
}

// recordContact notes a message of an instance.
func (i *Instance) recordContact(b heartbeat, now time.Time) {
	i.members.Commands().RecordContact(b.Self, b.Known, now)
	i.client.ResetBackoff(b.Self.Address)
}

func (i *Instance) heartbeat(isFull bool) heartbeat {
	v := i.view()
	b := heartbeat{Self: v.Self(), Positions: i.positions()}
	if isFull {
		b.Known = v.Known()
	}
	return b
}

// wakeHeartbeats makes the next heartbeats go out at once.
func (i *Instance) wakeHeartbeats() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// runHeartbeats tells the other instances that this one lives, and what it knows.
func (i *Instance) runHeartbeats(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	clock := heartbeatClock{boot: i.SinceBoot(), at: time.Now(), interval: heartbeatInterval}
	coordinator := ""
	for round := 0; ; round++ {
		select {
		case <-timer.C:
		case <-i.wake:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		i.checkFitness(&clock, now, coordinator == i.Settings.Name)
		timer.Reset(clock.interval)
		i.members.Commands().Forget(now)
		for _, t := range i.targets(round, now) {
			group.Go(func() error {
				i.sendHeartbeat(ctx, t, round%knownEvery == 0)
				return nil
			})
		}
		if c := i.view().Coordinator(now); c.Name != coordinator {
			coordinator = c.Name
			i.changeCoordinator(ctx, &group, c)
		}
	}
}

// changeCoordinator takes the work up, or hands it over, and tells the new
// coordinator what it has to know.
func (i *Instance) changeCoordinator(ctx context.Context, group *errgroup.Group, c membership.Instance) {
	now := time.Now()
	i.Logger.Write(event.CoordinatorChosen, c.Name, c.FitSince, len(i.view().Reachable(now)), len(i.view().Known()))
	if c.Name != i.Settings.Name {
		i.prepared.HandOver()
		i.introduce(c)
		return
	}
	i.prepared.Resume()
	i.introduce(c)
	group.Go(func() error { return i.prepared.RefreshFreeMemory(ctx) })
}

// interval returns the interval of heartbeats: in a large site an instance that is no
// candidate for coordinator heartbeats half as often.
func (i *Instance) interval() time.Duration {
	v := i.view()
	isMember := slices.ContainsFunc(v.Candidates(time.Now()), func(m membership.Instance) bool { return m.Name == i.Settings.Name })
	if v.Size() > largeSite && !isMember {
		return 2 * heartbeatInterval
	}
	return heartbeatInterval
}

// target is an instance that gets a heartbeat.
type target struct {
	address string
	// wantsRecords tells that it is asked for records.
	wantsRecords bool
}

// targets returns who gets the heartbeats of a round: the first candidates for
// coordinator, which stay in touch with all. An instance that leaves, or that has
// news of operators, tells all that it reaches. One of them is asked for records: the
// first candidate, or all in turn while the copies here are old. With several answers
// at a time the link of a small machine was full, none came within its limit, and all
// were asked again.
func (i *Instance) targets(round int, now time.Time) []target {
	v := i.view()
	var targets []target
	add := func(address string) {
		isKnown := slices.ContainsFunc(targets, func(t target) bool { return t.address == address })
		if address != i.Settings.Peers && !isKnown {
			targets = append(targets, target{address: address})
		}
	}
	candidates := v.Candidates(now)
	for _, m := range candidates {
		add(m.Address)
	}
	asked := 0
	if n := len(targets); n > 0 && i.isCopyOld(now) {
		asked = round % n
	}
	if i.isPushing.Swap(false) || i.isLeaving() {
		for _, m := range v.Reachable(now) {
			add(m.Address)
		}
	}
	if round%seedEvery == 0 && len(v.Reachable(now)) < len(candidates)-1 || v.Size() == 1 {
		for _, seed := range *i.seeds.Load() {
			add(seed)
		}
	}
	if len(targets) > 0 && !i.isFetching.Load() {
		targets[asked].wantsRecords = true
	}
	return targets
}

// oldCopy is the age from which on all candidates are asked for records in turn.
const oldCopy = 800 * time.Millisecond

func (i *Instance) isCopyOld(now time.Time) bool {
	for _, stream := range streams {
		if now.Sub(i.feeds.Queries().State(stream).ConfirmedAt) > oldCopy {
			return true
		}
	}
	return false
}

func (i *Instance) sendHeartbeat(ctx context.Context, to target, isFull bool) {
	limit := heartbeatLimit
	if to.wantsRecords {
		if !i.isFetching.CompareAndSwap(false, true) {
			to.wantsRecords = false
		} else {
			defer i.isFetching.Store(false)
			limit = recordsLimit
		}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := time.Now()
	question := i.heartbeat(isFull)
	question.WantsRecords = to.wantsRecords
	b, err := ask[heartbeat](ctx, i, to.address, heartbeatSubject, question)
	switch {
	case errors.Is(err, request.ReasonPeerUnreachable):
		i.failAddress(to.address, time.Now())
	case err != nil:
		// An instance that answers late is not gone: its silence tells that.
		i.dropped.Add("heartbeatLate")
	default:
		i.recordContact(b, time.Now())
		i.catchUp(b, asked)
	}
}

// failAddress notes that the instance at an address did not answer.
func (i *Instance) failAddress(address string, now time.Time) {
	for _, m := range i.view().Known() {
		if m.Address == address {
			i.members.Commands().RecordFailure(m.Name, now)
		}
	}
}
