package preparation

import (
	"slices"
	"time"

	"lycheecrank.example/batch"
	"lycheecrank.example/request"
)

// open adds a job, or continues the job that an earlier try of the request left. It
// reports false while jobs are being handed over.
func (c Commands) open(task Task, dataCentre string, info poolInfo, now time.Time) (entry, effects, bool) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	jobEntry := table.jobs[task.RequestID]
	if table.isHandedOver && !task.IsForced || jobEntry != nil && jobEntry.isBeingHandedOver {
		return entry{}, effects{}, false
	}
	var released []string
	switch {
	case jobEntry == nil:
		jobEntry = newEntry(newJob(task, now).withPreferredDataCentre(dataCentre))
		table.jobs[task.RequestID] = jobEntry
	case task.IsRebuilt:
		released = jobEntry.job.unreleased()
		jobEntry.job = jobEntry.job.withoutResults(now)
		jobEntry.done = make(chan struct{})
	}
	jobEntry.job.task.Try = max(jobEntry.job.task.Try, task.Try)
	if task.AnswerWithin > 0 {
		jobEntry.job = jobEntry.job.withAnswerBy(now.Add(task.AnswerWithin))
	}
	followUp := jobEntry.advance(info, now)
	followUp.release = append(followUp.release, released...)
	return *jobEntry, followUp, true
}

// setAnswerBy records when the instance of a request gives its final answers.
func (c Commands) setAnswerBy(request string, at time.Time) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	if jobEntry := table.jobs[request]; jobEntry != nil {
		jobEntry.job = jobEntry.job.withAnswerBy(at)
	}
}

// beginCall records that pieces were sent in a call.
func (c Commands) beginCall(pieces []batch.Piece) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, p := range pieces {
		if jobEntry := table.jobs[p.RequestID]; jobEntry != nil {
			jobEntry.job = jobEntry.job.withPiecesInCalls(1)
		}
	}
}

// endCall records that a call ended. It runs after the results of the call have been
// recorded, so that a job is handed over with them.
func (c Commands) endCall(pieces []batch.Piece) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, p := range pieces {
		jobEntry := table.jobs[p.RequestID]
		if jobEntry == nil {
			continue
		}
		jobEntry.job = jobEntry.job.withPiecesInCalls(-1)
		if jobEntry.isBeingHandedOver {
			jobEntry.handOverIfIdle()
		}
	}
}

// handOver starts the hand-over of all jobs to another coordinator and makes the table
// reject new ones until resume is called. It returns the IDs of the requests.
func (c Commands) handOver() []string {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	table.isHandedOver = true
	requests := make([]string, 0, len(table.jobs))
	for id, e := range table.jobs {
		e.isBeingHandedOver = true
		e.handOverIfIdle()
		requests = append(requests, id)
	}
	return requests
}

// resume makes the table accept jobs again after handOver.
func (c Commands) resume() {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	table.isHandedOver = false
}

// removeHandedOver removes a job that is handed over and returns its results, which
// stay at the stage servers.
func (c Commands) removeHandedOver(request string) [][]string {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	jobEntry := table.jobs[request]
	if jobEntry == nil {
		return nil
	}
	delete(table.jobs, request)
	return jobEntry.job.resultsForHandOver()
}

// recordResult stores the handle of a result. The returned effects release the handle
// if no job needs it.
func (c Commands) recordResult(piece batch.Piece, handle string, info poolInfo, now time.Time) effects {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	jobEntry := table.jobs[piece.RequestID]
	if jobEntry == nil || !jobEntry.job.lacks(piece.Identity) {
		return effects{release: []string{handle}}
	}
	jobEntry.job = jobEntry.job.withHandle(piece.Identity, handle)
	if jobEntry.isBeingHandedOver {
		return effects{}
	}
	return jobEntry.advance(info, now)
}

// recordInputsFetched records that servers are assumed to have fetched the inputs of
// pieces, inputFetchTime after the call was sent.
func (c Commands) recordInputsFetched(pieces []batch.Piece, info poolInfo, now time.Time) effects {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	var total effects
	for _, p := range pieces {
		jobEntry := table.jobs[p.RequestID]
		if jobEntry == nil || jobEntry.isBeingHandedOver || !jobEntry.job.lacks(p.Identity) || !slices.Equal(p.Inputs, jobEntry.job.stageInputs(p.Stage)) {
			continue
		}
		jobEntry.job = jobEntry.job.withInputsFetched(p.Identity, true)
		followUp := jobEntry.advance(info, now)
		total = effects{append(total.enqueue, followUp.enqueue...), append(total.release, followUp.release...)}
	}
	return total
}

// maxRecomputes limits the pieces that are recomputed for one request.
const maxRecomputes = 12

// decideRetry decides how to proceed with a piece that failed. If it returns retryPiece,
// it has counted the piece as recomputed, unless its call was not executed.
func (c Commands) decideRetry(piece batch.Piece, isExecuted bool) retryDecision {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	jobEntry := table.jobs[piece.RequestID]
	// If the inputs of the piece have changed, the job was rebuilt and queues the piece
	// again once its new inputs are complete.
	if jobEntry == nil || !jobEntry.job.lacks(piece.Identity) || jobEntry.isBeingHandedOver || !slices.Equal(piece.Inputs, jobEntry.job.stageInputs(piece.Stage)) {
		return ignorePiece
	}
	switch {
	case isExecuted && jobEntry.job.recomputes >= maxRecomputes:
		return refuseRequest
	case jobEntry.job.hasReleasedInputs(piece.Stage):
		return rebuildRequest
	}
	jobEntry.job = jobEntry.job.withInputsFetched(piece.Identity, false)
	if isExecuted {
		jobEntry.job = jobEntry.job.withRecompute()
	}
	return retryPiece
}

// retryDecision is how to proceed with a piece that failed.
type retryDecision int

const (
	// ignorePiece: no job needs the piece any more.
	ignorePiece retryDecision = iota
	// retryPiece: another server can compute the piece.
	retryPiece
	// rebuildRequest: inputs of the piece were released, so all results have to be
	// recomputed.
	rebuildRequest
	// refuseRequest: too many pieces of the request were recomputed.
	refuseRequest
)

// rebuild resets a job so that all of its results are recomputed after one of them was
// lost, and reports whether it did. If recomputing is expected to exceed the deadline, it
// refuses the request instead, returns the results for release and reports false.
func (c Commands) rebuild(piece batch.Piece, info poolInfo, now time.Time) (effects, bool) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	jobEntry := table.jobs[piece.RequestID]
	// All pieces of a call report the same missing input. The rebuild after the first
	// report clears the handles of the inputs, so that the other reports don't match any
	// more.
	if jobEntry == nil || jobEntry.isBeingHandedOver || !jobEntry.job.has(piece.Identity) || jobEntry.job.recomputes >= maxRecomputes || !slices.Equal(piece.Inputs, jobEntry.job.stageInputs(piece.Stage)) {
		return effects{}, false
	}
	released := jobEntry.job.unreleased()
	if now.After(jobEntry.job.objective) && now.Sub(jobEntry.job.openedAt) > jobEntry.job.deadline.Sub(now) {
		// Recomputing is expected to take as long as the job has taken so far, which is
		// longer than the time until its deadline.
		table.refuse(piece.RequestID, unattainable(0))
		return effects{release: released}, false
	}
	jobEntry.job = jobEntry.job.withoutResults(now)
	followUp := jobEntry.advance(info, now)
	followUp.release = append(followUp.release, released...)
	return followUp, true
}

// refuse refuses the request of a job, removes the job and returns its results for
// release.
func (c Commands) refuse(id string, failure request.Failure) []string {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	jobEntry := table.jobs[id]
	if jobEntry == nil || jobEntry.isBeingHandedOver {
		return nil
	}
	table.refuse(id, failure)
	return jobEntry.job.unreleased()
}

// refuse removes a job and delivers the refusal to the waiting preparation. The caller
// holds the lock.
func (t *Table) refuse(id string, failure request.Failure) {
	jobEntry := t.jobs[id]
	*jobEntry.refusal = failure.WithRetryAfter(jobEntry.job.task.retryAfter(failure.RetryAfter))
	close(jobEntry.refused)
	delete(t.jobs, id)
}

// job returns the job of a request.
func (c Commands) job(request string) (job, bool) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	jobEntry := table.jobs[request]
	if jobEntry == nil {
		return job{}, false
	}
	return jobEntry.job, true
}

// close removes the job of a request whose engine has fetched the results, and returns
// the results for release. It does nothing if a later try of the request continues the
// job.
func (c Commands) close(request string, try int) []string {
	handles, _ := c.abandon(request, try)
	return handles
}

// abandon removes the job of a request whose preparation is cancelled, and returns its
// results for release. It reports false if there is no job or a later try of the request
// continues it.
func (c Commands) abandon(request string, try int) ([]string, bool) {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	jobEntry := table.jobs[request]
	if jobEntry == nil || jobEntry.job.task.Try > try {
		return nil, false
	}
	delete(table.jobs, request)
	return jobEntry.job.unreleased(), true
}

// expired returns the requests whose deadline has passed. Their jobs are left over if
// the instance that sent the requests has failed.
func (c Commands) expired(now time.Time) []string {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	var requests []string
	for id, e := range table.jobs {
		if now.After(e.job.deadline) {
			requests = append(requests, id)
		}
	}
	return requests
}
