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
	// changes, the called instance must prepare it even if it isn't the coordinator.
	// movePause is the pause after each change.
	maxMoves  = 5
	movePause = 15 * time.Millisecond
	// maxAskedCells bounds the cells that are asked to prepare a request on time. In an
	// overload of the whole site, each of them declines.
	maxAskedCells = 2
	// noticeBatchDelay is how long notices are collected for one message. The
	// coordinator of a large site receives notices from all instances.
	noticeBatchDelay = 50 * time.Millisecond
	// noticeTimeout bounds the delivery of one message of notices.
	noticeTimeout = time.Second
	// maxQueueLength bounds two queues: the notices that wait to be sent, and the
	// placed requests that are remembered.
	maxQueueLength = 4096
	// placementRetention is how long after it was made a placement is remembered for a
	// new coordinator. The placement of a request that still runs is remembered for
	// longer, until the request has ended.
	placementRetention = 10 * time.Second
)

// prepare calls a coordinator to prepare a request. It asks the cell of this instance
// first, and the other cells if that one lacks servers or expects to miss the objective.
// If all of them decline, the first cell decides whether the request can be served late.
func (i *Instance) prepare(ctx context.Context, task preparation.Task) (preparation.Placement, error) {
	startedAt := time.Now()
	cells := i.division.Load().order(i.ownCell(), task)
	if task.Try == 1 && len(cells) > 1 {
		for _, name := range cells[:min(len(cells), maxAskedCells)] {
			placement, isPlaced, err := i.prepareOnTime(ctx, name, task, startedAt)
			if isPlaced || err != nil {
				return placement, err
			}
			i.retries.Add("cellDeclined")
		}
	}
	return i.prepareIn(ctx, cells[0], task, startedAt)
}

// prepareOnTime asks the coordinator of a cell to prepare a request, unless that expects
// to miss the objective. It reports false if another cell should be asked.
func (i *Instance) prepareOnTime(ctx context.Context, name string, task preparation.Task, startedAt time.Time) (preparation.Placement, bool, error) {
	now := time.Now()
	coordinator, ok := i.coordinatorOf(name, now)
	task.OnTimeOnly = true
	task = task.WithElapsed(now.Sub(startedAt))
	if !ok || task.Deadline <= 0 {
		return preparation.Placement{}, false, nil
	}
	reply, err := i.prepareAt(ctx, coordinator, task)
	if err == nil && reply.Placement.IsHandedOver && reply.Coordinator.Name != coordinator.Name {
		coordinator = reply.Coordinator
		reply, err = i.prepareAt(ctx, coordinator, task)
	}
	switch {
	case errors.Is(err, request.ReasonPeerUnreachable):
		i.recordUnreachableCoordinator(coordinator)
		return preparation.Placement{}, false, nil
	case err != nil:
		return reply.Placement, false, err
	case reply.Placement.IsHandedOver || reply.Placement.IsDeclined:
		return preparation.Placement{}, false, nil
	}
	i.placements.add(task, reply.Placement, coordinator, now)
	return reply.Placement, true, nil
}

// prepareIn calls the coordinator of a cell to prepare a request. If it can't be
// reached, prepareIn calls the next one within the remaining time of the request. An
// instance that isn't the coordinator names the one that is.
func (i *Instance) prepareIn(ctx context.Context, name string, task preparation.Task, startedAt time.Time) (preparation.Placement, error) {
	var lastErr error
	var named membership.Instance
	for tries, moves := 0, 0; tries < maxPrepareTries; {
		now := time.Now()
		coordinator, ok := i.coordinatorOf(name, now)
		if named.Name != "" {
			coordinator, ok = named, true
		}
		next := task.WithElapsed(now.Sub(startedAt))
		next.IsForced = tries > 0 || moves > maxMoves
		if !ok || next.Deadline <= 0 || ctx.Err() != nil {
			break
		}
		reply, err := i.prepareAt(ctx, coordinator, next)
		named = membership.Instance{}
		switch {
		case err == nil && !reply.Placement.IsHandedOver:
			i.placements.add(task, reply.Placement, coordinator, now)
			return reply.Placement, nil
		case err == nil:
			// The called instance returned the results that exist so far. The next one
			// ignores them if IsRebuilt is set.
			task.Results = reply.Placement.Results
			task.IsRebuilt = false
			if reply.Coordinator.Name != coordinator.Name {
				named = reply.Coordinator
			}
			moves++
			i.retries.Add("coordinatorMoved")
			pause(ctx, movePause)
			continue
		case !errors.Is(err, request.ReasonPeerUnreachable):
			return reply.Placement, err
		}
		lastErr = err
		tries++
		i.recordUnreachableCoordinator(coordinator)
	}
	if lastErr == nil {
		lastErr = request.Refuse(request.ReasonDeadlineUnattainable, "no time left for another coordinator")
	}
	return preparation.Placement{}, lastErr
}

func (i *Instance) recordUnreachableCoordinator(coordinator membership.Instance) {
	i.members.Commands().RecordFailure(coordinator.Name, time.Now())
	i.retries.Add("coordinatorUnreachable")
}

func (i *Instance) prepareAt(ctx context.Context, coordinator membership.Instance, task preparation.Task) (prepareReply, error) {
	if coordinator.Name == i.Settings.Name {
		return i.prepareLocally(ctx, task)
	}
	reply, err := callPeer[prepareReply](ctx, i, coordinator.Address, prepareSubject, task)
	if err != nil {
		// No engine has received the request, even if the coordinator received the call.
		f := request.AsFailure(err)
		f.Sent = false
		return reply, f
	}
	i.members.Commands().RecordReply(coordinator, time.Now())
	return reply, nil
}

// prepareLocally prepares a request on this instance. If the task isn't forced and
// another instance is the coordinator in the view of this one, it returns a placement
// with IsHandedOver set and names that instance.
func (i *Instance) prepareLocally(ctx context.Context, task preparation.Task) (prepareReply, error) {
	coordinator := i.view().Coordinator(i.ownScope(), time.Now())
	if !task.IsForced && coordinator.Name != i.Settings.Name {
		return prepareReply{Placement: preparation.Placement{IsHandedOver: true, Results: task.Results}, Coordinator: coordinator}, nil
	}
	placement, err := i.coordinator.Prepare(ctx, task)
	if err == nil && placement.Server != "" {
		i.shareRead(task, placement)
	}
	return prepareReply{Placement: placement, Coordinator: coordinator}, err
}

// shareRead notifies the coordinators of the other cells of a prompt that an engine of
// this cell reads, so that engines of other cells can fetch its beginning from there.
func (i *Instance) shareRead(task preparation.Task, placement preparation.Placement) {
	if !task.Prompt.IsWorthTransfer() {
		return
	}
	now := time.Now()
	for _, name := range i.division.Load().layout.Cells() {
		if name == i.ownCell() {
			continue
		}
		if coordinator, ok := i.coordinatorOf(name, now); ok {
			i.notices.add(coordinator, notice{Kind: remoteReadNotice, Pool: task.Pool, Server: placement.Server, Prompt: task.Prompt})
		}
	}
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
	var reads []engine.RemoteRead
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
		case remoteReadNotice:
			if server, ok := i.fleet.Queries().Server(n.Server, now); ok {
				reads = append(reads, engine.RemoteRead{Pool: n.Pool, Address: server.Address, Prompt: n.Prompt})
			}
		}
	}
	i.coordinator.Engines.Commands().AddRemoteReads(reads, now)
	i.coordinator.Engines.Commands().Restore(running, now)
	return true, nil
}

// sendPlacements notifies a new coordinator of the requests of this instance that are
// running in its cell, and of the prompts that engines have recently read for them.
func (i *Instance) sendPlacements(coordinator membership.Instance) {
	layout := i.division.Load().layout
	isInCell := func(old membership.Instance) bool {
		return layout.Of(old.DataCentre) == layout.Of(coordinator.DataCentre)
	}
	for _, n := range i.placements.reassign(coordinator, isInCell, time.Now()) {
		i.notices.add(coordinator, n)
	}
}

// placedRequest is a request with the engine server that the coordinator chose for it.
// The field coordinator is the instance that is notified about the request.
type placedRequest struct {
	pool        string
	server      string
	prompt      engine.Prompt
	coordinator membership.Instance
	placedAt    time.Time
	isEnded     bool
}

// placements holds the recently placed requests by ID.
type placements struct {
	mu    *lock.Ranked
	byID  map[string]placedRequest
	order []string
}

func newPlacements() *placements {
	return &placements{mu: lock.New(lock.RankRequest, "placements"), byID: map[string]placedRequest{}}
}

func (p *placements) add(task preparation.Task, result preparation.Placement, coordinator membership.Instance, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.order) > 0 {
		old, ok := p.byID[p.order[0]]
		if ok && (!old.isEnded || now.Sub(old.placedAt) < placementRetention) && len(p.order) < maxQueueLength {
			break
		}
		delete(p.byID, p.order[0])
		p.order = p.order[1:]
	}
	if _, ok := p.byID[task.RequestID]; !ok {
		p.order = append(p.order, task.RequestID)
	}
	p.byID[task.RequestID] = placedRequest{pool: task.Pool, server: result.Server, prompt: task.Prompt, coordinator: coordinator, placedAt: now}
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

// reassign makes a new coordinator the recipient of notices about running requests whose
// coordinator a function selects. It returns the notices that the new coordinator needs
// about these requests and about recently read prompts.
func (p *placements) reassign(coordinator membership.Instance, isReplaced func(old membership.Instance) bool, now time.Time) []notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	var notices []notice
	for id, placed := range p.byID {
		if now.Sub(placed.placedAt) > placementRetention && placed.isEnded || placed.coordinator.Name == coordinator.Name || !isReplaced(placed.coordinator) {
			continue
		}
		kind := promptReadNotice
		if !placed.isEnded {
			kind = runningNotice
			placed.coordinator = coordinator
			p.byID[id] = placed
		}
		notices = append(notices, notice{Kind: kind, Pool: placed.pool, Server: placed.server, RequestID: id, Prompt: placed.prompt})
	}
	return notices
}

// addressedNotice is a notice with its recipient.
type addressedNotice struct {
	to     membership.Instance
	notice notice
}

// noticeSender sends notices in the background, so that they don't delay the requests.
type noticeSender struct {
	instance *Instance
	queue    chan addressedNotice
}

func newNoticeSender(instance *Instance) *noticeSender {
	return &noticeSender{instance: instance, queue: make(chan addressedNotice, maxQueueLength)}
}

func (n *noticeSender) add(to membership.Instance, message notice) {
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
		n.instance.coordinationCounts.Add("noticeDropped")
	}
}

// run sends the notices to each instance in the order in which they were added.
func (n *noticeSender) run(ctx context.Context) error {
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

func (n *noticeSender) drainQueue(waiting map[string][]notice) {
	for {
		select {
		case a := <-n.queue:
			waiting[a.to.Address] = append(waiting[a.to.Address], a.notice)
		default:
			return
		}
	}
}

func (n *noticeSender) send(ctx context.Context, address string, list []notice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := callPeer[bool](ctx, n.instance, address, noticeSubject, list); err != nil {
		n.instance.coordinationCounts.AddN("noticeLost", int64(len(list)))
	}
}
