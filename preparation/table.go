package preparation

import (
	"time"

	"lycheecrank.example/batch"
	"lycheecrank.example/lock"
	"lycheecrank.example/request"
)

// Table holds the jobs by request ID.
type Table struct {
	mu   *lock.Ranked
	jobs map[string]*entry
	// isHandedOver makes the table reject new jobs, except forced ones.
	isHandedOver bool
}

// entry is a job with the channels on which its preparation waits.
type entry struct {
	job job
	// done is closed when all results are computed, moved when the job can be handed
	// over.
	done  chan struct{}
	moved chan struct{}
	// refused is closed when the request is refused, after refusal was set.
	refused chan struct{}
	refusal *request.Failure
	// isMoving means that the job is being handed over.
	isMoving bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankPreparation, "preparation"), jobs: map[string]*entry{}}
}

// Commands returns the write access to the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the read access to the table.
func (t *Table) Queries() Queries { return Queries{t} }

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// Queries reads a table. Concurrent calls are safe.
type Queries struct{ table *Table }

// JobCount returns the number of jobs.
func (q Queries) JobCount() int {
	q.table.mu.Lock()
	defer q.table.mu.Unlock()
	return len(q.table.jobs)
}

// waiting returns the number of requests of a class or a better one whose results are
// not complete yet.
func (q Queries) waiting(rank int) int {
	q.table.mu.Lock()
	defer q.table.mu.Unlock()
	n := 0
	for _, e := range q.table.jobs {
		if e.job.task.Rank <= rank && !e.isDone() {
			n++
		}
	}
	return n
}

// isDone reports whether all results were computed.
func (e *entry) isDone() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// newEntry returns an entry for a job.
func newEntry(j job) *entry {
	return &entry{job: j, done: make(chan struct{}), moved: make(chan struct{}), refused: make(chan struct{}), refusal: &request.Failure{}}
}

// moveIfIdle hands over a job that has no pieces in calls. The caller holds the lock.
func (e *entry) moveIfIdle() {
	if e.job.piecesInCalls > 0 {
		return
	}
	select {
	case <-e.moved:
	default:
		close(e.moved)
	}
}

// effects lists the work that follows from a change of a job: pieces to queue and
// results to release.
type effects struct {
	enqueue []batch.Piece
	release []string
}

// poolInfo holds the lookups about pools that jobs need.
type poolInfo struct {
	// callTime returns the typical duration of a call with a number of pieces.
	callTime func(pool string, pieces int) time.Duration
	// dataCentre returns the data centre of a result, empty if it is unknown.
	dataCentre func(handle string) string
	// hasMemoryPressure reports whether the result memory of a pool is nearly full and
	// calls have to wait.
	hasMemoryPressure func(pool string) bool
}

// advance queues the stages that have become ready and releases results that are no
// longer needed. The caller holds the lock.
func (e *entry) advance(info poolInfo, now time.Time) effects {
	var s effects
	for i := range e.job.task.Stages {
		if e.job.isReady(i) {
			start := latestStart(e.job, i, info.callTime)
			s.enqueue = append(s.enqueue, e.job.pendingPieces(i, start, info.dataCentre, now)...)
			e.job = e.job.withQueued(i)
		}
	}
	for _, i := range e.job.releasable(info.hasMemoryPressure) {
		s.release = append(s.release, e.job.handles[i]...)
		e.job = e.job.withReleased(i)
	}
	if e.job.isComplete() {
		select {
		case <-e.done:
		default:
			close(e.done)
		}
	}
	return s
}

const (
	// engineOverhead is the typical time from the end of the preparation to the first
	// event, without the prefill of the prompt.
	engineOverhead = 80 * time.Millisecond
	// prefillTokensPerMs is the number of prompt tokens that an engine prefills per
	// millisecond; about half of a prompt is cached.
	prefillTokensPerMs = 80
	// typicalCallPieces is the number of pieces of a typical call.
	typicalCallPieces = 5
	// stageQueueTime is the typical wait of a stage in the queue.
	stageQueueTime = 30 * time.Millisecond
)

// latestStart estimates when a stage has to start at the latest for the request to meet
// its objective.
func latestStart(j job, stage int, callTime func(pool string, pieces int) time.Duration) time.Time {
	remaining := engineOverhead + time.Duration(j.task.Prompt.Input)*time.Millisecond/prefillTokensPerMs
	for i := stage; ; {
		remaining += callTime(j.task.Stages[i].Pool, typicalCallPieces) + stageQueueTime
		next, longest := -1, 0
		for _, f := range j.dependents(i) {
			if d := j.remainingDepth(f); d > longest {
				next, longest = f, d
			}
		}
		if next < 0 {
			return j.objective.Add(-remaining)
		}
		i = next
	}
}
