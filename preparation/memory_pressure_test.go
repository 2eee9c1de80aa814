package preparation

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/batch"
)

// limitRetrieveMemory leaves one server in the pool of the second stage and sets its
// result memory.
func (r *fixture) limitRetrieveMemory(memory int64) {
	r.Batches.Commands().SetPool(batch.Spec{
		Pool: "retrieve", Slots: 1, MaxPieces: 8, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
		ResultMemoryBytes: memory, ResultLifetime: resultLifetime,
	}, []batch.Endpoint{{ID: "retrieve1", Address: "retrieve1:1", DataCentre: "a"}})
}

// queueAtRetrieve queues pieces with results of the given size at the second stage.
func (r *fixture) queueAtRetrieve(bytes int64) {
	var waiting []batch.Piece
	for n := range 3 {
		waiting = append(waiting, batch.Piece{
			Identity: batch.Identity{RequestID: "other", Number: n}, Pool: "retrieve", ResultBytes: bytes, Class: batch.Class{Rank: 9},
			LatestStart: time.Now().Add(time.Second), Deadline: time.Now().Add(4 * time.Second),
		})
	}
	r.Batches.Commands().Enqueue(waiting)
}

// callCount returns the number of calls with pieces of a request.
func (r *fixture) callCount(request string) int {
	calls := 0
	for _, c := range r.callLog() {
		if strings.Contains(c, " "+request+".") {
			calls++
		}
	}
	return calls
}

// failOnce fails the first call of a pool.
func failOnce(pool string) func(call batch.Call, n int) ([]Result, error) {
	isDone := false
	return func(call batch.Call, _ int) ([]Result, error) {
		if call.Pool != pool || isDone {
			return nil, nil
		}
		isDone = true
		return nil, errors.New("connection reset")
	}
}

// Guards against stage servers that are idle because results that were already fetched
// fill their memory, against results that are released early although memory is free,
// and against requests that fail or leave results at the stage servers if a server fails
// after the inputs that it fetched were released.
func TestMemoryPressure(t *testing.T) {
	// The third call starts after a call of 210 ms with 1 piece and one of 230 ms with 3
	// pieces.
	const thirdCall = 440 * time.Millisecond
	for _, c := range []struct {
		name   string
		memory int64
		// queuedBytes is the size of the result of each queued piece of another request, 0
		// for no queued pieces.
		queuedBytes int64
		answer      func(call batch.Call, n int) ([]Result, error)
		// heldResults is the number of results at the stage servers during the last stage,
		// calls the number of calls of the whole request.
		heldResults, calls int
	}{
		{"memory is short", 200_000, 60_000, nil, 1, 3},
		{"no queued pieces", 200_000, 0, nil, 4, 3},
		{"memory is free", 2_000_000, 2_000_000, nil, 4, 3},
		{"memory is short and a server fails", 200_000, 60_000, failOnce("rerank"), 1, 6},
		{"memory is free and a server fails", 2_000_000, 2_000_000, failOnce("rerank"), 4, 5},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newFixture(t, 1)
			r.respond = c.answer
			r.limitRetrieveMemory(c.memory)
			var group errgroup.Group
			group.Go(func() error {
				p, err := r.Prepare(t.Context(), chainTask("r"))
				is.NoErr(err) // c.name
				is.Equal(len(p.Inputs), 2)
				r.RecordFirstEvent("models", p.Server, "r", 1, time.Millisecond)
				return nil
			})
			time.Sleep(thirdCall - 10*time.Millisecond)
			if c.queuedBytes > 0 {
				r.queueAtRetrieve(c.queuedBytes)
			}
			time.Sleep(inputFetchTime + releaseInterval + 15*time.Millisecond)
			is.Equal(r.heldCount(), c.heldResults) // the last stage is in a call
			is.NoErr(group.Wait())
			is.Equal(r.callCount("r"), c.calls)
			time.Sleep(10 * time.Second)
			is.Equal(r.heldCount(), 0)
			is.Equal(r.Queries().JobCount(), 0)
		})
	}
}

// Guards against a coordinator that continues with results that its predecessor
// released.
func TestHandOverAfterFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		old, next := newFixture(t, 1), newFixture(t, 1)
		next.lastHandle = 100 // the handles of the two coordinators differ
		old.respond = failOnce("rerank")
		old.limitRetrieveMemory(200_000)
		var group errgroup.Group
		group.Go(func() error {
			p, err := old.Prepare(t.Context(), chainTask("r"))
			is.NoErr(err)
			is.True(p.IsHandedOver)
			is.Equal(len(p.Results), 0) // no results to continue with
			task := chainTask("r")
			task.Results = p.Results
			p, err = next.Prepare(t.Context(), task)
			is.NoErr(err)
			is.Equal(len(p.Inputs), 2)
			return nil
		})
		time.Sleep(430 * time.Millisecond) // 10 ms before the third call
		old.queueAtRetrieve(60_000)
		time.Sleep(170 * time.Millisecond) // the last stage is in a call
		old.HandOver()
		is.NoErr(group.Wait())
		is.Equal(next.callCount("r"), 3)
	})
}
