package entry

import (
	"time"

	"lycheecrank.example/engine"
	"lycheecrank.example/lock"
	"lycheecrank.example/membership"
	"lycheecrank.example/preparation"
	"lycheecrank.example/speed"
)

const (
	// maxPlacements bounds the placed requests that are remembered.
	maxPlacements = 4096
	// placementRetention is how long after it was made a placement is remembered for a
	// new coordinator. The placement of a request that still runs is remembered for
	// longer, until the request has ended.
	placementRetention = 10 * time.Second
)

// placedRequest is a request with the engine server that the coordinator chose for it.
// The field coordinator is the instance that is notified about the request.
type placedRequest struct {
	pool        string
	server      string
	prompt      engine.Prompt
	coordinator membership.Instance
	placedAt    time.Time
	// hasBegun is set once the engine has sent the first event.
	hasBegun bool
	isEnded  bool
	// until is when the request has ended at the latest.
	until time.Time
	// load is the load that the engine reported with its answer, received at loadAt.
	load   speed.Report
	loadAt time.Time
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
		if ok && (!old.isEnded || now.Sub(old.placedAt) < placementRetention) && len(p.order) < maxPlacements {
			break
		}
		delete(p.byID, p.order[0])
		p.order = p.order[1:]
	}
	if _, ok := p.byID[task.RequestID]; !ok {
		p.order = append(p.order, task.RequestID)
	}
	p.byID[task.RequestID] = placedRequest{pool: task.Pool, server: result.Server, prompt: task.Prompt, coordinator: coordinator, placedAt: now, until: now.Add(max(task.RetryWindow, task.Deadline))}
}

// coordinatorOf returns the coordinator that is notified about a request, or the zero
// value if the placement is unknown.
func (p *placements) coordinatorOf(id string) membership.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id].coordinator
}

// markBegun records that the engine has begun its answer to a request, and returns the
// prompt.
func (p *placements) markBegun(id string) engine.Prompt {
	p.mu.Lock()
	defer p.mu.Unlock()
	placed, ok := p.byID[id]
	if ok {
		placed.hasBegun = true
		p.byID[id] = placed
	}
	return placed.prompt
}

// recordLoad records the load that the engine of a request reported with its answer.
func (p *placements) recordLoad(id string, load speed.Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if placed, ok := p.byID[id]; ok {
		placed.load, placed.loadAt = load, now
		p.byID[id] = placed
	}
}

// loadOf returns the load that the engine of a request reported, and the time since then.
func (p *placements) loadOf(id string, now time.Time) (speed.Report, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	placed := p.byID[id]
	if placed.loadAt.IsZero() {
		return speed.Report{}, 0
	}
	return placed.load, now.Sub(placed.loadAt)
}

// markEnded records the end of a run. An answer that broke off says nothing about its prompt.
func (p *placements) markEnded(id string, status preparation.RunStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if placed, ok := p.byID[id]; ok {
		placed.isEnded = true
		placed.hasBegun = placed.hasBegun && status != preparation.RunFailed
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
		notices = append(notices, notice{Kind: kind, Pool: placed.pool, Server: placed.server, RequestID: id, Prompt: placed.prompt, HasBegun: placed.hasBegun, Remaining: max(0, placed.until.Sub(now))})
	}
	return notices
}
