package preparation

import (
	"slices"
	"time"

	"lycheecrank.example/batch"
	"lycheecrank.example/request"
)

// open adds a job, or continues one whose results are still held. It reports false
// while jobs are being handed over.
func (c Commands) open(task Task, dataCentre string, info poolInfo, now time.Time) (entry, effects, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[task.RequestID]
	if t.isHandedOver && !task.IsForced || e != nil && e.isBeingHandedOver {
		return entry{}, effects{}, false
	}
	var released []string
	switch {
	case e == nil:
		e = newEntry(newJob(task, now).withPreferredDataCentre(dataCentre))
		t.jobs[task.RequestID] = e
	case task.IsRebuilt:
		released = e.job.unreleased()
		e.job = e.job.withoutResults(now)
		e.done = make(chan struct{})
	}
	e.job.task.Try = max(e.job.task.Try, task.Try)
	followUp := e.advance(info, now)
	followUp.release = append(followUp.release, released...)
	return *e, followUp, true
}

// beginCall records that pieces were sent in a call.
func (c Commands) beginCall(pieces []batch.Piece) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range pieces {
		if e := t.jobs[p.Request]; e != nil {
			e.job = e.job.withPiecesInCalls(1)
		}
	}
}

// endCall records that a call ended. It runs after the results of the call have been
// recorded, so that a job is handed over with them.
func (c Commands) endCall(pieces []batch.Piece) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range pieces {
		e := t.jobs[p.Request]
		if e == nil {
			continue
		}
		e.job = e.job.withPiecesInCalls(-1)
		if e.isBeingHandedOver {
			e.handOverIfIdle()
		}
	}
}

// handOver starts the hand-over of all jobs to another coordinator and makes the table
// reject new ones until resume is called. It returns the IDs of the requests.
func (c Commands) handOver() []string {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isHandedOver = true
	requests := make([]string, 0, len(t.jobs))
	for id, e := range t.jobs {
		e.isBeingHandedOver = true
		e.handOverIfIdle()
		requests = append(requests, id)
	}
	return requests
}

// resume makes the table accept jobs again after handOver.
func (c Commands) resume() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isHandedOver = false
}

// removeHandedOver removes a job that is handed over and returns its results, which
// stay at the stage servers.
func (c Commands) removeHandedOver(request string) [][]string {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[request]
	if e == nil {
		return nil
	}
	delete(t.jobs, request)
	return e.job.resultsForHandOver()
}

// recordResult stores the handle of a result. The returned effects release the handle
// if no job needs it.
func (c Commands) recordResult(piece batch.Piece, handle string, info poolInfo, now time.Time) effects {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[piece.Request]
	if e == nil || e.job.handles[piece.Stage][piece.Number] != "" {
		return effects{release: []string{handle}}
	}
	e.job = e.job.withHandle(piece.Identity, handle)
	if e.isBeingHandedOver {
		return effects{}
	}
	return e.advance(info, now)
}

// recordInputsFetched records that servers have fetched the inputs of pieces.
func (c Commands) recordInputsFetched(pieces []batch.Piece, info poolInfo, now time.Time) effects {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var total effects
	for _, p := range pieces {
		e := t.jobs[p.Request]
		if e == nil || e.isBeingHandedOver || e.job.handles[p.Stage][p.Number] != "" || !slices.Equal(p.Inputs, e.job.stageInputs(p.Stage)) {
			continue
		}
		e.job = e.job.withInputsFetched(p.Identity, true)
		followUp := e.advance(info, now)
		total = effects{append(total.enqueue, followUp.enqueue...), append(total.release, followUp.release...)}
	}
	return total
}

// maxRecomputes limits the pieces that are recomputed for one request.
const maxRecomputes = 12

// decideRetry decides how to proceed with a piece that failed. If it returns retryPiece,
// it has counted the piece as recomputed.
func (c Commands) decideRetry(piece batch.Piece) retryDecision {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[piece.Request]
	// If the inputs of the piece have changed, the job was rebuilt and queues the piece
	// again once its new inputs are complete.
	if e == nil || e.job.handles[piece.Stage][piece.Number] != "" || e.isBeingHandedOver || !slices.Equal(piece.Inputs, e.job.stageInputs(piece.Stage)) {
		return ignorePiece
	}
	switch {
	case e.job.recomputes >= maxRecomputes:
		return refuseRequest
	case e.job.hasReleasedInputs(piece.Stage):
		return rebuildRequest
	}
	e.job = e.job.withInputsFetched(piece.Identity, false).withRecompute()
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
// lost, and reports whether it did.
func (c Commands) rebuild(piece batch.Piece, info poolInfo, now time.Time) (effects, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[piece.Request]
	// All pieces of a call report the same missing input. The first report changes the
	// inputs of the stage, so that the other reports don't match any more.
	if e == nil || e.isBeingHandedOver || e.job.recomputes >= maxRecomputes || !slices.Equal(piece.Inputs, e.job.stageInputs(piece.Stage)) {
		return effects{}, false
	}
	released := e.job.unreleased()
	if now.After(e.job.objective) && now.Sub(e.job.openedAt) > e.job.deadline.Sub(now) {
		// Recomputing is expected to take as long as the job has taken so far, which is
		// longer than the time until its deadline.
		t.refuse(piece.Request, unattainable(0))
		return effects{release: released}, false
	}
	e.job = e.job.withoutResults(now)
	followUp := e.advance(info, now)
	followUp.release = append(followUp.release, released...)
	return followUp, true
}

// refuse refuses the request of a job, removes the job and returns its results for
// release.
func (c Commands) refuse(id string, failure request.Failure) []string {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	if e == nil || e.isBeingHandedOver {
		return nil
	}
	t.refuse(id, failure)
	return e.job.unreleased()
}

// refuse removes a job and delivers the refusal to the waiting preparation. The caller
// holds the lock.
func (t *Table) refuse(id string, failure request.Failure) {
	e := t.jobs[id]
	*e.refusal = failure.WithRetryAfter(e.job.task.retryAfter(failure.RetryAfter))
	close(e.refused)
	delete(t.jobs, id)
}

// job returns the job of a request.
func (c Commands) job(request string) (job, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[request]
	if e == nil {
		return job{}, false
	}
	return e.job, true
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
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[request]
	if e == nil || e.job.task.Try > try {
		return nil, false
	}
	delete(t.jobs, request)
	return e.job.unreleased(), true
}

// expired returns the requests whose deadline has passed. Their jobs are left over if
// the instance that sent the requests has failed.
func (c Commands) expired(now time.Time) []string {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var requests []string
	for id, e := range t.jobs {
		if now.After(e.job.deadline) {
			requests = append(requests, id)
		}
	}
	return requests
}
