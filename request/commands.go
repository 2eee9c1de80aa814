package request

import (
	"context"

	"lycheecrank.example/lock"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Add registers a request as in flight. The returned context is cancelled when
// the request is cancelled or removed. Add refuses a request whose workspace and
// ID are already in flight, and a request that would exceed a limit.
func (c Commands) Add(ctx context.Context, r Request, limits InFlightLimits) (context.Context, error) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	key := requestKey{r.Workspace, r.ID}
	if _, ok := t.inFlight[key]; ok {
		return nil, Refuse(ReasonDuplicateRequest, "the ID "+r.ID+" is already used by a request in flight of the workspace")
	}
	if isFull(len(t.inFlight), limits.Instance) {
		return nil, Refuse(ReasonQueueFull, "the instance has reached its limit of requests in flight")
	}
	if isFull(t.byWorkspace[r.Workspace], limits.Workspace) {
		return nil, Refuse(ReasonWorkspaceLimit, "workspace "+r.Workspace+" has reached its limit of requests in flight")
	}
	if isFull(t.byTarget[r.Target], limits.Target) {
		return nil, Refuse(ReasonTargetLimit, r.Target+" has reached its limit of requests in flight")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t.inFlight[key] = entry{request: r, cancel: cancel}
	t.byWorkspace[r.Workspace]++
	t.byTarget[r.Target]++
	return ctx, nil
}

func isFull(n, limit int) bool { return limit > 0 && n >= limit }

// Remove deletes a finished request from the table and releases its context. It
// does nothing if the request is not in flight.
func (c Commands) Remove(r Request) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	key := requestKey{r.Workspace, r.ID}
	e, ok := t.inFlight[key]
	if !ok {
		return
	}
	e.cancel(nil)
	delete(t.inFlight, key)
	decrement(t.byWorkspace, r.Workspace)
	decrement(t.byTarget, r.Target)
	if len(t.inFlight) == 0 {
		t.idle.Broadcast()
	}
}

// decrement deletes a count that reaches zero, so that the map only holds names
// that have requests in flight.
func decrement(counts map[string]int, name string) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// Cancel cancels a request of a workspace and reports whether it was in flight.
func (c Commands) Cancel(workspace, requestID string) bool {
	t := c.table
	t.mu.Lock()
	e, ok := t.inFlight[requestKey{workspace, requestID}]
	t.mu.Unlock()
	if ok {
		e.cancel(ReasonCancelled)
	}
	return ok
}

// AwaitIdle waits until no request is in flight or the context is done, and
// returns the number of requests still in flight.
func (c Commands) AwaitIdle(ctx context.Context) int {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	lock.WaitUntil(ctx, t.idle, func() bool { return len(t.inFlight) == 0 })
	return len(t.inFlight)
}
