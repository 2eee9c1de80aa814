package preparation

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/batch"
	"lycheecrank.example/request"
)

// Guards against the end of the process by the result of a piece that the job of its request
// doesn't have: the job was removed, and one with fewer pieces has the same ID.
func TestResultOfRemovedJob(t *testing.T) {
	for _, failure := range []error{nil, errors.New("connection reset"), ErrFull} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newFixture(t, 2)
			isFirst := true
			r.respond = func(batch.Call, int) ([]Result, error) {
				if isFirst {
					isFirst = false
					return nil, failure
				}
				return nil, nil
			}
			task := func(pieces int) Task {
				return Task{RequestID: "r", Pool: "models", Deadline: 2 * time.Second, Stages: []Stage{{Pool: "encode", Pieces: pieces, Bytes: 1000}}}
			}
			leaving, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := r.Prepare(leaving, task(3))
			is.True(errors.Is(err, request.ReasonCancelled) || errors.Is(err, request.ReasonDeadlineUnattainable))
			placement, err := r.Prepare(t.Context(), task(1))
			is.NoErr(err)
			is.Equal(len(placement.Inputs), 1)
		})
	}
}

// Guards against the end of the process by a panic in one call: the requests with pieces in
// the call are refused as not run, and the server gets the calls of others.
func TestPanicEndsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		r.respond = func(_ batch.Call, n int) ([]Result, error) {
			if n == 0 {
				panic("index out of range")
			}
			return nil, nil
		}
		task := func(id string) Task {
			return Task{RequestID: id, Pool: "models", Deadline: 4 * time.Second, Stages: []Stage{{Pool: "encode", Pieces: 2, Bytes: 1000}}}
		}
		_, err := r.Prepare(t.Context(), task("r1"))
		failure := request.AsFailure(err)
		is.Equal(failure.Reason, request.ReasonNoServer)
		is.True(!failure.Sent)
		for n := range 5 {
			_, err = r.Prepare(t.Context(), task(fmt.Sprint("later", n)))
			is.NoErr(err)
		}
		is.Equal(r.Counters.Values()["panics"], int64(1))
		is.Equal(r.Queries().JobCount(), 5) // those that are prepared
	})
}
