package precedence

import "fmt"

// queueID identifies a queue: the steps of all stages that one instance incarnation
// dispatches for one pool. The order of service applies within a queue.
type queueID struct {
	origin Origin
	pool   string
}

func queueOf(record Record) queueID {
	return queueID{Origin{record.Instance, record.Incarnation}, record.Pool}
}

// compareQueues compares the first dispatches of two requests in each queue from which
// both were dispatched.
func compareQueues(historyA, historyB history) []Comparison {
	var comparisons []Comparison
	seen := map[queueID]bool{}
	for _, x := range historyA.dispatches() {
		queue := queueOf(x)
		if seen[queue] {
			continue
		}
		seen[queue] = true
		for _, y := range historyB.dispatches() {
			if queueOf(y) == queue {
				comparisons = append(comparisons, compareInQueue(x, y))
				break
			}
		}
	}
	return comparisons
}

func compareInQueue(dispatchA, dispatchB Record) Comparison {
	first, second := dispatchA, dispatchB
	if second.Sequence < first.Sequence {
		first, second = dispatchB, dispatchA
	}
	comparison := Comparison{FirstRequestID: first.RequestID, Basis: OwnerSequence, Pool: first.Pool}
	comparison.Cause, comparison.Verdict, comparison.Detail = causeOf(first, second)
	return comparison
}

// causeOf applies the order of service (class rank, workspace share, deadline, arrival)
// to two records of one queue, of which the first is a dispatch. It returns the cause,
// the verdict and the detail of their comparison.
func causeOf(first, second Record) (Cause, Verdict, string) {
	sameShare := first.Rank == second.Rank && first.Workspace == second.Workspace
	switch {
	case second.Arrival.After(first.DecidedAt):
		return ByArrival, VerdictEntitled, fmt.Sprintf("%s joined the queue %s after %s had been dispatched", second.RequestID, second.Arrival.Sub(first.DecidedAt), first.RequestID)
	case first.Rank < second.Rank:
		return ByClassRank, VerdictEntitled, fmt.Sprintf("class %s, rank %d, takes precedence over class %s, rank %d", first.Class, first.Rank, second.Class, second.Rank)
	case sameShare && first.Deadline.Before(second.Deadline):
		return ByDeadline, VerdictEntitled, fmt.Sprintf("both have rank %d and workspace %s; the request served first had a deadline earlier by %s", first.Rank, first.Workspace, second.Deadline.Sub(first.Deadline))
	case sameShare && first.Deadline.Equal(second.Deadline) && !first.Arrival.After(second.Arrival):
		return ByArrival, VerdictEntitled, fmt.Sprintf("rank, workspace and deadline are equal; the request served first joined the queue earlier by %s", second.Arrival.Sub(first.Arrival))
	case first.Reason == ReasonNoServerFree:
		return ByNoServerFree, VerdictEntitled, fmt.Sprintf("the pool owner recorded that no backend server was free for the steps ahead in the order of service; %d steps of equal or smaller rank kept waiting", first.Waiting)
	case first.Rank > second.Rank:
		return Unexplained, VerdictNotEntitled, fmt.Sprintf("class %s, rank %d, was served before class %s, rank %d, which was already waiting", first.Class, first.Rank, second.Class, second.Rank)
	case !sameShare:
		return ByWorkspaceShare, VerdictEntitled, fmt.Sprintf("both have rank %d; workspace %s had the smaller share of the weighted service", first.Rank, first.Workspace)
	case first.Deadline.After(second.Deadline):
		return Unexplained, VerdictNotEntitled, fmt.Sprintf("both have rank %d and workspace %s; the request served first had a deadline later by %s", first.Rank, first.Workspace, first.Deadline.Sub(second.Deadline))
	}
	return Unexplained, VerdictNotEntitled, fmt.Sprintf("rank, workspace and deadline are equal; the request served first joined the queue later by %s", first.Arrival.Sub(second.Arrival))
}

// compareOverall compares two requests that have no queue in common.
func compareOverall(historyA, historyB history) Comparison {
	dispatchesA, dispatchesB := historyA.dispatches(), historyB.dispatches()
	switch {
	case len(dispatchesA) == 0 && len(dispatchesB) == 0:
		return Comparison{
			Basis: NoneDispatched, Cause: ByRefusal, Verdict: VerdictUndecided,
			Detail: fmt.Sprintf("neither request was dispatched; %s; %s", historyA.undispatchedReason(), historyB.undispatchedReason()),
		}
	case len(dispatchesB) == 0:
		return compareWithUndispatched(dispatchesA[0], historyB)
	case len(dispatchesA) == 0:
		return compareWithUndispatched(dispatchesB[0], historyA)
	}
	first, second, basis := dispatchesA[0], dispatchesB[0], WallClocks
	if queueOf(first).origin == queueOf(second).origin {
		basis = SameChain
		if second.Sequence < first.Sequence {
			first, second = second, first
		}
	} else if second.DecidedAt.Before(first.DecidedAt) {
		first, second = second, first
	}
	return Comparison{
		FirstRequestID: first.RequestID, Basis: basis, Cause: SeparateQueues, Verdict: VerdictUndecided,
		Detail: fmt.Sprintf("the request served first was dispatched by %s (%s) for pool %s; %s later, %s was dispatched by %s (%s) for pool %s",
			first.Instance, first.Incarnation, first.Pool, second.DecidedAt.Sub(first.DecidedAt), second.RequestID, second.Instance, second.Incarnation, second.Pool),
	}
}

// compareWithUndispatched compares a dispatch with a request that was never dispatched.
// If the undispatched request waited in the same queue until it was refused, the order
// of service still decides whether the dispatch was entitled to precede it.
func compareWithUndispatched(served Record, undispatched history) Comparison {
	comparison := Comparison{
		FirstRequestID: served.RequestID, Basis: OnlyOneDispatched, Pool: served.Pool,
		Cause: ByRefusal, Verdict: VerdictUndecided, Detail: undispatched.undispatchedReason(),
	}
	for _, r := range undispatched.ofKinds(Refusal) {
		if queueOf(r) != queueOf(served) || r.Sequence < served.Sequence {
			continue
		}
		cause, verdict, detail := causeOf(served, r)
		comparison.Verdict = verdict
		if verdict == VerdictNotEntitled {
			comparison.Cause = cause
		}
		comparison.Detail += "; before the refusal it waited in the same queue: " + detail
		break
	}
	return comparison
}

// undispatchedReason describes why a request was never dispatched.
func (h history) undispatchedReason() string {
	id := h[0].RequestID
	refusals := h.ofKinds(Refusal)
	if len(refusals) == 0 {
		return id + " has neither a dispatch nor a refusal in the records"
	}
	refusal := refusals[len(refusals)-1]
	return fmt.Sprintf("%s was refused by %s with reason %s", id, refusal.Instance, refusal.Reason)
}
