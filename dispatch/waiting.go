// Package dispatch decides the order in which waiting steps are served and
// hands them to a pool of workers. It keeps the order of classes exact: a step
// is never dispatched while one of a better class waits for the same pool.
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

// Outcome is what becomes of a step: a result, or a failure.
type Outcome struct {
	Result  request.Result
	Failure *request.Failure
}

// waiting is a step in the queue.
type waiting struct {
	// ctx ends when nobody wants the outcome any more.
	ctx      context.Context
	step     request.Step
	sink     request.Sink
	enqueued time.Time
	// done gets the outcome; it has room for one, so that nobody waits on it.
	done chan Outcome
	// index is the position in the heap, -1 once the step has left it.
	index int
}

// byDeadline is a heap of the waiting steps of a workspace.
type byDeadline []*waiting

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].step.Deadline.Before(h[j].step.Deadline) }

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *byDeadline) Push(x any) {
	w := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop is part of heap.Interface.
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
	// served is the work that the workspace got so far, divided by its weight.
	served float64
}

// classQueue holds the waiting steps of a class.
type classQueue struct {
	rank       int
	class      string
	workspaces map[string]*workspaceQueue
	// floor is the least service of the workspaces that were served last. A
	// workspace that comes back starts there, so that it can't save up a claim
	// while it is idle.
	floor float64
	count int
}

// poolQueue holds the waiting steps of a pool by class.
type poolQueue struct {
	name    string
	classes map[int]*classQueue
	count   int
}

func newPoolQueue(name string) *poolQueue {
	return &poolQueue{name: name, classes: map[int]*classQueue{}}
}

func (q *poolQueue) add(w *waiting) {
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
		ws.served = max(ws.served, c.floor)
	}
	heap.Push(&ws.steps, w)
	c.count++
	q.count++
}

// ranks returns the ranks of classes with waiting steps, best first.
func (q *poolQueue) ranks() []int {
	ranks := slices.Sorted(maps.Keys(q.classes))
	return slices.DeleteFunc(ranks, func(r int) bool { return q.classes[r].count == 0 })
}

// best returns the step to be served next, without taking it.
func (q *poolQueue) best() *waiting {
	ranks := q.ranks()
	if len(ranks) == 0 {
		return nil
	}
	ws := q.classes[ranks[0]].next()
	return ws.steps[0]
}

// next returns the workspace with waiting steps that was served least, by name
// among equals.
func (c *classQueue) next() *workspaceQueue {
	var best *workspaceQueue
	for _, ws := range c.workspaces {
		if len(ws.steps) == 0 {
			continue
		}
		if best == nil || ws.served < best.served || (ws.served == best.served && ws.name < best.name) {
			best = ws
		}
	}
	return best
}

// remove takes a step out of the queue and reports whether it was there.
func (q *poolQueue) remove(w *waiting) bool {
	if w.index < 0 {
		return false
	}
	c := q.classes[w.step.Rank]
	heap.Remove(&c.workspaces[w.step.Workspace].steps, w.index)
	c.count--
	q.count--
	return true
}

// charge notes that a workspace got the service of one step.
func (q *poolQueue) charge(w *waiting) {
	c := q.classes[w.step.Rank]
	ws := c.workspaces[w.step.Workspace]
	c.floor = max(c.floor, ws.served)
	ws.served += 1 / float64(max(1, w.step.Weight))
}

// ahead counts the steps of a rank or better.
func (q *poolQueue) ahead(rank int) int {
	n := 0
	for r, c := range q.classes {
		if r <= rank {
			n += c.count
		}
	}
	return n
}

// hopeless returns the steps that can't be served any more.
func (c *classQueue) hopeless(capacity backend.Capacity, now time.Time) []*waiting {
	var found []*waiting
	for _, ws := range c.workspaces {
		if capacity.Slots == 0 {
			found = append(found, ws.steps...)
			continue
		}
		found = ws.steps.due(0, now.Add(capacity.Fastest), found)
	}
	return found
}

// due appends the steps with a deadline before a moment, in the part of the heap
// under i. It visits only these and their children.
func (h byDeadline) due(i int, until time.Time, found []*waiting) []*waiting {
	if i >= len(h) || !h[i].step.Deadline.Before(until) {
		return found
	}
	found = append(found, h[i])
	found = h.due(2*i+1, until, found)
	return h.due(2*i+2, until, found)
}
