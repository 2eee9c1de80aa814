package preparation

import (
	"slices"
	"time"

	"lycheecrank.example/batch"
)

// backlogInterval is how often the backlog is counted. Counting visits all jobs, which
// would take much of a coordinator's processor time if it were done for each request.
const backlogInterval = 25 * time.Millisecond

// backlogKey identifies pieces that count alike.
type backlogKey struct {
	pool   string
	class  batch.Class
	isLate bool
}

// backlog holds the number of pieces that jobs will queue once their preceding stages are
// complete. The queues don't hold these pieces yet, but they are served before those of
// requests that arrive now.
type backlog struct {
	countedAt time.Time
	pieces    map[backlogKey]int
}

// countBacklog counts the pieces of all jobs. The caller holds the lock.
func (t *Table) countBacklog(now time.Time) backlog {
	counted := backlog{countedAt: now, pieces: map[backlogKey]int{}}
	for _, e := range t.jobs {
		for i, s := range e.job.task.Stages {
			if s.Pieces > 0 && !e.job.queued[i] {
				counted.pieces[backlogKey{s.Pool, e.job.task.class(), e.job.task.isLate}] += s.Pieces
			}
		}
	}
	return counted
}

// backlog returns the number of pieces that jobs will queue in a pool before those of a
// request that arrives now: the pieces of equal and better classes, and for a late
// request also those of all other requests that can still be on time.
func (c Commands) backlog(pool string, class batch.Class, isLate bool, now time.Time) int {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	if now.Sub(table.counted.countedAt) >= backlogInterval {
		table.counted = table.countBacklog(now)
	}
	total := 0
	for key, n := range table.counted.pieces {
		isAhead := isLate && !key.isLate || isLate == key.isLate && key.class.Compare(class) <= 0
		if key.pool == pool && isAhead {
			total += n
		}
	}
	return total
}

// expectedTime returns how long the stages of a new job are expected to take. Stages that
// don't depend on each other are computed at the same time.
func (j job) expectedTime(wait func(stage int) time.Duration, callTime func(pool string, pieces int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.task.Stages))
	isKnown := make([]bool, len(j.task.Stages))
	var end func(stage int) time.Duration
	end = func(stage int) time.Duration {
		s := j.task.Stages[stage]
		if isKnown[stage] || s.Pieces == 0 {
			return ends[stage]
		}
		before := s.After
		if j.isDeferred(stage) {
			before = slices.Concat(before, j.beforeLastStages(stage))
		}
		start := wait(stage)
		for _, b := range before {
			start = max(start, end(b))
		}
		ends[stage], isKnown[stage] = start+callTime(s.Pool, typicalCallPieces), true
		return ends[stage]
	}
	longest := time.Duration(0)
	for i := range j.task.Stages {
		longest = max(longest, end(i))
	}
	return longest
}

// beforeLastStages returns the stages before the last ones of all chains other than that
// of a stage.
func (j job) beforeLastStages(stage int) []int {
	var before []int
	for i, s := range j.task.Stages {
		if i != stage && s.Pieces > 0 && len(j.dependents(i)) == 0 {
			before = append(before, s.After...)
		}
	}
	return before
}
