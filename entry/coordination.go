package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/engine"
	"lycheecrank.example/lock"
	"lycheecrank.example/membership"
	"lycheecrank.example/preparation"
	"lycheecrank.example/request"
)

const (
	// maxPrepareTries bounds the calls to unreachable coordinators for one request.
	maxPrepareTries = 4
	// maxMoves is the number of coordinator changes that a request follows. After more
	// changes, the called instance is forced to prepare it. movePause is the pause
	// after each change.
	maxMoves  = 5
	movePause = 15 * time.Millisecond
	// noticeBatchDelay is how long notices are collected for one message. The
	// coordinator of a large site receives notices from all instances.
	noticeBatchDelay = 50 * time.Millisecond
	// noticeTimeout bounds the delivery of one message of notices.
	noticeTimeout = time.Second
	// maxNotices bounds the notices that are queued for sending, and the placements
	// that are remembered.
	maxNotices = 4096
	// placementRetention is how long a placement is remembered for a new coordinator
	// after the request has ended, measured from the placement.
	placementRetention = 10 * time.Second
)

// prepare has the coordinator prepare a request. If the coordinator can't be reached,
// prepare calls the next one within the remaining time of the request.
func (i *Instance) prepare(ctx context.Context, task preparation.Task) (preparation.Placement, error) {
	startedAt := time.Now()
	var lastErr error
	for tries, moves := 0, 0; tries < maxPrepareTries; {
		now := time.Now()
		coordinator := i.view().Coordinator(now)
		next := task
		next.Objective -= now.Sub(startedAt)
		next.Deadline -= now.Sub(startedAt)
		next.IsForced = tries > 0 || moves > maxMoves
		if next.Deadline <= 0 || ctx.Err() != nil {
			break
		}
		placement, err := i.prepareAt(ctx, coordinator, next)
		switch {
		case err == nil && !placement.IsHandedOver:
			i.placements.add(task, placement, coordinator, now)
			return placement, nil
		case err == nil:
			task.Results = placement.Results
			task.IsRebuilt = false
			moves++
			i.retries.Add("coordinatorMoved")
			pause(ctx, movePause)
			continue
		case !errors.Is(err, request.ReasonPeerUnreachable):
			return placement, err
		}
		lastErr = err
		tries++
		i.members.Commands().RecordFailure(coordinator.Name, time.Now())
		i.retries.Add("coordinatorUnreachable")
	}
	if lastErr == nil {
		lastErr = request.Refuse(request.ReasonDeadlineUnattainable, "no time left for another coordinator")
	}
	return preparation.Placement{}, lastErr
}

func (i *Instance) prepareAt(ctx context.Context, coordinator membership.Instance, task preparation.Task) (preparation.Placement, error) {
	if coordinator.Name == i.Settings.Name {
		return i.prepareLocally(ctx, task)
	}
	placement, err := callPeer[preparation.Placement](ctx, i, coordinator.Address, prepareSubject, task)
	if err != nil {
		// No engine has received the request, even if the coordinator received the call.
		f := request.AsFailure(err)
		f.Sent = false
		return placement, f
	}
	return placement, nil
}

// prepareLocally prepares a request on this instance. If the task isn't forced and
// another instance is the coordinator in the view of this one, it returns a placement
// with IsHandedOver set instead.
func (i *Instance) prepareLocally(ctx context.Context, task preparation.Task) (preparation.Placement, error) {
	if !task.IsForced && i.view().Coordinator(time.Now()).Name != i.Settings.Name {
		return preparation.Placement{IsHandedOver: true, Results: task.Results}, nil
	}
	return i.coordinator.Prepare(ctx, task)
}

// sendStart notifies the coordinator of the first event of a request at its engine.
func (i *Instance) sendStart(pool, server, id string, try int, took time.Duration) {
	i.notices.add(i.placements.coordinatorOf(id), notice{Kind: startedNotice, Pool: pool, Server: server, RequestID: id, Try: try, TimeToFirstEvent: took})
}

// sendEnd notifies the coordinator of the end of a request at its engine.
func (i *Instance) sendEnd(pool, server, id string, status preparation.RunStatus) {
	kind := map[preparation.RunStatus]noticeKind{
		preparation.RunEnded: endedNotice, preparation.RunRefused: refusedNotice, preparation.RunFailed: failedNotice,
	}[status]
	i.notices.add(i.placements.coordinatorOf(id), notice{Kind: kind, Pool: pool, Server: server, RequestID: id})
	i.placements.markEnded(id)
}

// sendAbandon notifies the coordinator that a prepared request won't be sent.
func (i *Instance) sendAbandon(id string, try int) {
	i.notices.add(i.placements.coordinatorOf(id), notice{Kind: abandonedNotice, RequestID: id, Try: try})
}

// applyNotices applies notices about prepared requests to the tables of the
// coordinator.
func (i *Instance) applyNotices(notices []notice) (bool, error) {
	now := time.Now()
	var running []engine.PlacedRequest
	for _, n := range notices {
		switch n.Kind {
		case startedNotice:
			i.coordinator.RecordFirstEvent(n.Pool, n.Server, n.RequestID, n.Try, n.TimeToFirstEvent)
		case endedNotice:
			i.coordinator.RecordEnd(n.Pool, n.Server, n.RequestID, preparation.RunEnded)
		case refusedNotice:
			i.coordinator.RecordEnd(n.Pool, n.Server, n.RequestID, preparation.RunRefused)
		case failedNotice:
			i.coordinator.RecordEnd(n.Pool, n.Server, n.RequestID, preparation.RunFailed)
		case abandonedNotice:
			i.coordinator.Abandon(n.RequestID, n.Try)
		case runningNotice, promptReadNotice:
			running = append(running, engine.PlacedRequest{
				Pool: n.Pool, EngineID: n.Server, RequestID: n.RequestID, Prompt: n.Prompt, IsRunning: n.Kind == runningNotice,
			})
		}
	}
	i.coordinator.Engines.Commands().Restore(running, now)
	return true, nil
}

// sendPlacements notifies a new coordinator of the requests of this instance that are
// running, and of the prompts that engines have recently read for it.
func (i *Instance) sendPlacements(coordinator membership.Instance) {
	for _, n := range i.placements.reassign(coordinator, time.Now()) {
		i.notices.add(coordinator, n)
	}
}

// placement is the server that a request was sent to, with the coordinator that is
// notified about the request.
type placement struct {
	pool        string
	server      string
	prompt      engine.Prompt
	coordinator membership.Instance
	placedAt    time.Time
	isEnded     bool
}

// placements holds the recent placements by request ID.
type placements struct {
	mu    *lock.Ranked
	byID  map[string]placement
	order []string
}

func newPlacements() *placements {
	return &placements{mu: lock.New(lock.RankRequest, "placements"), byID: map[string]placement{}}
}

func (p *placements) add(task preparation.Task, result preparation.Placement, coordinator membership.Instance, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.order) > 0 {
		old, ok := p.byID[p.order[0]]
		if ok && (!old.isEnded || now.Sub(old.placedAt) < placementRetention) && len(p.order) < maxNotices {
			break
		}
		delete(p.byID, p.order[0])
		p.order = p.order[1:]
	}
	if _, ok := p.byID[task.RequestID]; !ok {
		p.order = append(p.order, task.RequestID)
	}
	p.byID[task.RequestID] = placement{pool: task.Pool, server: result.Server, prompt: task.Prompt, coordinator: coordinator, placedAt: now}
}

// coordinatorOf returns the coordinator that is notified about a request, or the zero
// value if the placement is unknown.
func (p *placements) coordinatorOf(id string) membership.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id].coordinator
}

func (p *placements) markEnded(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if placed, ok := p.byID[id]; ok {
		placed.isEnded = true
		p.byID[id] = placed
	}
}

// reassign makes a new coordinator the recipient of notices about running requests. It
// returns the notices that the new coordinator needs about running requests and
// recently read prompts.
func (p *placements) reassign(coordinator membership.Instance, now time.Time) []notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	var notices []notice
	for id, pl := range p.byID {
		if now.Sub(pl.placedAt) > placementRetention && pl.isEnded || pl.coordinator.Name == coordinator.Name {
			continue
		}
		kind := promptReadNotice
		if !pl.isEnded {
			kind = runningNotice
			pl.coordinator = coordinator
			p.byID[id] = pl
		}
		notices = append(notices, notice{Kind: kind, Pool: pl.pool, Server: pl.server, RequestID: id, Prompt: pl.prompt})
	}
	return notices
}

// addressedNotice is a notice with its recipient.
type addressedNotice struct {
	to     membership.Instance
	notice notice
}

// notices sends notices in the background, so that they don't delay the requests.
type notices struct {
	instance *Instance
	queue    chan addressedNotice
}

func newNotices(instance *Instance) *notices {
	return &notices{instance: instance, queue: make(chan addressedNotice, maxNotices)}
}

func (n *notices) add(to membership.Instance, message notice) {
	if to.Name == "" {
		return
	}
	if to.Name == n.instance.Settings.Name {
		// applyNotices never returns an error.
		_, _ = n.instance.applyNotices([]notice{message})
		return
	}
	select {
	case n.queue <- addressedNotice{to, message}:
	default:
		n.instance.preparationCounts.Add("noticeDropped")
	}
}

// run sends the notices to each instance in the order in which they were added.
func (n *notices) run(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	busy := &sync.Map{}
	waiting := map[string][]notice{}
	for {
		select {
		case a := <-n.queue:
			waiting[a.to.Address] = append(waiting[a.to.Address], a.notice)
		case <-ctx.Done():
			return nil
		}
		pause(ctx, noticeBatchDelay)
		n.drainQueue(waiting)
		for address, list := range waiting {
			if _, isBusy := busy.LoadOrStore(address, true); isBusy {
				continue
			}
			delete(waiting, address)
			group.Go(func() error {
				defer busy.Delete(address)
				n.send(ctx, address, list)
				return nil
			})
		}
	}
}

func (n *notices) drainQueue(waiting map[string][]notice) {
	for {
		select {
		case a := <-n.queue:
			waiting[a.to.Address] = append(waiting[a.to.Address], a.notice)
		default:
			return
		}
	}
}

func (n *notices) send(ctx context.Context, address string, list []notice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := callPeer[bool](ctx, n.instance, address, noticeSubject, list); err != nil {
		n.instance.preparationCounts.AddN("noticeLost", int64(len(list)))
	}
}
