package request

import (
	"context"

	"lycheecrank.example/lock"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// Add enters a request. The returned context ends when the request is
// cancelled. It refuses a second request of the same workspace and identifier,
// and one past a limit.
func (c Commands) Add(ctx context.Context, r Request, caps Caps) (context.Context, error) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	key := id{r.Workspace, r.ID}
	if _, ok := t.inFlight[key]; ok {
		return nil, Refuse(ReasonDuplicateRequest, "a request with the identifier "+r.ID+" is in flight")
	}
	if isFull(len(t.inFlight), caps.Instance) {
		return nil, Refuse(ReasonQueueFull, "the instance has its largest number of requests in flight")
	}
	if isFull(t.byWorkspace[r.Workspace], caps.Workspace) {
		return nil, Refuse(ReasonWorkspaceLimit, "workspace "+r.Workspace+" has its largest number of requests in flight")
	}
	if isFull(t.byTarget[r.Target], caps.Target) {
		return nil, Refuse(ReasonTargetLimit, r.Target+" has its largest number of requests in flight")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t.inFlight[key] = inFlight{request: r, cancel: cancel}
	t.byWorkspace[r.Workspace]++
	t.byTarget[r.Target]++
	return ctx, nil
}

func isFull(n, limit int) bool { return limit > 0 && n >= limit }

// Remove takes a finished request out.
func (c Commands) Remove(r Request) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	key := id{r.Workspace, r.ID}
	f, ok := t.inFlight[key]
	if !ok {
		return
	}
	f.cancel(nil)
	delete(t.inFlight, key)
	decrease(t.byWorkspace, r.Workspace)
	decrease(t.byTarget, r.Target)
	if len(t.inFlight) == 0 {
		t.idle.Broadcast()
	}
}

// decrease keeps no zero counts, so that the memory follows the requests.
func decrease(counts map[string]int, name string) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// Cancel ends a request of a workspace and reports whether it was in flight.
func (c Commands) Cancel(workspace, requestID string) bool {
	t := c.table
	t.mu.Lock()
	f, ok := t.inFlight[id{workspace, requestID}]
	t.mu.Unlock()
	if ok {
		f.cancel(ReasonCancelled)
	}
	return ok
}

// AwaitIdle waits until no request is in flight or the context ends, and
// returns the number of requests that are left.
func (c Commands) AwaitIdle(ctx context.Context) int {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	lock.WaitUntil(ctx, t.idle, func() bool { return len(t.inFlight) == 0 })
	return len(t.inFlight)
}
