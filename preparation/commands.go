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
	if t.isHandedOver && !task.IsForced || e != nil && e.isMoving {
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
	s := e.advance(info, now)
	s.release = append(s.release, released...)
	return *e, s, true
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
		if e.isMoving {
			e.moveIfIdle()
		}
	}
}

// handOver hands over all jobs and makes the table reject new ones until resume. It
// returns the IDs of the requests.
func (c Commands) handOver() []string {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isHandedOver = true
	requests := make([]string, 0, len(t.jobs))
	for id, e := range t.jobs {
		e.isMoving = true
		e.moveIfIdle()
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

// removeMoved removes a job that is handed over and returns its results, which stay at
// the stage servers.
func (c Commands) removeMoved(request string) [][]string {
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
func (c Commands) recordResult(p batch.Piece, handle string, info poolInfo, now time.Time) effects {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[p.Request]
	if e == nil || e.job.handles[p.Stage][p.Number] != "" {
		return effects{release: []string{handle}}
	}
	e.job = e.job.withHandle(p.Identity, handle)
	if e.isMoving {
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
		if e == nil || e.isMoving || e.job.handles[p.Stage][p.Number] != "" || !slices.Equal(p.Inputs, e.job.stageInputs(p.Stage)) {
			continue
		}
		e.job = e.job.withInputsFetched(p.Identity, true)
		s := e.advance(info, now)
		total = effects{append(total.enqueue, s.enqueue...), append(total.release, s.release...)}
	}
	return total
}

// maxRecomputes limits the pieces that are recomputed for one request.
const maxRecomputes = 12

// retry decides how to proceed with a piece that failed.
func (c Commands) retry(p batch.Piece) retryDecision {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[p.Request]
	// A job that was rebuilt queues the piece with its new inputs.
	if e == nil || e.job.handles[p.Stage][p.Number] != "" || e.isMoving || !slices.Equal(p.Inputs, e.job.stageInputs(p.Stage)) {
		return ignorePiece
	}
	switch {
	case e.job.recomputes >= maxRecomputes:
		return refuseRequest
	case e.job.hasReleasedInputs(p.Stage):
		return rebuildRequest
	}
	e.job = e.job.withInputsFetched(p.Identity, false).withRecompute()
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
func (c Commands) rebuild(p batch.Piece, info poolInfo, now time.Time) (effects, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[p.Request]
	// Other pieces of the call report the same loss; only the first report counts.
	if e == nil || e.isMoving || e.job.recomputes >= maxRecomputes || !slices.Equal(p.Inputs, e.job.stageInputs(p.Stage)) {
		return effects{}, false
	}
	released := e.job.unreleased()
	if now.After(e.job.objective) && now.Sub(e.job.openedAt) > e.job.deadline.Sub(now) {
		// Recomputing would take longer than the time remaining.
		t.refuse(p.Request, unattainable(0))
		return effects{release: released}, false
	}
	e.job = e.job.withoutResults(now)
	s := e.advance(info, now)
	s.release = append(s.release, released...)
	return s, true
}

// refuse removes a job with a refusal and returns its results for release.
func (c Commands) refuse(id string, f request.Failure) []string {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	if e == nil || e.isMoving {
		return nil
	}
	t.refuse(id, f)
	return e.job.unreleased()
}

// refuse removes a job and delivers the refusal to the waiting preparation. The caller
// holds the lock.
func (t *Table) refuse(id string, f request.Failure) {
	e := t.jobs[id]
	*e.refusal = f.WithRetryAfter(e.job.task.retryAfter(f.RetryAfter))
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

// close removes a job and returns the results that it held, unless a later try of the
// request has continued it.
func (c Commands) close(request string, try int) []string {
	handles, _ := c.abandon(request, try)
	return handles
}

// abandon does the same as close and reports whether the job was removed.
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

// expired returns the requests whose deadline has passed. These remain if the instance
// that asked for them is gone.
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
