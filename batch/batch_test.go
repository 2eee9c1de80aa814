package batch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

func spec() Spec {
	return Spec{
		Pool: "encoders", Slots: 1, MaxPieces: 6, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
		ResultMemoryBytes: 10 << 20, ResultLifetime: 4 * time.Second,
	}
}

func pieces(request string, count, rank int, start time.Time) []Piece {
	var ps []Piece
	for n := range count {
		ps = append(ps, Piece{
			Identity: Identity{RequestID: request, Number: n}, Pool: "encoders", ResultBytes: 1 << 20, Class: Class{Rank: rank},
			LatestStart: start, Deadline: start.Add(5 * time.Second), QueuedAt: start,
		})
	}
	return ps
}

func describe(c Call) string {
	var names []string
	for _, p := range c.Pieces {
		names = append(names, fmt.Sprintf("%s/%d", p.RequestID, p.Number))
	}
	return c.Server.ID + " gets " + strings.Join(names, " ")
}

// finish ends a call with all of its results and releases them at once.
func finish(c Commands, call Call) {
	var completed []CompletedPiece
	for _, p := range call.Pieces {
		completed = append(completed, CompletedPiece{p, fmt.Sprint(call.Number, p.Identity)})
	}
	c.CompleteCall(call, completed, time.Now())
	for _, m := range completed {
		c.ReleaseResults([]string{m.Handle})
	}
}

// Guards against calls with few pieces while many wait, calls in the wrong order
// of classes, stages that are split over calls, and large results computed outside
// of their preferred data centre.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b strings.Builder
		table := NewTable()
		c, q := table.Commands(), table.Queries()
		nextCalls := func(title string) []Call {
			fmt.Fprintln(&b, title)
			var calls []Call
			for {
				call, ok := table.nextCall(time.Now())
				if !ok {
					d := q.PoolStatus("encoders", time.Now())
					fmt.Fprintf(&b, "  waiting %d, busy %d of %d, delay %v\n", d.WaitingPieces, d.BusyServers, d.Servers, d.ExpectedWait.Round(time.Millisecond))
					return calls
				}
				fmt.Fprintln(&b, " ", describe(call))
				calls = append(calls, call)
			}
		}
		end := func(calls []Call) {
			time.Sleep(250 * time.Millisecond)
			for _, call := range calls {
				finish(c, call)
			}
		}
		c.SetPool(spec(), []Endpoint{{ID: "s1", Address: "10.0.0.1:1", DataCentre: "a"}, {ID: "s2", Address: "10.0.0.2:1", DataCentre: "b"}})
		soon := time.Now().Add(500 * time.Millisecond)
		c.Enqueue(pieces("r1", 3, 1, soon))
		first := nextCalls("three pieces of one request go to one server")
		c.Enqueue(pieces("r2", 4, 1, soon.Add(time.Millisecond)))
		c.Enqueue(pieces("r3", 4, 1, soon))
		second := nextCalls("the more urgent request, filled up with the other one")
		end(append(first, second...))
		end(nextCalls("the remaining pieces"))

		c.Enqueue(pieces("low", 2, 2, time.Now().Add(50*time.Millisecond)))
		c.Enqueue(pieces("high", 2, 0, time.Now().Add(100*time.Millisecond)))
		c.Enqueue(pieces("late", 2, 0, time.Now().Add(-time.Second)))
		end(nextCalls("higher classes first, then late pieces"))

		preferred := pieces("preferred", 2, 1, time.Now().Add(time.Second))
		for i := range preferred {
			preferred[i].PreferredDataCentre = "b"
		}
		c.Enqueue(preferred)
		busy := nextCalls("a large result is computed in its preferred data centre")
		c.Enqueue(pieces("r4", 1, 1, time.Now().Add(time.Second)))
		busy = append(busy, nextCalls("another request gets the other server")...)
		preferred2 := pieces("preferred2", 1, 1, time.Now().Add(time.Second))
		preferred2[0].PreferredDataCentre = "b"
		c.Enqueue(preferred2)
		nextCalls("both servers are busy")
		end(busy)
		end(nextCalls("both servers are idle"))

		c.Enqueue(pieces("removed", 3, 1, time.Now().Add(time.Second)))
		c.RemoveRequest("removed")
		nextCalls("the request was removed")
		goldie.New(t).Assert(t, "calls", []byte(b.String()))
	})
}

// Guards against pieces that wait for a busy server because it is slightly faster than
// idle ones, or because its call is expected to end soon: an overdue call may never end.
func TestIdleServerIsUsedWhileOthersAreBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c := table.Commands()
		endpoints := []Endpoint{{ID: "s1", Address: "10.0.0.1:1", DataCentre: "a"}, {ID: "s2", Address: "10.0.0.2:1", DataCentre: "a"}}
		c.SetPool(spec(), endpoints)
		end := func(call Call, took time.Duration) {
			time.Sleep(took)
			finish(c, call)
		}
		nextCall := func(request string) Call {
			c.Enqueue(pieces(request, 1, 1, time.Now().Add(time.Second)))
			call, ok := table.nextCall(time.Now())
			is.True(ok) // a server is idle
			return call
		}
		// The second server is a few milliseconds slower.
		for n := range 6 {
			a, b := nextCall(fmt.Sprint("a", n)), nextCall(fmt.Sprint("b", n))
			end(a, a.TypicalTime)
			end(b, 15*time.Millisecond)
		}
		stuck := nextCall("stuck")
		is.Equal(stuck.Server.ID, "s1")
		for _, passed := range []time.Duration{stuck.TypicalTime - 3*time.Millisecond, 3 * time.Millisecond, 200 * time.Millisecond} {
			time.Sleep(passed)
			call := nextCall(fmt.Sprint("after ", passed))
			is.Equal(call.Server.ID, "s2")
			end(call, 0)
		}
	})
}

// Guards against a server that is never used again because it was slow once, against a
// slow server that gets call after call because none of them ends in time, and against
// slow servers that are treated as fast again at once.
func TestSpeedOfServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c := table.Commands()
		c.SetPool(spec(), []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}, {ID: "s2", Address: "10.0.0.2:1"}})
		nextCall := func(request string) Call {
			c.Enqueue(pieces(request, 6, 1, time.Now().Add(time.Second)))
			call, ok := table.nextCall(time.Now())
			is.True(ok)
			return call
		}
		first := nextCall("first")
		is.Equal(first.Server.ID, "s1")
		time.Sleep(first.Timeout())
		c.FailCall(first, false, time.Now())
		time.Sleep(minBlock)
		is.Equal(nextCall("to the fast one").Server.ID, "s2")
		c.Enqueue(pieces("for the fast one", 6, 1, time.Now().Add(time.Second)))
		_, ok := table.nextCall(time.Now())
		is.True(!ok) // the busy fast server would finish sooner than the idle slow one
		time.Sleep(2 * slownessHalfLife)
		call, ok := table.nextCall(time.Now())
		is.True(ok)
		is.Equal(call.Server.ID, "s1") // the fast server is overdue, the slow one may be fast again
		is.True(call.ExpectedTime > call.TypicalTime)
		is.True(call.ExpectedTime < 2*call.TypicalTime)
	})
}

// Guards against requests that wait until their inputs have expired, after which all of
// their stages are recomputed for the same queue.
func TestInputsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c, q := table.Commands(), table.Queries()
		s := spec() // 6 pieces in 260 ms
		s.ResultLifetime = 2 * time.Second
		c.SetPool(s, []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}})
		overdue := func() []string {
			var requests []string
			for _, o := range q.UnattainableRequests(0, time.Now()) {
				requests = append(requests, o.RequestID)
			}
			return requests
		}
		late := time.Now().Add(-time.Second)
		add := func(request string, count int, hasInputs bool) {
			ps := pieces(request, count, 1, late)
			for i := range ps {
				ps[i].Deadline = time.Now().Add(20 * time.Second)
				ps[i].QueuedAt = time.Now()
				if hasInputs {
					ps[i].Inputs = []string{"h"}
				}
			}
			c.Enqueue(ps)
			late = late.Add(time.Millisecond)
		}
		add("a", 24, true)
		add("b", 6, true)
		add("c", 1, false)
		is.Equal(len(overdue()), 0) // the last piece of b waits 1.9 s at most
		time.Sleep(200 * time.Millisecond)
		is.Equal(overdue(), []string{"b"})
		c.RemoveRequest("b")
		time.Sleep(600 * time.Millisecond)
		is.Equal(overdue(), []string{"a"}) // the inputs of its last pieces will expire; c has no inputs
	})
}

// Guards against an overload that delays all classes alike, against lower classes that
// are displaced although there is time for all, and against requests of which only some
// pieces are displaced.
func TestDisplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c := table.Commands()
		c.SetPool(spec(), []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}}) // 6 pieces in 260 ms
		order := func() string {
			var names []string
			for {
				call, ok := table.nextCall(time.Now())
				if !ok {
					return strings.Join(names, ", ")
				}
				names = append(names, strings.TrimPrefix(describe(call), "s1 gets "))
				time.Sleep(call.TypicalTime)
				finish(c, call)
			}
		}
		in := func(d time.Duration) time.Time { return time.Now().Add(d) }
		c.Enqueue(pieces("low", 6, 2, in(100*time.Millisecond)))
		c.Enqueue(pieces("high", 6, 0, in(500*time.Millisecond)))
		is.Equal(order(), "low/0 low/1 low/2 low/3 low/4 low/5, high/0 high/1 high/2 high/3 high/4 high/5") // time for both
		c.Enqueue(pieces("low", 6, 2, in(100*time.Millisecond)))
		c.Enqueue(pieces("low2", 6, 2, in(101*time.Millisecond)))
		c.Enqueue(pieces("high", 6, 0, in(450*time.Millisecond)))
		is.Equal(order(), "low/0 low/1 low/2 low/3 low/4 low/5, high/0 high/1 high/2 high/3 high/4 high/5, low2/0 low2/1 low2/2 low2/3 low2/4 low2/5")
		drafts, chats := pieces("draft", 6, 1, in(450*time.Millisecond)), pieces("chat", 6, 1, in(101*time.Millisecond))
		for i := range chats {
			chats[i].RouteRank = 2
		}
		c.Enqueue(pieces("first", 6, 1, in(100*time.Millisecond)))
		c.Enqueue(chats)
		c.Enqueue(drafts)
		is.Equal(order(), "first/0 first/1 first/2 first/3 first/4 first/5, draft/0 draft/1 draft/2 draft/3 draft/4 draft/5, "+
			"chat/0 chat/1 chat/2 chat/3 chat/4 chat/5") // routes of one class
		c.Enqueue(pieces("low", 6, 0, in(100*time.Millisecond)))
		c.Enqueue(pieces("low2", 3, 0, in(300*time.Millisecond)))
		c.Enqueue(pieces("high", 6, 0, in(350*time.Millisecond)))
		is.Equal(order(), "low/0 low/1 low/2 low/3 low/4 low/5, low2/0 low2/1 low2/2 high/0 high/1 high/2, high/3 high/4 high/5") // one class
	})
}

// Guards against a request that is refused for the wait behind late pieces of lower
// classes, which are served after its own.
func TestEstimatedWaitByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c, now := table.Commands(), time.Now()
		c.SetPool(spec(), []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}})
		c.Enqueue(pieces("onTime", 3, 2, now.Add(time.Minute)))
		c.Enqueue(pieces("late", 12, 1, time.Time{}))
		c.Enqueue(pieces("flood", 60, 2, time.Time{}))
		each := table.Queries().PoolStatus(spec().Pool, now).ExpectedWait / 75
		piecesAhead := func(start time.Time, rank int) int {
			wait := table.Queries().EstimateWait(spec().Pool, 0, start, Class{Rank: rank}, now)
			return int((wait + each/2) / each)
		}
		is.Equal(piecesAhead(time.Time{}, 0), 3)
		is.Equal(piecesAhead(time.Time{}, 1), 15)
		is.Equal(piecesAhead(time.Time{}, 2), 75)
		is.Equal(piecesAhead(now.Add(time.Second), 2), 0)
	})
}

// Guards against results for which a server has no memory, and memory that is never
// freed.
func TestRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c := table.Commands()
		s := spec()
		s.ResultMemoryBytes = 4400 << 10 // a share of it is kept for results that are larger than declared
		c.SetPool(s, []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}})
		c.Enqueue(pieces("r1", 6, 1, time.Now()))
		call, ok := table.nextCall(time.Now())
		is.True(ok)
		is.Equal(len(call.Pieces), 4) // as many as the server has memory for
		c.CompleteCall(call, []CompletedPiece{{call.Pieces[0], "h0"}, {call.Pieces[1], "h1"}, {call.Pieces[2], "h2"}}, time.Now())
		call, ok = table.nextCall(time.Now()) // the fourth piece used no memory
		is.True(ok)
		is.Equal(len(call.Pieces), 1)
		c.CompleteCall(call, []CompletedPiece{{call.Pieces[0], "h3"}}, time.Now())
		_, ok = table.nextCall(time.Now())
		is.True(!ok) // full
		due, rest := table.Queries().SelectForRelease([]string{"h1", "unknown"}, 0.5, time.Now())
		is.Equal(due, map[string][]string{"10.0.0.1:1": {"h1"}})
		is.Equal(len(rest), 0)
		due, rest = table.Queries().SelectForRelease([]string{"h1", "unknown"}, 2, time.Now())
		is.Equal(len(due), 0)
		is.Equal(rest, []string{"h1"}) // less than this share is in use
		c.ReleaseResults([]string{"h1", "unknown"})
		c.ReleaseResults([]string{"h1"}) // has no effect the second time
		due, rest = table.Queries().SelectForRelease([]string{"h1"}, 0, time.Now())
		is.Equal(len(due)+len(rest), 0)
		call, ok = table.nextCall(time.Now())
		is.True(ok)
		c.FailCall(call, false, time.Now())
		c.Enqueue(call.Pieces)
		time.Sleep(s.ResultLifetime) // results that are never released
		table.expireResults(time.Now())
		_, ok = table.nextCall(time.Now())
		is.True(ok)
	})
}

// Guards against a result that is never computed because it needs all of a server's
// memory.
func TestLargeResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c := table.Commands()
		s := spec()
		s.ResultMemoryBytes = 1 << 20
		c.SetPool(s, []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}})
		c.Enqueue(pieces("r1", 2, 1, time.Now()))
		call, ok := table.nextCall(time.Now())
		is.True(ok)
		is.Equal(len(call.Pieces), 1)
		c.CompleteCall(call, []CompletedPiece{{call.Pieces[0], "h0"}}, time.Now())
		_, ok = table.nextCall(time.Now())
		is.True(!ok) // full
		c.ReleaseResults([]string{"h0"})
		_, ok = table.nextCall(time.Now())
		is.True(ok)
	})
}

// Guards against calls to a server whose memory is used by results of an earlier
// coordinator, and against a server that is treated as full forever.
func TestUnknownResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c := table.Commands()
		c.SetPool(spec(), []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}})
		c.SetFreeMemory("encoders", "s1", 3<<20, time.Now())
		c.Enqueue(pieces("r1", 5, 1, time.Now()))
		call, ok := table.nextCall(time.Now())
		is.True(ok)
		is.Equal(len(call.Pieces), 2)
		c.CompleteCall(call, nil, time.Now())
		time.Sleep(unaccountedLifetime)
		call, ok = table.nextCall(time.Now())
		is.True(ok)
		is.Equal(len(call.Pieces), 3)
	})
}

// Guards against a waiting worker that misses a new piece, a server that becomes
// usable, or the end of its context.
func TestNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		c := table.Commands()
		ctx, cancel := context.WithCancel(t.Context())
		calls := make(chan Call, 8)
		var group errgroup.Group
		group.Go(func() error {
			for {
				call, ok := c.Next(ctx)
				if !ok {
					return nil
				}
				calls <- call
			}
		})
		c.Enqueue(pieces("r1", 1, 0, time.Now()))
		synctest.Wait()
		is.Equal(len(calls), 0) // no server
		c.SetPool(spec(), []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}})
		synctest.Wait()
		is.Equal(len(calls), 1)
		call := <-calls
		c.FailCall(call, false, time.Now())
		c.Enqueue(call.Pieces)
		synctest.Wait()
		is.Equal(len(calls), 0) // the server is blocked
		time.Sleep(minBlock)
		synctest.Wait()
		is.Equal(len(calls), 1) // usable again without any other change
		c.SetPool(spec(), nil)
		cancel()
		is.NoErr(group.Wait())
	})
}

// Guards against pieces that are lost or sent in two calls, and against calls that stay
// counted, in any order of calls, failures, releases and changes of servers.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := NewTable()
		c := table.Commands()
		all := []Endpoint{{ID: "s1", Address: "10.0.0.1:1"}, {ID: "s2", Address: "10.0.0.2:1"}, {ID: "s3", Address: "10.0.0.3:1"}}
		c.SetPool(spec(), all)
		open := map[Identity]bool{}
		var calls []Call
		var handles []string
		next := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				next++
				ps := pieces(fmt.Sprint(next), rapid.IntRange(1, 8).Draw(t, "pieces"), 0, now)
				for _, p := range ps {
					open[p.Identity] = true
				}
				c.Enqueue(ps)
			case 1:
				if call, ok := table.nextCall(now); ok {
					calls = append(calls, call)
				}
			case 2, 3:
				if len(calls) == 0 {
					continue
				}
				call := calls[0]
				calls = calls[1:]
				if rapid.Bool().Draw(t, "fails") {
					c.FailCall(call, rapid.Bool().Draw(t, "full"), now)
					c.Enqueue(call.Pieces)
					continue
				}
				var completed []CompletedPiece
				for _, p := range call.Pieces {
					if !open[p.Identity] {
						t.Fatalf("%v computed twice", p.Identity)
					}
					delete(open, p.Identity)
					h := fmt.Sprintf("%d/%v", call.Number, p.Identity)
					completed = append(completed, CompletedPiece{p, h})
					handles = append(handles, h)
				}
				c.CompleteCall(call, completed, now)
			case 4:
				c.SetPool(spec(), rapid.Permutation(all).Draw(t, "order")[:rapid.IntRange(0, 3).Draw(t, "servers")])
			case 5:
				c.ReleaseResults(handles)
				handles = nil
			}
		}
		c.SetPool(spec(), all)
		for len(calls) > 0 || len(open) > 0 {
			now = now.Add(maxBlock)
			table.expireResults(now.Add(spec().ResultLifetime))
			for _, call := range calls {
				var completed []CompletedPiece
				for _, p := range call.Pieces {
					delete(open, p.Identity)
					completed = append(completed, CompletedPiece{p, fmt.Sprintf("%d/%v", call.Number, p.Identity)})
				}
				c.CompleteCall(call, completed, now)
				for _, m := range completed {
					c.ReleaseResults([]string{m.Handle})
				}
			}
			calls = nil
			if call, ok := table.nextCall(now); ok {
				calls = append(calls, call)
			} else if len(open) > 0 {
				t.Fatalf("%d pieces are lost", len(open))
			}
		}
		for _, s := range table.pools["encoders"].servers {
			if s.Calls != 0 {
				t.Fatalf("%s still counts %d calls in progress", s.ID, s.Calls)
			}
		}
	})
}
