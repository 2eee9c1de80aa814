package preparation

import (
	"slices"
	"time"

	"lycheecrank.example/batch"
)

// open adds a job, or takes up one whose results are still there. It returns the
// channel that is closed when all results are there.
func (c Commands) open(o Order, near string, usual usualTime, now time.Time) (<-chan struct{}, step) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[o.Request]
	var dropped []string
	switch {
	case e == nil:
		e = &entry{job: newJob(o, now).withNear(near), done: make(chan struct{})}
		t.jobs[o.Request] = e
	case o.IsRebuilt:
		dropped = e.job.kept()
		e.job = e.job.withoutResults(now)
		e.done = make(chan struct{})
	}
	s := e.advance(usual, now)
	s.free = append(s.free, dropped...)
	return e.done, s
}

type usualTime = func(pool string, pieces int) time.Duration

// record takes over a result. The handle is to be freed if nobody wants it.
func (c Commands) record(p batch.Piece, handle string, usual usualTime, now time.Time) step {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[p.Request]
	if e == nil || e.job.handles[p.Stage][p.Number] != "" {
		return step{free: []string{handle}}
	}
	e.job = e.job.withHandle(p.Identity, handle)
	return e.advance(usual, now)
}

// maxTries bounds how many pieces of a request are made again.
const maxTries = 12

// retry reports whether a piece that failed should be made again.
func (c Commands) retry(p batch.Piece) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[p.Request]
	if e == nil || e.job.handles[p.Stage][p.Number] != "" || e.job.tries >= maxTries {
		return false
	}
	e.job = e.job.withTry()
	return true
}

// rebuild makes all results of a job again after one of them was found gone.
func (c Commands) rebuild(p batch.Piece, usual usualTime, now time.Time) step {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[p.Request]
	// Other pieces of the call report the same loss: the first one counts.
	if e == nil || e.job.tries >= maxTries || !slices.Equal(p.Inputs, e.job.stageInputs(p.Stage)) {
		return step{}
	}
	dropped := e.job.kept()
	e.job = e.job.withoutResults(now)
	s := e.advance(usual, now)
	s.free = append(s.free, dropped...)
	return s
}

// inputs returns the results that the engine fetches and where they are wanted.
func (c Commands) inputs(request string) (job, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[request]
	if e == nil {
		return job{}, false
	}
	return e.job, true
}

// close removes a job and returns the results that it kept.
func (c Commands) close(request string) []string {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[request]
	if e == nil {
		return nil
	}
	delete(t.jobs, request)
	return e.job.kept()
}

// lapsed returns the requests whose deadline has passed, such as those of an
// instance that is gone.
func (c Commands) lapsed(now time.Time) []string {
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
