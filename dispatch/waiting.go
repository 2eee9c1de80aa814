// Package dispatch queues steps for backend servers, decides the order in which
// they are dispatched and assigns them to a pool of workers. Classes have strict
// priority: a step is never dispatched while one of a better class waits for the
// same pool. Within a class, workspaces share a pool by weight; within a
// workspace, the earliest deadline is dispatched first.
package dispatch

import (
	"container/heap"
	"context"
	"maps"
	"slices"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// Outcome is the result of a step or, if Failure is set, its failure. It is not a
// request.Outcome.
type Outcome struct {
	Result  request.Result
	Failure *request.Failure
}

// waitingStep is a queued step.
type waitingStep struct {
	// ctx ends when the caller no longer needs the outcome.
	ctx      context.Context
	step     request.Step
	sink     request.Sink
	enqueued time.Time
	// done receives the outcome. It is buffered, so that sending never blocks.
	done chan Outcome
	// index is the position in the heap, or -1 if the step is not in it.
	index int
}

// byDeadline is a heap of the waiting steps of a workspace in a class, with the
// earliest deadline at the root.
type byDeadline []*waitingStep

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].step.Deadline.Before(h[j].step.Deadline) }

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	w := x.(*waitingStep)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}

// workspaceQueue holds the waiting steps of a workspace in a class.
type workspaceQueue struct {
	name  string
	steps byDeadline
	// normalizedService is the number of steps dispatched for the workspace, divided
	// by its weight.
	normalizedService float64
}

// classQueue holds the waiting steps of a class.
type classQueue struct {
	rank       int
	class      string
	workspaces map[string]*workspaceQueue
	// virtualTime is the largest normalized service that any workspace of the class
	// had when one of its steps was dispatched. A workspace that becomes active again starts
	// there, so that it accumulates no credit while it is idle.
	virtualTime float64
	count       int
}

// poolQueue holds the waiting steps of a pool by the rank of their class.
type poolQueue struct {
	name    string
	classes map[int]*classQueue
	count   int
}

func newPoolQueue(name string) *poolQueue {
	return &poolQueue{name: name, classes: map[int]*classQueue{}}
}

func (q *poolQueue) add(w *waitingStep) {
	c, ok := q.classes[w.step.Rank]
	if !ok {
		c = &classQueue{rank: w.step.Rank, class: w.step.Class, workspaces: map[string]*workspaceQueue{}}
		q.classes[w.step.Rank] = c
	}
	ws, ok := c.workspaces[w.step.Workspace]
	if !ok {
		ws = &workspaceQueue{name: w.step.Workspace}
		c.workspaces[w.step.Workspace] = ws
	}
	if len(ws.steps) == 0 {
		ws.normalizedService = max(ws.normalizedService, c.virtualTime)
	}
	heap.Push(&ws.steps, w)
	c.count++
	q.count++
}

// waitingRanks returns the ranks of the classes with waiting steps in
// ascending order. Rank 0 is the best class.
func (q *poolQueue) waitingRanks() []int {
	ranks := slices.Sorted(maps.Keys(q.classes))
	return slices.DeleteFunc(ranks, func(r int) bool { return q.classes[r].count == 0 })
}

// peek returns the step to dispatch next, without removing it from the queue, or
// nil if no step is waiting.
func (q *poolQueue) peek() *waitingStep {
	ranks := q.waitingRanks()
	if len(ranks) == 0 {
		return nil
	}
	ws := q.classes[ranks[0]].leastServed()
	return ws.steps[0]
}

// leastServed returns the workspace with waiting steps and the least normalized
// service. Ties are broken by name.
func (c *classQueue) leastServed() *workspaceQueue {
	var best *workspaceQueue
	for _, ws := range c.workspaces {
		if len(ws.steps) == 0 {
			continue
		}
		if best == nil || ws.normalizedService < best.normalizedService || (ws.normalizedService == best.normalizedService && ws.name < best.name) {
			best = ws
		}
	}
	return best
}

// remove removes a step from the queue and reports whether it was queued.
func (q *poolQueue) remove(w *waitingStep) bool {
	if w.index < 0 {
		return false
	}
	c := q.classes[w.step.Rank]
	heap.Remove(&c.workspaces[w.step.Workspace].steps, w.index)
	c.count--
	q.count--
	return true
}

// chargeWorkspace accounts for one dispatched step of a workspace.
func (q *poolQueue) chargeWorkspace(w *waitingStep) {
	c := q.classes[w.step.Rank]
	ws := c.workspaces[w.step.Workspace]
	c.virtualTime = max(c.virtualTime, ws.normalizedService)
	ws.normalizedService += 1 / float64(max(1, w.step.Weight))
}

// countUpToRank counts the waiting steps of a rank and of better ones, which have
// smaller numbers.
func (q *poolQueue) countUpToRank(rank int) int {
	n := 0
	for r, c := range q.classes {
		if r <= rank {
			n += c.count
		}
	}
	return n
}

// unservable returns the steps that can no longer be served: all of them if the
// pool has no slot, else those whose deadline is closer than the shortest service
// time.
func (c *classQueue) unservable(capacity backend.Capacity, now time.Time) []*waitingStep {
	var found []*waitingStep
	for _, ws := range c.workspaces {
		if capacity.Slots == 0 {
			found = append(found, ws.steps...)
			continue
		}
		found = ws.steps.dueBefore(0, now.Add(capacity.MinServiceTime), found)
	}
	return found
}

// dueBefore appends to found the steps in the subtree of i whose deadline is before
// until. It visits only these steps and their children.
func (h byDeadline) dueBefore(i int, until time.Time, found []*waitingStep) []*waitingStep {
	if i >= len(h) || !h[i].step.Deadline.Before(until) {
		return found
	}
	found = append(found, h[i])
	found = h.dueBefore(2*i+1, until, found)
	return h.dueBefore(2*i+2, until, found)
}
