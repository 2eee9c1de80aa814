package entry

import (
	"context"
	"errors"
	"time"

	"lycheecrank.example/drain"
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
)

// prepare calls a coordinator to prepare a request. It asks the cell of this instance
// first, and the other cells if that one lacks servers or expects to miss the objective.
// If all of them decline, the first cell decides whether the request can be served late.
func (i *Instance) prepare(ctx context.Context, task preparation.Task) (preparation.Placement, error) {
	startedAt := time.Now()
	division := i.division.Load()
	if previous := i.placements.coordinatorOf(task.RequestID); task.Try > 1 && previous.Name != "" {
		// The cell of the last try has the results and, if only one may serve the request,
		// the engine.
		if name := division.layout.Of(previous.DataCentre); division.canServe(name, task) {
			return i.prepareIn(ctx, name, task, startedAt)
		}
	}
	cells := division.order(i.ownCell(), task)
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
// to miss the objective. It reports false if another cell should be asked. Another cell
// with a recent failure isn't asked: its data centre may be cut off, where a call takes
// as long as its timeout.
func (i *Instance) prepareOnTime(ctx context.Context, name string, task preparation.Task, startedAt time.Time) (preparation.Placement, bool, error) {
	now := time.Now()
	coordinator, ok := i.coordinatorOf(name, now)
	task.OnTimeOnly = true
	task = task.WithElapsed(now.Sub(startedAt))
	if !ok || task.Deadline <= 0 || name != i.ownCell() && i.view().HasRecentFailure(i.scopeOf(name), now) {
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
		if i.awaitsContact(now) {
			pause(ctx, movePause)
			continue
		}
		reply, err := i.prepareAt(ctx, coordinator, next)
		named = membership.Instance{}
		switch {
		case err == nil && !reply.Placement.IsHandedOver:
			i.placements.add(task, reply.Placement, coordinator, now)
			return reply.Placement, nil
		case err == nil:
			task = task.WithHandOver(reply.Placement.Results)
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
	if schedule := *i.stopSchedule.Load(); schedule != (drain.Schedule{}) {
		task = task.WithAnswerBy(schedule.AnswerBy, time.Now())
	}
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
