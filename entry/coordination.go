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
	// prepareTries bounds the coordinators that are asked for one request.
	prepareTries = 4
	// freeMoves is the number of times that a request follows the coordinator before
	// an instance is made to prepare it; movePause is the pause before it is asked.
	freeMoves = 5
	movePause = 15 * time.Millisecond
	// noticePause collects notices for one message. The coordinator of a large site
	// gets them from all instances.
	noticePause = 50 * time.Millisecond
	// noticeLimit bounds the delivery of notices.
	noticeLimit = time.Second
	// maxNotices bounds the notices that wait.
	maxNotices = 4096
	// placementLife is how long a placement is remembered for a new coordinator.
	placementLife = 10 * time.Second
)

// prepare has a request prepared by the coordinator. If that one can't be
// reached, the next one is asked in the time that is left.
func (i *Instance) prepare(ctx context.Context, o preparation.Task) (preparation.Placement, error) {
	begun := time.Now()
	var last error
	for tries, moves := 0, 0; tries < prepareTries; {
		now := time.Now()
		coordinator := i.view().Coordinator(now)
		next := o
		next.Objective -= now.Sub(begun)
		next.Deadline -= now.Sub(begun)
		next.IsForced = tries > 0 || moves > freeMoves
		if next.Deadline <= 0 || ctx.Err() != nil {
			break
		}
		p, err := i.prepareAt(ctx, coordinator, next)
		switch {
		case err == nil && !p.IsHandedOver:
			i.placed.add(o, p, coordinator, now)
			return p, nil
		case err == nil:
			o.Results = p.Results
			o.IsRebuilt = false
			moves++
			i.retries.Add("coordinatorMoved")
			pause(ctx, movePause)
			continue
		case !errors.Is(err, request.ReasonPeerUnreachable):
			return p, err
		}
		last = err
		tries++
		i.members.Commands().RecordFailure(coordinator.Name, time.Now())
		i.retries.Add("coordinatorUnreachable")
	}
	if last == nil {
		last = request.Refuse(request.ReasonDeadlineUnattainable, "no time left for another coordinator")
	}
	return preparation.Placement{}, last
}

func (i *Instance) prepareAt(ctx context.Context, coordinator membership.Instance, o preparation.Task) (preparation.Placement, error) {
	if coordinator.Name == i.Settings.Name {
		return i.prepareHere(ctx, o)
	}
	p, err := ask[preparation.Placement](ctx, i, coordinator.Address, prepareSubject, o)
	if err != nil {
		// Nothing was sent to an engine yet, whatever became of the question.
		f := request.AsFailure(err)
		f.Sent = false
		return p, f
	}
	return p, nil
}

// prepareHere prepares a request at this instance, unless another one is the
// coordinator as far as this one sees.
func (i *Instance) prepareHere(ctx context.Context, o preparation.Task) (preparation.Placement, error) {
	if !o.IsForced && i.view().Coordinator(time.Now()).Name != i.Settings.Name {
		return preparation.Placement{IsHandedOver: true, Results: o.Results}, nil
	}
	return i.prepared.Prepare(ctx, o)
}

func (i *Instance) started(pool, server, id string, try int, took time.Duration) {
	i.notices.add(i.placed.coordinatorOf(id), notice{Kind: startedNotice, Pool: pool, Server: server, Request: id, Try: try, Took: took})
}

func (i *Instance) ended(pool, server, id string, e preparation.RunStatus) {
	kind := map[preparation.RunStatus]noticeKind{
		preparation.RunEnded: endedNotice, preparation.RunRefused: refusedNotice, preparation.RunFailed: failedNotice,
	}[e]
	i.notices.add(i.placed.coordinatorOf(id), notice{Kind: kind, Pool: pool, Server: server, Request: id})
	i.placed.end(id)
}

func (i *Instance) abandon(id string, try int) {
	i.notices.add(i.placed.coordinatorOf(id), notice{Kind: abandonedNotice, Request: id, Try: try})
}

// takeNotices takes over what became of prepared requests.
func (i *Instance) takeNotices(notices []notice) (bool, error) {
	now := time.Now()
	var learned []engine.Learned
	for _, n := range notices {
		switch n.Kind {
		case startedNotice:
			i.prepared.RecordFirstEvent(n.Pool, n.Server, n.Request, n.Try, n.Took)
		case endedNotice:
			i.prepared.RecordEnd(n.Pool, n.Server, n.Request, preparation.RunEnded)
		case refusedNotice:
			i.prepared.RecordEnd(n.Pool, n.Server, n.Request, preparation.RunRefused)
		case failedNotice:
			i.prepared.RecordEnd(n.Pool, n.Server, n.Request, preparation.RunFailed)
		case abandonedNotice:
			i.prepared.Abandon(n.Request, n.Try)
		case runningNotice, readNotice:
			learned = append(learned, engine.Learned{
				Pool: n.Pool, Server: n.Server, Request: n.Request, Prompt: n.Prompt, IsRunning: n.Kind == runningNotice,
			})
		}
	}
	i.prepared.Engines.Commands().Learn(learned, now)
	return true, nil
}

// introduce tells a new coordinator what this instance has running, and which
// prompts engines have read for it.
func (i *Instance) introduce(coordinator membership.Instance) {
	for _, n := range i.placed.introduction(coordinator, time.Now()) {
		i.notices.add(coordinator, n)
	}
}

// placement is where a request was sent.
type placement struct {
	pool        string
	server      string
	prompt      engine.Prompt
	coordinator membership.Instance
	at          time.Time
	isEnded     bool
}

// placements remembers where requests were sent lately.
type placements struct {
	mu    *lock.Ranked
	byID  map[string]placement
	order []string
}

func newPlacements() *placements {
	return &placements{mu: lock.New(lock.RankRequest, "placements"), byID: map[string]placement{}}
}

func (p *placements) add(o preparation.Task, at preparation.Placement, coordinator membership.Instance, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.order) > 0 {
		old, ok := p.byID[p.order[0]]
		if ok && (!old.isEnded || now.Sub(old.at) < placementLife) && len(p.order) < maxNotices {
			break
		}
		delete(p.byID, p.order[0])
		p.order = p.order[1:]
	}
	if _, ok := p.byID[o.RequestID]; !ok {
		p.order = append(p.order, o.RequestID)
	}
	p.byID[o.RequestID] = placement{pool: o.Pool, server: at.Server, prompt: o.Prompt, coordinator: coordinator, at: now}
}

// coordinatorOf returns the instance that prepared a request.
func (p *placements) coordinatorOf(id string) membership.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id].coordinator
}

func (p *placements) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.byID[id]; ok {
		at.isEnded = true
		p.byID[id] = at
	}
}

// introduction returns what a coordinator should know, and makes it the one that
// hears of the end of the requests that run.
func (p *placements) introduction(coordinator membership.Instance, now time.Time) []notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	var notices []notice
	for id, at := range p.byID {
		if now.Sub(at.at) > placementLife && at.isEnded || at.coordinator.Name == coordinator.Name {
			continue
		}
		kind := readNotice
		if !at.isEnded {
			kind = runningNotice
			at.coordinator = coordinator
			p.byID[id] = at
		}
		notices = append(notices, notice{Kind: kind, Pool: at.pool, Server: at.server, Request: id, Prompt: at.prompt})
	}
	return notices
}

// addressed is a notice and the instance that gets it.
type addressed struct {
	to     membership.Instance
	notice notice
}

// notices sends notices without delaying the requests that they are about.
type notices struct {
	instance *Instance
	queue    chan addressed
}

func newNotices(i *Instance) *notices {
	return &notices{instance: i, queue: make(chan addressed, maxNotices)}
}

func (n *notices) add(to membership.Instance, what notice) {
	if to.Name == "" {
		return
	}
	if to.Name == n.instance.Settings.Name {
		// The own coordinator never fails.
		_, _ = n.instance.takeNotices([]notice{what})
		return
	}
	select {
	case n.queue <- addressed{to, what}:
	default:
		n.instance.dropped.Add("noticeDropped")
	}
}

// run sends the notices of each instance in their order.
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
		pause(ctx, noticePause)
		n.collect(waiting)
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

func (n *notices) collect(waiting map[string][]notice) {
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
	ctx, cancel := context.WithTimeout(ctx, noticeLimit)
	defer cancel()
	if _, err := ask[bool](ctx, n.instance, address, noticeSubject, list); err != nil {
		n.instance.dropped.AddN("noticeLost", int64(len(list)))
	}
}
