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
	// isHandedOver makes the table reject new jobs, except forced ones. It is set while
	// the coordinator's requests belong to another coordinator.
	isHandedOver bool
	counted      backlog
}

// entry is a job with the channels on which its preparation waits.
type entry struct {
	job job
	// done is closed when all results are computed, handOverReady when the job can be
	// handed over.
	done          chan struct{}
	handOverReady chan struct{}
	// refused is closed when the request is refused, after refusal was set.
	refused chan struct{}
	refusal *request.Failure
	// isBeingHandedOver is set while the job waits for its hand-over to another
	// coordinator.
	isBeingHandedOver bool
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

// isHandedOver reports whether the requests belong to another coordinator.
func (q Queries) isHandedOver() bool {
	q.table.mu.Lock()
	defer q.table.mu.Unlock()
	return q.table.isHandedOver
}

// waiting returns the number of requests of the given or a better rank (a lower number)
// whose results are not complete yet.
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
	return &entry{job: j, done: make(chan struct{}), handOverReady: make(chan struct{}), refused: make(chan struct{}), refusal: &request.Failure{}}
}

// handOverIfIdle closes handOverReady if the job has no pieces in calls, so that its
// waiting preparation hands it over. The caller holds the lock.
func (e *entry) handOverIfIdle() {
	if e.job.piecesInCalls > 0 {
		return
	}
	select {
	case <-e.handOverReady:
	default:
		close(e.handOverReady)
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

// advance marks the stages that have become ready as queued and the results that are no
// longer needed as released, and closes done if all results are computed. It returns the
// pieces to queue and the results to release. The caller holds the lock.
func (e *entry) advance(info poolInfo, now time.Time) effects {
	var followUp effects
	for i := range e.job.task.Stages {
		if e.job.isReady(i) {
			start := latestStart(e.job, i, info.callTime)
			followUp.enqueue = append(followUp.enqueue, e.job.pendingPieces(i, start, info.dataCentre, now)...)
			e.job = e.job.withQueued(i)
		}
	}
	for _, i := range e.job.releasable(info.hasMemoryPressure) {
		followUp.release = append(followUp.release, e.job.handles[i]...)
		e.job = e.job.withReleased(i)
	}
	if e.job.isComplete() {
		select {
		case <-e.done:
		default:
			close(e.done)
		}
	}
	return followUp
}

const (
	// engineOverhead is the typical time from the end of the preparation to the first
	// event, without the prefill of the prompt.
	engineOverhead = 80 * time.Millisecond
	// prefillTokensPerMs is the number of prompt tokens by which the prefill advances per
	// millisecond. It counts cached tokens too, which need no prefill and are about half
	// of a prompt, so the rate for the other tokens is half of this.
	prefillTokensPerMs = 80
	// typicalCallPieces is the number of pieces of a typical call.
	typicalCallPieces = 5
	// stageQueueTime is the typical wait of a stage in the queue.
	stageQueueTime = 30 * time.Millisecond
)

// latestStart estimates when a stage has to start at the latest for the request to meet
// its objective. It is the zero time for a request that was admitted as late.
func latestStart(j job, stage int, callTime func(pool string, pieces int) time.Duration) time.Time {
	if j.task.isLate {
		return time.Time{}
	}
	remaining := j.task.engineTime()
	for i := stage; ; {
		remaining += callTime(j.task.Stages[i].Pool, typicalCallPieces) + stageQueueTime
		next, longest := -1, 0
		for _, dependent := range j.dependents(i) {
			if d := j.remainingDepth(dependent); d > longest {
				next, longest = dependent, d
			}
		}
		if next < 0 {
			return j.objective.Add(-remaining)
		}
		i = next
	}
}
