package intake_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/event"
	"lycheecrank.example/intake"
)

// machine is an account of a small machine whose interrupts are recorded.
type machine struct {
	table *intake.Table
	mu    sync.Mutex
	shed  []string
}

func newMachine() *machine {
	return &machine{table: intake.NewTable(intake.Bounds{Memory: 8 << 20, Reserve: 2 << 20, Connections: [3]int{4, 2, 1}})}
}

func (m *machine) connect(t *testing.T, name string) *intake.Connection {
	t.Helper()
	interrupt := func(phase intake.Phase) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.shed = append(m.shed, name+" "+phase.String())
	}
	c, ok := m.table.Commands().Connect(intake.Clients, name, intake.Control{Interrupt: interrupt, ClaimIdle: func() bool { return true }, ClaimStalled: func() bool { return false }}, time.Now())
	if !ok {
		t.Fatal("no place for a connection")
	}
	return c
}

func begin(t *testing.T, c *intake.Connection) *intake.Request {
	t.Helper()
	r, err := c.Begin(t.Context(), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// run runs the account until the test ends.
func (m *machine) run(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = m.table.Run(ctx) })
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
}

// Guards against clients that stop in the middle of a body and keep their memory while
// others wait for it, and against one that makes progress and is shed for another.
func TestStalledBodyIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		m.run(t)
		stalled, busyConnection := begin(t, m.connect(t, "stalled")), m.connect(t, "busy")
		busy := begin(t, busyConnection)
		is.NoErr(stalled.Grow(t.Context(), 3<<20, intake.Patience))
		is.NoErr(busy.Grow(t.Context(), 2<<20, intake.Patience))
		var moving sync.WaitGroup
		moving.Go(func() {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				busyConnection.AddMoved(64 << 10)
			}
		})
		next := begin(t, m.connect(t, "next"))
		var waiting sync.WaitGroup
		var err error
		waiting.Go(func() { err = next.Grow(t.Context(), 2<<20, intake.Patience) })
		time.Sleep(700 * time.Millisecond)
		is.True(stalled.IsShed())
		is.Equal(m.shed, []string{"stalled receiving"})
		is.True(errors.Is(stalled.Advance(intake.Serving, time.Now()), intake.ErrShed)) // it must not run
		stalled.End(time.Now())
		waiting.Wait()
		moving.Wait()
		is.NoErr(err)
		is.NoErr(busy.Advance(intake.Serving, time.Now()))
		busy.End(time.Now())
		next.End(time.Now())
		is.Equal(m.table.Queries().Status().UsedBytes, int64(0))
	})
}

// Guards against requests that wait for ever for memory which served requests hold, and
// against ordinary requests that find no place beside large ones.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		m.run(t)
		served := begin(t, m.connect(t, "served"))
		is.NoErr(served.Grow(t.Context(), 5<<20, intake.Patience))
		is.NoErr(served.Advance(intake.Serving, time.Now()))
		large := begin(t, m.connect(t, "large"))
		began := time.Now()
		is.True(errors.Is(large.Grow(t.Context(), 2<<20, intake.Patience), intake.ErrShort))
		is.True(time.Since(began) < 2*intake.Patience)
		small := begin(t, m.connect(t, "small"))
		is.NoErr(small.Grow(t.Context(), 32<<10, intake.Patience))
		is.Equal(len(m.shed), 0)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		is.True(errors.Is(large.Grow(ctx, 2<<20, intake.Patience), context.DeadlineExceeded))
		is.Equal(m.table.Queries().Status().Waiting, 0)
	})
}

// Guards against requests that fit, but wait until they are refused because nothing else
// was released after the one before them had given up or was refused.
func TestNextFitsAfterRefusal(t *testing.T) {
	for _, patience := range []time.Duration{200 * time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := newMachine()
			m.run(t)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			var served, waiting []*intake.Request
			for _, name := range []string{"a", "b"} {
				r := begin(t, m.connect(t, name))
				is.NoErr(r.Grow(ctx, 5<<19, intake.Patience))
				is.NoErr(r.Advance(intake.Serving, time.Now()))
				served = append(served, r)
				waiting = append(waiting, begin(t, m.connect(t, name)))
			}
			var group sync.WaitGroup
			group.Go(func() { is.True(waiting[0].Grow(ctx, 5<<20, patience) != nil) })
			synctest.Wait()
			var err error
			group.Go(func() { err = waiting[1].Grow(t.Context(), 2<<20, intake.Patience) })
			synctest.Wait()
			served[0].End(time.Now())
			group.Wait()
			is.NoErr(err)
		})
	}
}

// Guards against a shortage that is logged again although no request has waited since.
func TestOneShortageIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		var out strings.Builder
		m.table.Logger = event.NewLogger(&out, "info", "")
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = m.table.Run(ctx) })
		served, waiting := begin(t, m.connect(t, "served")), begin(t, m.connect(t, "waiting"))
		is.NoErr(served.Grow(t.Context(), 5<<20, intake.Patience))
		is.NoErr(served.Advance(intake.Serving, time.Now()))
		for range 2 {
			is.True(errors.Is(waiting.Grow(t.Context(), 2<<20, 100*time.Millisecond), intake.ErrShort))
		}
		time.Sleep(10 * time.Second)
		stop()
		running.Wait()
		is.Equal(strings.Count(out.String(), event.IntakeShort.Name), 1)
	})
}

// Guards against a request that is shed right after its wait, because its client could send
// nothing while it waited.
func TestWaitIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		served, waiting := begin(t, m.connect(t, "served")), begin(t, m.connect(t, "waiting"))
		is.NoErr(served.Grow(t.Context(), 5<<20, intake.Patience))
		is.NoErr(served.Advance(intake.Serving, time.Now()))
		var group sync.WaitGroup
		group.Go(func() { is.NoErr(waiting.Grow(t.Context(), 2<<20, intake.Patience)) })
		time.Sleep(time.Second)
		is.True(!m.table.Review(time.Now()))
		served.End(time.Now())
		group.Wait()
		next := begin(t, m.connect(t, "next"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		group.Go(func() { _ = next.Grow(ctx, 5<<20, intake.Patience) })
		synctest.Wait()
		is.True(!m.table.Review(time.Now()))
		is.Equal(len(m.shed), 0)
		cancel()
		group.Wait()
	})
}

// Guards against bodies that wait for each other, so that all are refused in the end.
func TestOneOfWaitingBodiesGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		m.run(t)
		var waiting sync.WaitGroup
		var served atomic.Int64
		var requests []*intake.Request
		for _, name := range []string{"a", "b", "c"} {
			r := begin(t, m.connect(t, name))
			is.NoErr(r.Grow(t.Context(), 1900<<10, intake.Patience))
			requests = append(requests, r)
		}
		for _, r := range requests {
			waiting.Go(func() {
				if r.Grow(t.Context(), 3<<20, intake.Patience) == nil {
					served.Add(1)
				}
				r.End(time.Now())
			})
		}
		waiting.Wait()
		is.True(served.Load() > 0) // the last ones give way until the first finds memory
	})
}

// Guards against a body larger than the account that is refused on an idle machine.
func TestLargestBodyAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		m.run(t)
		r := begin(t, m.connect(t, "alone"))
		is.NoErr(r.Grow(t.Context(), 12<<20, intake.Patience))
		is.True(errors.Is(r.Grow(t.Context(), 12<<20, intake.Patience), intake.ErrShort))
	})
}

// Guards against a stream with rare events that counts as a slow reader, and against a
// reader that blocks its answer and keeps its memory.
func TestSlowReaderIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		m.run(t)
		stream, blockedConnection := begin(t, m.connect(t, "stream")), m.connect(t, "blocked")
		blocked := begin(t, blockedConnection)
		for _, r := range []*intake.Request{stream, blocked} {
			is.True(r.TryGrow(2 << 20))
			is.NoErr(r.Advance(intake.Sending, time.Now()))
		}
		blockedConnection.SetWriting(true)
		next := begin(t, m.connect(t, "next"))
		is.True(!next.TryGrow(3 << 20))
		_ = next.Grow(t.Context(), 3<<20, intake.Patience)
		is.Equal(m.shed, []string{"blocked sending"})
	})
}

// Guards against a connection limit that keeps new clients out while others are idle or
// stalled, and against one that closes connections of clients that make progress.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		var connections []*intake.Connection
		for _, name := range []string{"a", "b", "c", "d"} {
			connections = append(connections, m.connect(t, name))
			time.Sleep(time.Millisecond)
		}
		begin(t, connections[0])
		m.connect(t, "e")
		time.Sleep(time.Millisecond)
		is.Equal(m.shed, []string{"b idle"})
		served := begin(t, connections[2])
		is.NoErr(served.Advance(intake.Serving, time.Now()))
		m.connect(t, "f")
		time.Sleep(time.Millisecond)
		m.connect(t, "g")
		is.Equal(m.shed, []string{"b idle", "d idle", "e idle"})
		is.Equal(m.table.Queries().Status().Connections["client"], 4)
		for _, r := range []*intake.Connection{connections[0], connections[2]} {
			m.table.Commands().Disconnect(r)
		}
		is.Equal(m.table.Queries().Status().Connections["client"], 2)
		is.Equal(m.table.Queries().Status().Connections["peer"], 0)
	})
}

// BenchmarkRequest measures the account of an ordinary request.
func BenchmarkRequest(b *testing.B) {
	t := intake.NewTable(intake.BoundsFor(144e6, 20000))
	c, _ := t.Commands().Connect(intake.Clients, "", intake.Control{}, time.Now())
	for b.Loop() {
		now := time.Now()
		r, err := c.Begin(b.Context(), now)
		if err != nil {
			b.Fatal(err)
		}
		_ = r.Advance(intake.Serving, now)
		_ = r.Advance(intake.Sending, now)
		r.End(now)
	}
}
