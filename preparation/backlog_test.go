package preparation

import (
	"testing"
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
	is.Equal(ahead(0, true), 18)
	now = now.Add(backlogInterval)
	table.Commands().recordResult(batch.Piece{Identity: batch.Identity{RequestID: "r1"}}, "h1", info, now)
	is.Equal(ahead(1, false), 0) // its pieces are in the queue now
}
