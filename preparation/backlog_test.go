package preparation

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/batch"
)

// Guards against a burst that is admitted as on time because its pieces are still in
// earlier stages and not yet in the queue of the pool that can't serve them.
func TestBacklog(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable()
	info := poolInfo{
		callTime:          func(string, int) time.Duration { return 200 * time.Millisecond },
		dataCentre:        func(string) string { return "" },
		hasMemoryPressure: func(string) bool { return false },
	}
	open := func(id string, rank int, isLate bool) {
		task := Task{
			RequestID: id, Rank: rank, Objective: time.Second, Deadline: 4 * time.Second, isLate: isLate,
			Stages: []Stage{{Pool: "encode", Pieces: 1}, {Pool: "rerank", After: []int{0}, Pieces: 6}},
		}
		_, _, ok := table.Commands().open(task, "", info, now)
		is.True(ok)
	}
	open("r1", 1, false)
	open("r2", 1, true)
	open("r3", 2, false)
	ahead := func(rank int, isLate bool) int {
		return table.Commands().backlog("rerank", batch.Class{Rank: rank}, isLate, now)
	}
	is.Equal(ahead(0, false), 0)
	is.Equal(ahead(1, false), 6)
	is.Equal(ahead(2, false), 12)
	is.Equal(ahead(0, true), 12) // r2 is of a lower class
	is.Equal(ahead(1, true), 18)
	now = now.Add(backlogInterval)
	table.Commands().recordResult(batch.Piece{Identity: batch.Identity{RequestID: "r1"}}, "h1", info, now)
	is.Equal(ahead(1, false), 0) // its pieces are in the queue now
}

// Guards against a request that is refused because the times of stages that are computed
// at the same time were added up.
func TestExpectedTimeOfParallelStages(t *testing.T) {
	is := is.New(t)
	callTime := func(string, int) time.Duration { return 200 * time.Millisecond }
	expected := func(task Task, waits ...time.Duration) time.Duration {
		wait := func(stage int) time.Duration { return waits[stage] }
		return newJob(task, time.Unix(1000, 0)).expectedTime(wait, callTime)
	}
	const ms = time.Millisecond
	is.Equal(expected(chainTask("r"), 0, 0, 0), 600*ms)
	is.Equal(expected(chainTask("r"), 100*ms, 350*ms, 500*ms), 750*ms)
	parallel := withLargeResult(chainTask("r"))
	is.Equal(expected(parallel, 0, 0, 0, 0), 600*ms)
	is.Equal(expected(parallel, 0, 0, 0, 500*ms), 700*ms)
	is.Equal(expected(parallel, 0, 300*ms, 0, 0), 700*ms) // the large result is deferred
	parallel.Stages[1].Pieces = 0
	is.Equal(expected(parallel, 0, 0, 0, 0), 200*ms)
}

// Guards against a first try that is refused on arrival although its stages are computed
// at the same time and meet its objective.
func TestParallelStagesAreAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 3)
		task := chainTask("r")
		task.Try, task.Objective, task.Deadline = 1, time.Second, 1900*time.Millisecond
		task.Stages = nil
		for range 8 {
			task.Stages = append(task.Stages, Stage{Pool: pools[len(task.Stages)%len(pools)], Pieces: 1, Bytes: 8000})
		}
		_, err := r.Prepare(t.Context(), task)
		is.NoErr(err)
		is.True(time.Since(r.startedAt) < task.Objective)
	})
}

// Guards against requests of a short objective that are all refused although no other
// request waits and there is time until their deadline.
func TestShortObjectiveAtIdleServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		task := chainTask("r")
		task.Try, task.Objective, task.Deadline = 1, 50*time.Millisecond, 10*time.Second
		task.Stages = nil
		for n := range 9 {
			task.Stages = append(task.Stages, Stage{Pool: "encode", Pieces: 1, Bytes: 8000, After: []int{max(0, n-1)}[:min(1, n)]})
		}
		_, err := r.Prepare(t.Context(), task)
		is.NoErr(err)
	})
}
