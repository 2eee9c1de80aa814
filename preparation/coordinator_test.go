package preparation

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/batch"
	"lycheecrank.example/engine"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/request"
)

// Guards against stages that start without all of their inputs, large results that are
// computed while other stages are incomplete, pieces that are lost when a server fails,
// is full, is out of memory or has lost an input, results that are never released, and
// answers after the deadline.
func TestPrepare(t *testing.T) {
	rows := []struct {
		name    string
		servers int
		task    Task
		answer  func(call batch.Call, n int) ([]Result, error)
	}{
		{"three stages", 1, chainTask("r"), nil},
		{"a large result beside a chain", 1, withLargeResult(chainTask("r")), nil},
		{"a stage with no pieces", 1, Task{RequestID: "r", Pool: "models", Deadline: time.Second, Stages: []Stage{{Pool: "encode"}}}, nil},
		{"a server fails", 2, chainTask("r"), func(_ batch.Call, n int) ([]Result, error) {
			if n == 0 {
				return nil, errors.New("connection reset")
			}
			return nil, nil
		}},
		{"a server isn't reached", 2, chainTask("r"), func(_ batch.Call, n int) ([]Result, error) {
			if n == 0 {
				return nil, ErrNotReached
			}
			return nil, nil
		}},
		{"a server is full", 1, chainTask("r"), func(_ batch.Call, n int) ([]Result, error) {
			if n == 0 {
				return nil, ErrFull
			}
			return nil, nil
		}},
		{"the only server is full with the calls of an earlier coordinator", 1, withMoreTime(chainTask("r")), func(_ batch.Call, n int) ([]Result, error) {
			if n >= 1 && n <= maxRecomputes+1 {
				return nil, ErrFull
			}
			return nil, nil
		}},
		{"one piece of three fails", 2, chainTask("r"), func(_ batch.Call, n int) ([]Result, error) {
			if n == 1 {
				return []Result{{Status: Completed, Handle: "x1"}, {Status: Failed}, {Status: Completed, Handle: "x3"}}, nil
			}
			return nil, nil
		}},
		{"out of memory", 1, chainTask("r"), func(_ batch.Call, n int) ([]Result, error) {
			if n == 0 {
				return []Result{{Status: OutOfMemory}}, nil
			}
			return nil, nil
		}},
		{"an input is gone", 1, chainTask("r"), func(_ batch.Call, n int) ([]Result, error) {
			if n == 1 {
				return []Result{{Status: InputMissing}, {Status: InputMissing}, {Status: InputMissing}}, nil
			}
			return nil, nil
		}},
		{"a server always returns the wrong number of results", 1, chainTask("r"), func(batch.Call, int) ([]Result, error) {
			return []Result{{Status: Completed, Handle: "x"}, {Status: Completed, Handle: "y"}}, nil
		}},
		{"a late second copy of an answer", 1, Task{
			RequestID: "r", Pool: "models", Key: "k", Objective: 2 * time.Second, Deadline: 4 * time.Second,
			Stages: []Stage{{Pool: "encode", Pieces: 1}, {Pool: "encode", After: []int{0}, Pieces: 1}},
		}, func(_ batch.Call, n int) ([]Result, error) {
			if n < 2 {
				return []Result{{Status: Completed, Handle: "x1"}}, nil
			}
			return nil, nil
		}},
		{"no server", 0, chainTask("r"), nil},
	}
	var b strings.Builder
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			r := newFixture(t, row.servers)
			r.respond = row.answer
			p, err := r.Prepare(t.Context(), row.task)
			fmt.Fprintln(&b, row.name)
			lines := strings.Split(strings.TrimSpace(r.describe(p, err)), "\n")
			if len(lines) > 1 {
				firstCounter := slices.IndexFunc(lines, func(l string) bool { return strings.Contains(l, "counted") })
				if firstCounter >= 0 {
					slices.Sort(lines[firstCounter:])
				}
			}
			fmt.Fprintln(&b, "  "+strings.Join(lines, "\n"))
			r.RecordFirstEvent("models", p.Server, "r", 1, time.Millisecond)
			r.RecordEnd("models", p.Server, "r", RunEnded)
			time.Sleep(10 * time.Second)
			if r.heldCount() != 0 || r.Queries().JobCount() != 0 {
				t.Errorf("%s: %d results still held, %d jobs open", row.name, r.heldCount(), r.Queries().JobCount())
			}
		})
	}
	goldie.New(t).Assert(t, "prepare", []byte(b.String()))
}

// Guards against work for a disconnected client, and against results that stay at the
// stage servers.
func TestClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := r.Prepare(ctx, chainTask("r"))
		is.True(err != nil)
		time.Sleep(10 * time.Second)
		is.Equal(len(r.callLog()), 2) // the last stage was not started
		is.Equal(r.heldCount(), 0)
		is.Equal(r.Queries().JobCount(), 0)
	})
}

// Guards against recomputing results that still exist when an engine rejects the request,
// and against reusing results that an engine has reported missing.
func TestPrepareTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		r.Engines.Commands().SetPool(engine.Spec{Pool: "models", Slots: 8}, []engine.Endpoint{{ID: "e1"}, {ID: "e2"}})
		first, err := r.Prepare(t.Context(), chainTask("r"))
		is.NoErr(err)
		retried := chainTask("r")
		retried.AvoidEngines = []string{first.Server}
		second, err := r.Prepare(t.Context(), retried)
		is.NoErr(err)
		is.True(second.Server != first.Server)
		is.Equal(second.Inputs, first.Inputs)
		is.Equal(len(r.callLog()), 3)
		retried.IsRebuilt = true
		third, err := r.Prepare(t.Context(), retried)
		is.NoErr(err)
		is.Equal(len(r.callLog()), 6)
		for _, h := range third.Inputs {
			is.True(!slices.Contains(first.Inputs, h))
		}
	})
}

// Guards against a request that waits until its deadline although the work queued
// before it takes longer than its deadline allows.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		for n := range 40 {
			group.Go(func() error {
				task := chainTask(fmt.Sprint("r", n))
				task.Stages[0].Pieces = 8
				task.Deadline = time.Minute
				task.Try = 2 // only first tries are refused on arrival
				_, err := r.Prepare(ctx, task)
				return err
			})
		}
		synctest.Wait()
		startedAt := time.Now()
		_, err := r.Prepare(ctx, chainTask("late"))
		is.True(errors.Is(err, request.ReasonDeadlineUnattainable))
		is.Equal(time.Since(startedAt), time.Duration(0))
		is.True(request.AsFailure(err).RetryAfter > 0)
		is.True(!request.AsFailure(err).Sent)
		cancel()
		is.True(group.Wait() != nil)
	})
}

// Guards against results that are computed twice, lost or released while another
// coordinator takes over a request, and against new work for requests that are handed
// over.
func TestHandOver(t *testing.T) {
	for _, after := range []time.Duration{10 * time.Millisecond, 230 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			old, next := newFixture(t, 1), newFixture(t, 1)
			next.lastHandle = 100 // the handles of the two coordinators differ
			var group errgroup.Group
			group.Go(func() error {
				p, err := old.Prepare(t.Context(), chainTask("r"))
				is.NoErr(err)
				is.True(p.IsHandedOver)
				task := chainTask("r")
				task.Results = p.Results
				p, err = next.Prepare(t.Context(), task)
				is.NoErr(err)
				is.Equal(len(p.Inputs), 2)
				return nil
			})
			time.Sleep(after)
			old.HandOver()
			is.NoErr(group.Wait())
			is.Equal(len(old.callLog())+len(next.callLog()), 3) // each stage once
			is.Equal(old.Queries().JobCount(), 0)
			placement, err := old.Prepare(t.Context(), chainTask("r2"))
			is.NoErr(err)
			is.True(placement.IsHandedOver)
			forced := chainTask("r3")
			forced.IsForced = true
			p, err := old.Prepare(t.Context(), forced)
			is.NoErr(err)
			is.True(!p.IsHandedOver)
			old.Resume()
			p, err = old.Prepare(t.Context(), chainTask("r4"))
			is.NoErr(err)
			is.True(!p.IsHandedOver)
		})
	}
}

// Guards against a coordinator that uses lost results again after another instance passed
// the request on to it.
func TestRebuildAfterRedirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, other := newFixture(t, 1), newFixture(t, 1)
		other.HandOver()
		_, err := r.Prepare(t.Context(), chainTask("r"))
		is.NoErr(err)
		is.Equal(len(r.callLog()), 3)
		task := withMoreTime(chainTask("r"))
		task.Try, task.IsRebuilt = 2, true // the engine found results missing
		p, err := other.Prepare(t.Context(), task)
		is.NoErr(err)
		is.True(p.IsHandedOver)
		p, err = r.Prepare(t.Context(), task.WithHandOver(p.Results))
		is.NoErr(err)
		is.Equal(len(r.callLog()), 6)
		is.True(!task.WithHandOver([][]string{{"h"}}).IsRebuilt) // they are new ones
		is.Equal(len(p.Inputs), 2)
	})
}

// Guards against a request that an instance refuses by the queue that it has handed over,
// in place of naming the coordinator.
func TestNoRefusalAfterHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		var group errgroup.Group
		for n := range 40 {
			group.Go(func() error {
				task := withMoreTime(chainTask(fmt.Sprint("r", n)))
				task.Try = 2
				_, err := r.Prepare(t.Context(), task)
				return err
			})
		}
		synctest.Wait()
		_, err := r.Prepare(t.Context(), chainTask("before"))
		is.True(errors.Is(err, request.ReasonDeadlineUnattainable))
		r.HandOver()
		p, err := r.Prepare(t.Context(), chainTask("after"))
		is.NoErr(err)
		is.True(p.IsHandedOver)
		onTimeOnly := chainTask("other")
		onTimeOnly.OnTimeOnly = true
		p, err = r.Prepare(t.Context(), onTimeOnly)
		is.NoErr(err)
		is.True(p.IsHandedOver && !p.IsDeclined)
		is.NoErr(group.Wait())
	})
}

// Guards against queued requests that wait until their deadline although they can't meet
// it, and against a late notification of an earlier try that cancels a later try.
func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		r.extraCallTime = 900 * time.Millisecond
		var group errgroup.Group
		failed := make(chan time.Duration, 40)
		for n := range 30 {
			group.Go(func() error {
				task := chainTask(fmt.Sprint("r", n))
				task.Stages[0].Pieces = 4
				task.Objective = time.Second
				task.Deadline = 6 * time.Second
				startedAt := time.Now()
				if _, err := r.Prepare(t.Context(), task); err != nil {
					is.True(errors.Is(err, request.ReasonDeadlineUnattainable))
					failed <- time.Since(startedAt)
				}
				return nil
			})
		}
		is.NoErr(group.Wait())
		is.True(len(failed) > 10)
		early := 0
		for range len(failed) {
			if <-failed < 4*time.Second {
				early++
			}
		}
		is.True(early > 10) // most are refused well before their deadline
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		task := chainTask("r")
		task.Try = 2
		var group errgroup.Group
		group.Go(func() error {
			_, err := r.Prepare(t.Context(), task)
			return err
		})
		time.Sleep(300 * time.Millisecond)
		r.RecordFirstEvent("models", "e1", "r", 1, time.Millisecond)
		r.Abandon("r", 1)
		is.NoErr(group.Wait())
	})
}

// Guards against unlimited recomputing of pieces while their servers fail, and against
// requests that wait until their deadline after the limit is reached.
func TestRecomputeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 2)
		r.respond = func(call batch.Call, _ int) ([]Result, error) {
			return slices.Repeat([]Result{{Status: Failed}}, len(call.Pieces)), nil
		}
		task := chainTask("r")
		task.Deadline = time.Minute
		startedAt := time.Now()
		_, err := r.Prepare(t.Context(), task)
		is.True(errors.Is(err, request.ReasonNoServer))
		is.Equal(request.AsFailure(err).Outcome(), request.NotRun)
		is.True(time.Since(startedAt) < 10*time.Second) // not at the deadline
		is.Equal(r.Counters.Values()["triesSpent"], int64(1))
		is.Equal(len(r.callLog()), 1+maxRecomputes)
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 2)
		r.RecomputeBudget = pipeline.NewBudget(recomputeRatio, 10)
		r.respond = func(call batch.Call, _ int) ([]Result, error) {
			return slices.Repeat([]Result{{Status: Failed}}, len(call.Pieces)), nil
		}
		var group errgroup.Group
		for n := range 20 {
			group.Go(func() error {
				task := chainTask(fmt.Sprint("r", n))
				task.Deadline = time.Minute
				_, err := r.Prepare(t.Context(), task)
				is.True(errors.Is(err, request.ReasonNoServer))
				return nil
			})
		}
		is.NoErr(group.Wait())
		pieces := 0
		for _, c := range r.callLog() {
			pieces += strings.Count(c, ".0.0")
		}
		// Each of the 20 tasks sends its first piece once. The 6 pieces of each task
		// deposit 6 * 0.5 = 3 recomputes, 60 in total, and the budget starts with 10.
		is.True(pieces <= 20+60+10)
		is.True(r.Counters.Values()["remakeBudget"] > 0)
		is.Equal(r.Queries().JobCount(), 0)
	})
}

// Guards against rebuilding a request once for each piece that reports the same missing
// input: a call of ten pieces would cause ten times the work.
func TestOneRebuildPerLoss(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	c := table.Commands()
	info := poolInfo{callTime: func(string, int) time.Duration { return 0 }, dataCentre: func(string) string { return "" }}
	now := time.Now()
	_, s, ok := c.open(chainTask("r"), "", info, now)
	is.True(ok)
	s = c.recordResult(s.enqueue[0], "h1", info, now)
	is.Equal(len(s.enqueue), 3) // the second stage has three pieces
	rebuilt, isRebuilt := c.rebuild(s.enqueue[0], info, now)
	is.True(isRebuilt)
	is.Equal(len(rebuilt.enqueue), 1) // the first stage
	for _, p := range s.enqueue[1:] {
		repeated, isRebuilt := c.rebuild(p, info, now)
		is.True(!isRebuilt)
		is.Equal(len(repeated.enqueue), 0)
	}
	// The loss of the recomputed result causes another rebuild.
	s = c.recordResult(rebuilt.enqueue[0], "h2", info, now)
	_, isRebuilt = c.rebuild(s.enqueue[0], info, now)
	is.True(isRebuilt)
}

// Guards against retry delays that end before the queued work is done: during a burst,
// the retries of such clients join the same queue and delay earlier requests.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	task := Task{Deadline: 3 * time.Second, RetryWindow: 16 * time.Second}
	is.Equal(task.retryAfter(0), minRetryAfter)
	is.Equal(task.retryAfter(2*time.Second), 2*time.Second)
	is.Equal(task.retryAfter(time.Minute), 4*time.Second) // a fraction of RetryWindow, not of Deadline
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(t, 1)
		r.extraCallTime = 900 * time.Millisecond
		var group errgroup.Group
		waits := make(chan time.Duration, 40)
		for n := range 30 {
			group.Go(func() error {
				task := chainTask(fmt.Sprint("r", n))
				task.Stages[0].Pieces = 4
				task.Objective, task.Deadline, task.RetryWindow = time.Second, 6*time.Second, 20*time.Second
				if _, err := r.Prepare(t.Context(), task); err != nil {
					waits <- request.AsFailure(err).RetryAfter
				}
				return nil
			})
		}
		is.NoErr(group.Wait())
		longest := time.Duration(0)
		for range len(waits) {
			longest = max(longest, <-waits)
		}
		is.True(longest > time.Second)
		is.True(longest <= 5*time.Second)
	})
}
