package preparation

import (
	"slices"
	"time"

	"lycheecrank.example/batch"
)

// job is an order in progress. It is an immutable value.
type job struct {
	order    Order
	openedAt time.Time
	// objective and deadline are the order's, as moments.
	objective time.Time
	deadline  time.Time
	// near is the data centre in which the results will probably be used.
	near string
	// handles holds the result of each piece by stage; "" is not made yet.
	handles [][]string
	// queued tells for each stage that its pieces wait or are being made.
	queued []bool
	// consumed tells for each stage that its results are no longer needed.
	consumed []bool
	// fetched tells for each piece that a server works on it and has its inputs.
	fetched [][]bool
	// inCalls is the number of pieces in calls.
	inCalls int
	// tries counts the pieces that were made again.
	tries int
}

// usedUpHandle stands for a result that was made and given up, in what one
// coordinator tells the next.
const usedUpHandle = "-"

func newJob(o Order, now time.Time) job {
	j := job{
		order: o, openedAt: now, objective: now.Add(o.Objective), deadline: now.Add(o.Deadline),
		handles: make([][]string, len(o.Stages)), queued: make([]bool, len(o.Stages)), consumed: make([]bool, len(o.Stages)),
		fetched: make([][]bool, len(o.Stages)),
	}
	for i, s := range o.Stages {
		j.handles[i], j.fetched[i] = make([]string, s.Pieces), make([]bool, s.Pieces)
		if i < len(o.Made) && !o.IsRebuilt {
			copy(j.handles[i], o.Made[i])
			j.consumed[i] = slices.Contains(o.Made[i], usedUpHandle)
		}
	}
	return j
}

// withCalls returns the job after some of its pieces went into a call, or came
// out of one if the number is negative.
func (j job) withCalls(pieces int) job {
	j.inCalls += pieces
	return j
}

// withNear returns the job with the data centre of its results.
func (j job) withNear(dataCentre string) job {
	j.near = dataCentre
	return j
}

// withQueued returns the job after the pieces of a stage were queued.
func (j job) withQueued(stage int) job {
	j.queued = slices.Clone(j.queued)
	j.queued[stage] = true
	return j
}

// withHandle returns the job with a result.
func (j job) withHandle(id batch.Identity, handle string) job {
	j.handles = slices.Clone(j.handles)
	j.handles[id.Stage] = slices.Clone(j.handles[id.Stage])
	j.handles[id.Stage][id.Number] = handle
	return j
}

// withConsumed returns the job after the results of a stage have been used up.
func (j job) withConsumed(stage int) job {
	j.consumed = slices.Clone(j.consumed)
	j.consumed[stage] = true
	return j
}

// withFetched returns the job after a server has got the inputs of a piece, or has
// lost them with the piece.
func (j job) withFetched(id batch.Identity, isFetched bool) job {
	j.fetched = slices.Clone(j.fetched)
	j.fetched[id.Stage] = slices.Clone(j.fetched[id.Stage])
	j.fetched[id.Stage][id.Number] = isFetched
	return j
}

// withTry returns the job after one of its pieces has to be made again.
func (j job) withTry() job {
	j.tries++
	return j
}

// withoutResults returns the job before any result was made.
func (j job) withoutResults(now time.Time) job {
	j.order.IsRebuilt = true
	next := newJob(j.order, now)
	next.openedAt, next.objective, next.deadline = j.openedAt, j.objective, j.deadline
	next.near, next.tries, next.inCalls = j.near, j.tries+1, j.inCalls
	return next
}

// isMade reports whether all results of a stage are there.
func (j job) isMade(stage int) bool { return !slices.Contains(j.handles[stage], "") }

// isReady reports whether a stage can be queued.
func (j job) isReady(stage int) bool {
	if j.queued[stage] || j.order.Stages[stage].Pieces == 0 {
		return false
	}
	for _, before := range j.order.Stages[stage].After {
		if !j.isMade(before) {
			return false
		}
	}
	return !j.isEarly(stage)
}

// isEarly reports whether large results for the engine would only wait for
// another branch. They fill the room of their makers, which then can't work for
// others.
func (j job) isEarly(stage int) bool {
	if j.order.Stages[stage].Bytes < bulkyBytes || len(j.followers(stage)) > 0 {
		return false
	}
	for other := range j.order.Stages {
		if other != stage && len(j.followers(other)) == 0 && j.unmadeDepth(other) > 1 {
			return true
		}
	}
	return false
}

// unmadeDepth returns the number of stages up to a stage that have to be made one
// after the other.
func (j job) unmadeDepth(stage int) int {
	if j.isMade(stage) {
		return 0
	}
	longest := 0
	for _, before := range j.order.Stages[stage].After {
		longest = max(longest, j.unmadeDepth(before))
	}
	return longest + 1
}

// isDone reports whether the results of all stages are there.
func (j job) isDone() bool {
	for i := range j.order.Stages {
		if !j.isMade(i) {
			return false
		}
	}
	return true
}

// followers returns the stages that need the results of a stage.
func (j job) followers(stage int) []int {
	var f []int
	for i, s := range j.order.Stages {
		if s.Pieces > 0 && slices.Contains(s.After, stage) {
			f = append(f, i)
		}
	}
	return f
}

// usedUp returns the stages whose results no stage needs any more and that the
// engine doesn't fetch. In pools that are crowded results go as soon as the servers
// that need them have them: if such a server fails, the job begins again.
func (j job) usedUp(isCrowded func(pool string) bool) []int {
	var used []int
	for i, s := range j.order.Stages {
		f := j.followers(i)
		if len(f) == 0 || j.consumed[i] {
			continue
		}
		isUnmade := func(stage int) bool { return !j.isMade(stage) }
		isUnfetched := func(stage int) bool { return !j.isFetched(stage) }
		if !slices.ContainsFunc(f, isUnmade) || !slices.ContainsFunc(f, isUnfetched) && isCrowded(s.Pool) {
			used = append(used, i)
		}
	}
	return used
}

// isFetched reports whether no piece of a stage needs its inputs, as far as is known.
func (j job) isFetched(stage int) bool {
	for n, isFetched := range j.fetched[stage] {
		if !isFetched && j.handles[stage][n] == "" {
			return false
		}
	}
	return true
}

// hasLostInputs reports whether results that a stage needs were given up.
func (j job) hasLostInputs(stage int) bool {
	return slices.ContainsFunc(j.order.Stages[stage].After, func(before int) bool { return j.consumed[before] })
}

// made returns the results for another coordinator: none if some that are needed were
// given up.
func (j job) made() [][]string {
	for i := range j.order.Stages {
		if !j.isMade(i) && j.hasLostInputs(i) {
			return nil
		}
	}
	made := slices.Clone(j.handles)
	for i, isUsedUp := range j.consumed {
		if isUsedUp {
			made[i] = slices.Repeat([]string{usedUpHandle}, len(made[i]))
		}
	}
	return made
}

// inputs returns the results that the engine fetches: those that no stage
// follows.
func (j job) inputs() []string {
	var handles []string
	for i := range j.order.Stages {
		if len(j.followers(i)) == 0 {
			handles = append(handles, j.handles[i]...)
		}
	}
	return handles
}

// kept returns all results that take room.
func (j job) kept() []string {
	var handles []string
	for i, hs := range j.handles {
		if j.consumed[i] {
			continue
		}
		for _, h := range hs {
			if h != "" {
				handles = append(handles, h)
			}
		}
	}
	return handles
}

// stageInputs returns the results that a stage needs.
func (j job) stageInputs(stage int) []string {
	var inputs []string
	for _, before := range j.order.Stages[stage].After {
		inputs = append(inputs, j.handles[before]...)
	}
	return inputs
}

// inflow returns what the pieces of a stage fetch together, by the data centre
// that it comes from.
func (j job) inflow(stage int, place func(handle string) string) []batch.Inflow {
	var inflow []batch.Inflow
	for _, before := range j.order.Stages[stage].After {
		bytes := j.order.Stages[before].Bytes * int64(j.order.Stages[stage].Pieces)
		for _, h := range j.handles[before] {
			dc := place(h)
			at := slices.IndexFunc(inflow, func(f batch.Inflow) bool { return f.DataCentre == dc })
			switch {
			case dc == "":
			case at < 0:
				inflow = append(inflow, batch.Inflow{DataCentre: dc, Bytes: bytes})
			default:
				inflow[at].Bytes += bytes
			}
		}
	}
	return inflow
}

// pieces returns the pieces of a stage that are not made yet.
func (j job) pieces(stage int, start time.Time, place func(handle string) string, now time.Time) []batch.Piece {
	s := j.order.Stages[stage]
	inputs := j.stageInputs(stage)
	inflow := j.inflow(stage, place)
	key := ""
	if len(s.After) == 0 {
		key = j.order.Key
	}
	var pieces []batch.Piece
	for n, h := range j.handles[stage] {
		if h != "" {
			continue
		}
		pieces = append(pieces, batch.Piece{
			Identity: batch.Identity{Request: j.order.Request, Stage: stage, Number: n},
			Pool:     s.Pool, Key: key, Inputs: inputs, Bytes: s.Bytes, Class: j.order.class(),
			Start: start, Deadline: j.deadline, Near: j.near, Inflow: inflow, QueuedAt: now,
		})
	}
	return pieces
}

// depth returns the number of stages from a stage to the end, itself included.
func (j job) depth(stage int) int {
	longest := 0
	for _, f := range j.followers(stage) {
		longest = max(longest, j.depth(f))
	}
	return longest + 1
}
