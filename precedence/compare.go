package precedence

import "fmt"

// queue names what has one order: the steps of all stages that an instance
// incarnation dispatches for a pool.
type queue struct {
	origin Origin
	pool   string
}

func queueOf(r Record) queue { return queue{Origin{r.Instance, r.Incarnation}, r.Pool} }

// compareQueues compares the first dispatches in each queue that both waited in.
func compareQueues(a, b history) []Comparison {
	var all []Comparison
	seen := map[queue]bool{}
	for _, x := range a.dispatches() {
		q := queueOf(x)
		if seen[q] {
			continue
		}
		seen[q] = true
		for _, y := range b.dispatches() {
			if queueOf(y) == q {
				all = append(all, compareInQueue(x, y))
				break
			}
		}
	}
	return all
}

func compareInQueue(x, y Record) Comparison {
	first, second := x, y
	if second.Sequence < first.Sequence {
		first, second = y, x
	}
	c := Comparison{First: first.RequestID, Basis: OwnerSequence, Pool: first.Pool}
	c.Cause, c.Verdict, c.Detail = reason(first, second)
	return c
}

// reason applies the order of service (class rank, workspace share, deadline,
// arrival) to two records of one queue, of which the first is a dispatch.
func reason(first, second Record) (Cause, Verdict, string) {
	sameShare := first.Rank == second.Rank && first.Workspace == second.Workspace
	switch {
	case second.Arrival.After(first.At):
		return ByArrival, Entitled, fmt.Sprintf("%s joined the queue %s after %s had been dispatched", second.RequestID, second.Arrival.Sub(first.At), first.RequestID)
	case first.Rank < second.Rank:
		return ByClassRank, Entitled, fmt.Sprintf("class %s, rank %d, goes before class %s, rank %d", first.Class, first.Rank, second.Class, second.Rank)
	case sameShare && first.Deadline.Before(second.Deadline):
		return ByDeadline, Entitled, fmt.Sprintf("both have rank %d and workspace %s; the deadline was earlier by %s", first.Rank, first.Workspace, second.Deadline.Sub(first.Deadline))
	case sameShare && first.Deadline.Equal(second.Deadline) && !first.Arrival.After(second.Arrival):
		return ByArrival, Entitled, fmt.Sprintf("rank, workspace and deadline are equal; it joined the queue earlier by %s", second.Arrival.Sub(first.Arrival))
	case first.Reason == ReasonNoServerFree:
		return ByNoServerFree, Entitled, fmt.Sprintf("the owner recorded that better placed steps had no free backend server; %d steps of better or equal rank went on waiting", first.Waiting)
	case first.Rank > second.Rank:
		return Unexplained, NotEntitled, fmt.Sprintf("class %s, rank %d, went before class %s, rank %d, which was waiting", first.Class, first.Rank, second.Class, second.Rank)
	case !sameShare:
		return ByWorkspaceShare, Entitled, fmt.Sprintf("both have rank %d; workspace %s had the smaller share of the weighted service", first.Rank, first.Workspace)
	case first.Deadline.After(second.Deadline):
		return Unexplained, NotEntitled, fmt.Sprintf("both have rank %d and workspace %s; the deadline was later by %s", first.Rank, first.Workspace, first.Deadline.Sub(second.Deadline))
	}
	return Unexplained, NotEntitled, fmt.Sprintf("rank, workspace and deadline are equal; it joined the queue later by %s", first.Arrival.Sub(second.Arrival))
}

// compareOverall compares two requests that shared no queue.
func compareOverall(a, b history) Comparison {
	x, y := a.dispatches(), b.dispatches()
	switch {
	case len(x) == 0 && len(y) == 0:
		return Comparison{
			Basis: NoneDispatched, Cause: ByRefusal, Verdict: Undecided,
			Detail: fmt.Sprintf("neither was dispatched; %s; %s", a.undispatched(), b.undispatched()),
		}
	case len(y) == 0:
		return onlyOne(x[0], b)
	case len(x) == 0:
		return onlyOne(y[0], a)
	}
	first, second, basis := x[0], y[0], WallClocks
	if queueOf(first).origin == queueOf(second).origin {
		basis = SameChain
		if second.Sequence < first.Sequence {
			first, second = second, first
		}
	} else if second.At.Before(first.At) {
		first, second = second, first
	}
	return Comparison{
		First: first.RequestID, Basis: basis, Cause: SeparateQueues, Verdict: Undecided,
		Detail: fmt.Sprintf("dispatched by %s (%s) for pool %s, %s before %s by %s (%s) for pool %s",
			first.Instance, first.Incarnation, first.Pool, second.At.Sub(first.At), second.RequestID, second.Instance, second.Incarnation, second.Pool),
	}
}

// onlyOne compares a dispatch with a request that was never dispatched. If the
// other waited in the same queue until it was refused, the order of the queue
// still tells whether it was passed over rightly.
func onlyOne(served Record, other history) Comparison {
	c := Comparison{
		First: served.RequestID, Basis: OnlyOneDispatched, Pool: served.Pool,
		Cause: ByRefusal, Verdict: Undecided, Detail: other.undispatched(),
	}
	for _, r := range other.ofKinds(Refusal) {
		if queueOf(r) != queueOf(served) || r.Sequence < served.Sequence {
			continue
		}
		cause, verdict, detail := reason(served, r)
		c.Verdict = verdict
		if verdict == NotEntitled {
			c.Cause = cause
		}
		c.Detail += "; before that it waited in the same queue: " + detail
		break
	}
	return c
}

// undispatched says why a request was never dispatched.
func (h history) undispatched() string {
	id := h[0].RequestID
	refusals := h.ofKinds(Refusal)
	if len(refusals) == 0 {
		return id + " has neither a dispatch nor a refusal in the records"
	}
	r := refusals[len(refusals)-1]
	return fmt.Sprintf("%s was refused by %s with reason %s", id, r.Instance, r.Reason)
}
