package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/drain"
	"lycheecrank.example/engine"
	"lycheecrank.example/event"
	"lycheecrank.example/fleet"
	"lycheecrank.example/membership"
	"lycheecrank.example/preparation"
)

const (
	// noticeBatchDelay is how long notices are collected for one message. The
	// coordinator of a large site receives notices from all instances.
	noticeBatchDelay = 50 * time.Millisecond
	// noticeTimeout bounds the delivery of one message of notices.
	noticeTimeout = time.Second
	// lastNoticesTimeout bounds the wait for the last notices at shutdown. Without them,
	// coordinators count places until the deadlines of their requests.
	lastNoticesTimeout = 3 * noticeBatchDelay
	// maxQueuedNotices bounds the notices that wait to be sent.
	maxQueuedNotices = 4096
)

// sendStart notifies the coordinator of the first event of a request at its engine.
func (i *Instance) sendStart(pool, server, id string, try int, took time.Duration) {
	i.recordBegin(id, i.placements.markBegun(id))
	load, age := i.placements.loadOf(id, time.Now())
	i.notices.add(i.placements.coordinatorOf(id), notice{
		Kind: startedNotice, Pool: pool, Server: server, RequestID: id, Try: try, TimeToFirstEvent: took, Load: load, LoadAge: age,
	})
}

// sendEnd notifies the coordinator of the end of a request at its engine.
func (i *Instance) sendEnd(pool, server, id string, status preparation.RunStatus) {
	kind := map[preparation.RunStatus]noticeKind{
		preparation.RunEnded: endedNotice, preparation.RunRefused: refusedNotice, preparation.RunFailed: failedNotice,
	}[status]
	i.recordAnswerEnd(id, status)
	load, age := i.placements.loadOf(id, time.Now())
	i.notices.add(i.placements.coordinatorOf(id), notice{Kind: kind, Pool: pool, Server: server, RequestID: id, Load: load, LoadAge: age})
	i.placements.markEnded(id, status)
}

// sendAbandon notifies the coordinator that a prepared request won't be sent.
func (i *Instance) sendAbandon(id string, try int) {
	i.notices.add(i.placements.coordinatorOf(id), notice{Kind: abandonedNotice, RequestID: id, Try: try})
}

// sendAnswerBy notifies the coordinators which requests of this instance wait and must be
// answered before it exits. The request IDs are those of attempts.
func (i *Instance) sendAnswerBy(schedule drain.Schedule) {
	now := time.Now()
	var waiting []string
	for _, a := range i.attempts.Queries().Attempts() {
		if a.Phase == drain.Waiting {
			waiting = append(waiting, a.ID)
		}
	}
	if len(waiting) == 0 {
		return
	}
	for _, name := range i.division.Load().layout.Cells() {
		if coordinator, ok := i.coordinatorOf(name, now); ok {
			i.notices.add(coordinator, notice{Kind: answerByNotice, RequestIDs: waiting, Remaining: schedule.AnswerBy.Sub(now)})
		}
	}
}

// The sources of leaving statements in the log.
const (
	fromAnswer = "answer"
	fromNotice = "notice"
	fromReply  = "reply"
)

// markLeaving records that a process of a server said in an answer that it is leaving, and
// notifies the coordinator: the entry of the server in the store may show it later.
func (i *Instance) markLeaving(process fleet.Process) {
	if !i.recordLeaving(process, fromAnswer) {
		return
	}
	if coordinator := i.view().Coordinator(i.ownScope(), time.Now()); coordinator.Name != i.Settings.Name {
		i.notices.add(coordinator, notice{Kind: leavingNotice, Leaving: &process})
	}
}

// recordLeaving takes a process that is leaving out of service. It reports whether this is
// new.
func (i *Instance) recordLeaving(process fleet.Process, source string) bool {
	now := time.Now()
	if !i.fleet.Commands().MarkLeaving(process, now) {
		return false
	}
	listed, _ := i.fleet.Queries().Server(process.ServerID, now)
	i.Logger.Write(event.ServerLeaving, process.ServerID, source, process.StartedUnixMilli, listed.Process() == process)
	i.syncServers(now)
	return true
}

// pauseServer records that a process of a server turned a request away and wants none of
// this instance for a time.
func (i *Instance) pauseServer(process fleet.Process, pause time.Duration) {
	now := time.Now()
	until := now.Add(pause)
	i.fleet.Commands().Pause(process, until, now)
	if listed, _ := i.fleet.Queries().Server(process.ServerID, now); listed.Process() == process {
		i.plainServers.Commands().Pause(process.ServerID, until)
		i.coordinator.Batches.Commands().Pause(process.ServerID, until)
	}
	i.coordinationCounts.Add("serverPaused")
	i.Logger.Write(event.ServerPaused, process.ServerID, pause.Milliseconds())
}

// applyNotices applies notices about prepared requests to the tables of the
// coordinator.
func (i *Instance) applyNotices(notices []notice) (bool, error) {
	now := time.Now()
	var running []engine.PlacedRequest
	var reads []engine.RemoteRead
	for _, n := range notices {
		if n.Load.Slowness > 0 {
			i.coordinator.Engines.Commands().RecordLoad(n.Pool, n.Server, n.Load, now.Add(-max(0, n.LoadAge)))
		}
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
			if n.HasBegun {
				i.recordBegin(n.RequestID, n.Prompt)
			}
			var until time.Time
			if n.Remaining > 0 {
				until = now.Add(n.Remaining)
			}
			running = append(running, engine.PlacedRequest{
				Pool: n.Pool, EngineID: n.Server, RequestID: n.RequestID, Prompt: n.Prompt, IsRunning: n.Kind == runningNotice, Until: until,
			})
		case leavingNotice:
			if n.Leaving != nil {
				i.recordLeaving(*n.Leaving, fromNotice)
			}
		case answerByNotice:
			for _, id := range n.RequestIDs {
				i.coordinator.SetAnswerBy(id, now.Add(n.Remaining))
			}
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
// running in its cell, of the prompts that engines have recently read for them, and of the
// servers that are leaving.
func (i *Instance) sendPlacements(coordinator membership.Instance) {
	layout := i.division.Load().layout
	isInCell := func(old membership.Instance) bool {
		return layout.Of(old.DataCentre) == layout.Of(coordinator.DataCentre)
	}
	for _, n := range i.placements.reassign(coordinator, isInCell, time.Now()) {
		i.notices.add(coordinator, n)
	}
	if coordinator.Name == i.Settings.Name {
		return
	}
	for _, process := range i.fleet.Queries().Leaving(time.Now()) {
		i.notices.add(coordinator, notice{Kind: leavingNotice, Leaving: &process})
	}
}

// addressedNotice is a notice with its recipient.
type addressedNotice struct {
	to     membership.Instance
	notice notice
}

// noticeSender sends notices in the background, so that they don't delay the requests.
type noticeSender struct {
	instance *Instance
	// deliver sends notices to the instance at an address.
	deliver func(ctx context.Context, address string, notices []notice) error
	queue   chan addressedNotice
	// pending is the number of notices that aren't delivered or lost.
	pending atomic.Int64
	// delivered receives a value when a delivery has ended.
	delivered chan struct{}
}

func newNoticeSender(instance *Instance) *noticeSender {
	return &noticeSender{
		instance: instance,
		deliver: func(ctx context.Context, address string, notices []notice) error {
			_, err := callPeer[bool](ctx, instance, address, noticeSubject, notices)
			return err
		},
		queue:     make(chan addressedNotice, maxQueuedNotices),
		delivered: make(chan struct{}, 1),
	}
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
	n.pending.Add(1)
	select {
	case n.queue <- addressedNotice{to, message}:
	default:
		n.pending.Add(-1)
		n.instance.coordinationCounts.Add("noticeDropped")
	}
}

// run sends the notices to each instance in the order in which they were added. Notices
// for an instance wait until the delivery of the earlier ones has ended.
func (n *noticeSender) run(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	busy := &sync.Map{}
	waiting := map[string][]notice{}
	for {
		select {
		case a := <-n.queue:
			waiting[a.to.Address] = append(waiting[a.to.Address], a.notice)
		case <-n.delivered:
			if len(waiting) == 0 {
				continue
			}
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
				n.send(ctx, address, list)
				busy.Delete(address)
				select {
				case n.delivered <- struct{}{}:
				default:
				}
				return nil
			})
		}
	}
}

// awaitDelivery waits until all notices are delivered or lost, for lastNoticesTimeout at
// most.
func (n *noticeSender) awaitDelivery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastNoticesTimeout)
	defer cancel()
	for n.pending.Load() > 0 && pause(ctx, noticeBatchDelay/10) {
		continue
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
	defer n.pending.Add(-int64(len(list)))
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if err := n.deliver(ctx, address, list); err != nil {
		n.instance.coordinationCounts.AddN("noticeLost", int64(len(list)))
	}
}
