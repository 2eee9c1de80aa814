package preparation

import (
	"slices"
	"time"

	"lycheecrank.example/batch"
)

// job is the preparation of one task in progress. It is an immutable value.
type job struct {
	task     Task
	openedAt time.Time
	// objective and deadline are Task.Objective and Task.Deadline as points in time, so
	// the deadline is the end of the try.
	objective time.Time
	deadline  time.Time
	// answerBy is when the instance of the request gives its final answers, zero if it isn't
	// shutting down.
	answerBy time.Time
	// preferredDataCentre is the data centre in which the results should be computed,
	// because the engine for the request is expected to be there; empty for none.
	preferredDataCentre string
	// handles holds the result of each piece by stage; "" marks one that isn't computed
	// yet.
	handles [][]string
	// queued marks the stages whose pieces are queued, in calls or complete.
	queued []bool
	// released marks the stages whose results are released.
	released []bool
	// inputsFetched marks the pieces in calls whose server is assumed to have fetched the
	// inputs (see inputFetchTime); no server reports this.
	inputsFetched [][]bool
	// piecesInCalls is the number of pieces in calls.
	piecesInCalls int
	// recomputes counts the pieces that were recomputed.
	recomputes int
}

// releasedHandle stands for a result that was computed and released, in the results
// that one coordinator hands over to the next.
const releasedHandle = "-"

func newJob(task Task, now time.Time) job {
	j := job{
		task: task, openedAt: now, objective: now.Add(task.Objective), deadline: now.Add(task.Deadline),
		handles: make([][]string, len(task.Stages)), queued: make([]bool, len(task.Stages)), released: make([]bool, len(task.Stages)),
		inputsFetched: make([][]bool, len(task.Stages)),
	}
	if task.AnswerWithin > 0 {
		j.answerBy = now.Add(task.AnswerWithin)
	}
	for i, s := range task.Stages {
		j.handles[i], j.inputsFetched[i] = make([]string, s.Pieces), make([]bool, s.Pieces)
		if i < len(task.Results) && !task.IsRebuilt {
			copy(j.handles[i], task.Results[i])
			j.released[i] = slices.Contains(task.Results[i], releasedHandle)
		}
	}
	return j
}

// withPiecesInCalls returns the job after pieces were added to its number of pieces in
// calls. The number is negative for pieces whose call ended.
func (j job) withPiecesInCalls(pieces int) job {
	j.piecesInCalls += pieces
	return j
}

// withPreferredDataCentre returns the job with a preferred data centre.
func (j job) withPreferredDataCentre(dataCentre string) job {
	j.preferredDataCentre = dataCentre
	return j
}

// withQueued returns the job after the pieces of a stage were queued.
func (j job) withQueued(stage int) job {
	j.queued = slices.Clone(j.queued)
	j.queued[stage] = true
	return j
}

// withHandle returns the job with the result of a piece.
func (j job) withHandle(id batch.Identity, handle string) job {
	j.handles = slices.Clone(j.handles)
	j.handles[id.Stage] = slices.Clone(j.handles[id.Stage])
	j.handles[id.Stage][id.Number] = handle
	return j
}

// withReleased returns the job after the results of a stage were released.
func (j job) withReleased(stage int) job {
	j.released = slices.Clone(j.released)
	j.released[stage] = true
	return j
}

// withInputsFetched returns the job after a server fetched the inputs of a piece, or
// after the piece failed there and has to fetch them again.
func (j job) withInputsFetched(id batch.Identity, isFetched bool) job {
	j.inputsFetched = slices.Clone(j.inputsFetched)
	j.inputsFetched[id.Stage] = slices.Clone(j.inputsFetched[id.Stage])
	j.inputsFetched[id.Stage][id.Number] = isFetched
	return j
}

// withAnswerBy returns the job of an instance that gives its final answers at a time.
func (j job) withAnswerBy(at time.Time) job {
	j.answerBy = at
	return j
}

// withRecompute returns the job after one of its pieces was queued again.
func (j job) withRecompute() job {
	j.recomputes++
	return j
}

// withoutResults returns the job without results, so that all of them are recomputed. It
// keeps its times, its preferred data centre and its counters, and counts one recompute.
func (j job) withoutResults(now time.Time) job {
	j.task.IsRebuilt = true
	next := newJob(j.task, now)
	next.openedAt, next.objective, next.deadline, next.answerBy = j.openedAt, j.objective, j.deadline, j.answerBy
	next.preferredDataCentre, next.recomputes, next.piecesInCalls = j.preferredDataCentre, j.recomputes+1, j.piecesInCalls
	return next
}

// has reports whether a piece is one of the job.
func (j job) has(id batch.Identity) bool {
	return id.Stage >= 0 && id.Stage < len(j.handles) && id.Number >= 0 && id.Number < len(j.handles[id.Stage])
}

// lacks reports whether a piece is one of the job and isn't computed yet.
func (j job) lacks(id batch.Identity) bool { return j.has(id) && j.handles[id.Stage][id.Number] == "" }

// isStageComplete reports whether all results of a stage are computed.
func (j job) isStageComplete(stage int) bool { return !slices.Contains(j.handles[stage], "") }

// isReady reports whether a stage can be queued.
func (j job) isReady(stage int) bool {
	if j.queued[stage] || j.task.Stages[stage].Pieces == 0 {
		return false
	}
	for _, before := range j.task.Stages[stage].After {
		if !j.isStageComplete(before) {
			return false
		}
	}
	return !j.isDeferred(stage)
}

// isDeferred reports whether a stage with large results for the engine has to wait for
// another branch of stages. If its results were computed earlier, they would fill the
// memory of the stage servers, and the servers could not compute results for other
// requests.
func (j job) isDeferred(stage int) bool {
	if j.task.Stages[stage].Bytes < largeResultBytes || len(j.dependents(stage)) > 0 {
		return false
	}
	for other := range j.task.Stages {
		if other != stage && len(j.dependents(other)) == 0 && j.incompleteDepth(other) > 1 {
			return true
		}
	}
	return false
}

// incompleteDepth returns the length of the longest chain of incomplete stages that
// ends with a stage.
func (j job) incompleteDepth(stage int) int {
	if j.isStageComplete(stage) {
		return 0
	}
	longest := 0
	for _, before := range j.task.Stages[stage].After {
		longest = max(longest, j.incompleteDepth(before))
	}
	return longest + 1
}

// isComplete reports whether the results of all stages are computed.
func (j job) isComplete() bool {
	for i := range j.task.Stages {
		if !j.isStageComplete(i) {
			return false
		}
	}
	return true
}

// dependents returns the stages that take the results of a stage as inputs.
func (j job) dependents(stage int) []int {
	var dependents []int
	for i, s := range j.task.Stages {
		if s.Pieces > 0 && slices.Contains(s.After, stage) {
			dependents = append(dependents, i)
		}
	}
	return dependents
}

// releasable returns the stages whose results neither another stage nor the engine
// needs any more. The results of a pool under memory pressure are released as soon as
// the servers of the dependent stages have fetched them. If such a server fails
// afterwards, all results of the job are recomputed.
func (j job) releasable(hasMemoryPressure func(pool string) bool) []int {
	var stages []int
	for i, s := range j.task.Stages {
		dependents := j.dependents(i)
		if len(dependents) == 0 || j.released[i] {
			continue
		}
		isIncomplete := func(stage int) bool { return !j.isStageComplete(stage) }
		lacksInputs := func(stage int) bool { return !j.hasFetchedInputs(stage) }
		if !slices.ContainsFunc(dependents, isIncomplete) || !slices.ContainsFunc(dependents, lacksInputs) && hasMemoryPressure(s.Pool) {
			stages = append(stages, i)
		}
	}
	return stages
}

// hasFetchedInputs reports whether each piece of a stage is complete or in a call whose
// server is assumed to have fetched its inputs.
func (j job) hasFetchedInputs(stage int) bool {
	for n, isFetched := range j.inputsFetched[stage] {
		if !isFetched && j.handles[stage][n] == "" {
			return false
		}
	}
	return true
}

// hasReleasedInputs reports whether results that a stage needs were released.
func (j job) hasReleasedInputs(stage int) bool {
	return slices.ContainsFunc(j.task.Stages[stage].After, func(before int) bool { return j.released[before] })
}

// resultsForHandOver returns the results for the next coordinator, or nil if an
// incomplete stage needs results that were released.
func (j job) resultsForHandOver() [][]string {
	for i := range j.task.Stages {
		if !j.isStageComplete(i) && j.hasReleasedInputs(i) {
			return nil
		}
	}
	results := slices.Clone(j.handles)
	for i, isReleased := range j.released {
		if isReleased {
			results[i] = slices.Repeat([]string{releasedHandle}, len(results[i]))
		}
	}
	return results
}

// engineInputs returns the results that the engine fetches: those of the stages without
// dependents.
func (j job) engineInputs() []string {
	var handles []string
	for i := range j.task.Stages {
		if len(j.dependents(i)) == 0 {
			handles = append(handles, j.handles[i]...)
		}
	}
	return handles
}

// unreleased returns all results that occupy memory at stage servers.
func (j job) unreleased() []string {
	var handles []string
	for i, hs := range j.handles {
		if j.released[i] {
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

// stageInputs returns the results that a stage takes as inputs.
func (j job) stageInputs(stage int) []string {
	var inputs []string
	for _, before := range j.task.Stages[stage].After {
		inputs = append(inputs, j.handles[before]...)
	}
	return inputs
}

// inflow returns the total size of the inputs that the pieces of a stage fetch, by the
// data centre that holds the inputs.
func (j job) inflow(stage int, dataCentre func(handle string) string) []batch.InputSize {
	var inflow []batch.InputSize
	for _, before := range j.task.Stages[stage].After {
		bytes := j.task.Stages[before].Bytes * int64(j.task.Stages[stage].Pieces)
		for _, h := range j.handles[before] {
			dc := dataCentre(h)
			n := slices.IndexFunc(inflow, func(f batch.InputSize) bool { return f.DataCentre == dc })
			switch {
			case dc == "":
			case n < 0:
				inflow = append(inflow, batch.InputSize{DataCentre: dc, Bytes: bytes})
			default:
				inflow[n].Bytes += bytes
			}
		}
	}
	return inflow
}

// pendingPieces returns the pieces of a stage that are not computed yet.
func (j job) pendingPieces(stage int, start time.Time, dataCentre func(handle string) string, now time.Time) []batch.Piece {
	spec := j.task.Stages[stage]
	inputs := j.stageInputs(stage)
	inflow := j.inflow(stage, dataCentre)
	key := ""
	if len(spec.After) == 0 {
		key = j.task.Key
	}
	var pieces []batch.Piece
	for n, h := range j.handles[stage] {
		if h != "" {
			continue
		}
		pieces = append(pieces, batch.Piece{
			Identity: batch.Identity{RequestID: j.task.RequestID, Stage: stage, Number: n},
			Pool:     spec.Pool, Key: key, Inputs: inputs, ResultBytes: spec.Bytes, Class: j.task.class(),
			LatestStart: start, Deadline: j.deadline, AnswerBy: j.answerBy, PreferredDataCentre: j.preferredDataCentre, InputSizes: inflow, QueuedAt: now,
		})
	}
	return pieces
}

// remainingDepth returns the length of the longest chain of stages that starts with a
// stage.
func (j job) remainingDepth(stage int) int {
	longest := 0
	for _, dependent := range j.dependents(stage) {
		longest = max(longest, j.remainingDepth(dependent))
	}
	return longest + 1
}
