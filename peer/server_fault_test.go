package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/peer"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

// serverFaults are faults of a peer towards a server.
var serverFaults = []struct {
	name   string
	script func(r *rawPeer)
}{
	{"closed before hello", func(*rawPeer) {}},
	{"frozen before hello", func(r *rawPeer) { r.drain() }},
	{"no hello as the first message", func(r *rawPeer) {
		r.send(execute(1, false))
		r.drain()
	}},
	{"closed after hello", func(r *rawPeer) {
		r.handshake()
		synctest.Wait()
	}},
	{"connection closed inside a frame", func(r *rawPeer) {
		r.handshake()
		r.writeBytes(framed(encoded(r, execute(1, false)))[:50])
	}},
	{"empty frame", func(r *rawPeer) {
		r.handshake()
		r.writeBytes(framed(nil))
		r.drain()
	}},
	{"oversized frame", func(r *rawPeer) {
		r.handshake()
		r.writeBytes([]byte{0xff, 0xff, 0xff, 0xff})
		r.drain()
	}},
	{"frame that is not msgpack", func(r *rawPeer) {
		r.handshake()
		r.writeBytes(framed([]byte{0xc1, 0x00}))
		r.drain()
	}},
	{"array longer than the frame", func(r *rawPeer) {
		r.handshake()
		r.writeBytes(framed([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}))
		r.drain()
	}},
	{"more records than a message may hold", func(r *rawPeer) {
		r.handshake()
		r.send(fields{"type": "records", "exchange": 1, "records": fields{"stream": "catalogue", "records": make([]any, 4097)}})
		r.drain()
	}},
	{"nested too deep", func(r *rawPeer) {
		r.handshake()
		r.writeBytes(framed(bytes.Repeat([]byte{0x91}, 1000)))
		r.drain()
	}},
	{"unknown type", func(r *rawPeer) {
		r.handshake()
		r.send(fields{"type": "elect", "exchange": 1})
		r.drain()
	}},
	{"execute without exchange", func(r *rawPeer) {
		r.handshake()
		m := execute(1, false)
		delete(m, "exchange")
		r.send(m)
		r.drain()
	}},
	{"execute without step", func(r *rawPeer) {
		r.handshake()
		r.send(fields{"type": "execute", "exchange": 1})
		r.drain()
	}},
	{"duplicate exchange number", func(r *rawPeer) {
		r.handshake()
		r.send(execute(4, false))
		r.next()
		r.send(execute(4, false))
		r.drain()
	}},
	{"message of the other side", func(r *rawPeer) {
		r.handshake()
		r.send(end(1, "r-1", 0))
		r.drain()
	}},
	{"cancel and credit for an unknown exchange", func(r *rawPeer) {
		r.handshake()
		r.send(fields{"type": "cancel", "exchange": 3})
		r.send(fields{"type": "credit", "exchange": 3, "credit": fields{"bytes": 10}})
		r.send(execute(4, false))
		r.next()
	}},
	{"records with a gap", func(r *rawPeer) {
		r.handshake()
		at := time.UnixMilli(1)
		r.send(fields{"type": "records", "exchange": 1, "records": fields{"stream": "catalogue", "records": []any{
			fields{"offset": 3, "data": []byte("c"), "appendedAt": at},
			fields{"offset": 5, "data": []byte("e"), "appendedAt": at},
		}}})
		r.next()
	}},
	{"frozen while it waits for an answer", func(r *rawPeer) {
		r.handshake()
		m := execute(1, false)
		m["execute"].(fields)["pool"] = "slow"
		r.send(m)
		r.drain()
	}},
	{"no message after hello", func(r *rawPeer) {
		r.handshake()
		r.drain()
	}},
}

// Guards against a faulty peer that makes a server run something that was not
// requested, keep a dead connection, or disturb the connections of other peers.
func TestServerFaults(t *testing.T) {
	var b strings.Builder
	for _, f := range serverFaults {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			o := newObserver()
			executed, ended, applied := 0, time.Duration(0), 0
			begin := time.Now()
			s := newServer()
			s.Counters, s.Logger = o.counters, o.logger()
			s.ApplyRecords = func(string, []provider.Record) { applied++ }
			s.Execute = func(ctx context.Context, st request.Step, sink request.Sink) (request.Result, error) {
				executed++
				if st.Pool == "slow" {
					<-ctx.Done()
					ended = time.Since(begin)
				}
				return echo(ctx, st, sink)
			}
			l := newPipeListener()
			c := newClient()
			c.Dial = l.dial
			stop := start(t, s, l, c)
			defer stop()
			n, err := l.dial(t.Context(), "")
			is.NoErr(err)
			r := newRawPeer(t, n)
			f.script(r)
			closed := time.Since(begin)
			_ = n.Close()
			synctest.Wait()
			fmt.Fprintf(&b, "%s\n  script ended after %v, executed %d, applied %d, context ended after %v\n", f.name, closed, executed, applied, ended)
			b.WriteString(o.String())
			_, err = c.Execute(t.Context(), "b", step("in"), nil)
			is.NoErr(err) // other peers are still served
			stop()
		})
	}
	goldie.New(t).Assert(t, t.Name(), []byte(b.String()))
}

// Guards against a step that continues after its caller cancelled, against a
// cancel that also ends another step, and against a connection that is closed as
// dead while its peer waits for no answer.
func TestCancelEndsOnlyItsStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		cancelled := make(chan string, 2)
		proceed := make(chan struct{})
		s.Execute = func(ctx context.Context, st request.Step, _ request.Sink) (request.Result, error) {
			select {
			case <-ctx.Done():
				cancelled <- st.RequestID
				time.Sleep(20 * time.Second) // a backend server that does not react to the cancel
				return request.Result{}, ctx.Err()
			case <-proceed:
				return echo(ctx, st, nil)
			}
		}
		l := newPipeListener()
		c := newClient()
		c.Dial = l.dial
		defer start(t, s, l, c)()
		ctx, cancel := context.WithCancel(t.Context())
		first, second := make(chan error, 1), make(chan error, 1)
		var running sync.WaitGroup
		defer running.Wait()
		running.Go(func() {
			_, err := c.Execute(ctx, "b", step("in"), nil)
			first <- err
		})
		running.Go(func() {
			st := step("in").WithDeadline(time.Now().Add(time.Minute))
			st.RequestID = "r-2"
			_, err := c.Execute(t.Context(), "b", st, nil)
			second <- err
		})
		synctest.Wait()
		cancel()
		f := request.AsFailure(<-first)
		is.Equal(f.Reason, request.ReasonCancelled)
		is.True(f.Sent)
		is.Equal(<-cancelled, "r-1")
		time.Sleep(10 * time.Second)
		close(proceed)
		is.NoErr(<-second)
		time.Sleep(9 * time.Second) // the first step still runs, but no caller waits for it
		link, _ := c.Queries().Link("b")
		is.True(link.IsConnected())
		time.Sleep(time.Second)
	})
}

// Guards against a step that runs past its deadline because the clocks of the
// entry instance and the owner differ or the cancel was lost.
func TestDeadlineEndsExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		s.Execute = func(ctx context.Context, _ request.Step, _ request.Sink) (request.Result, error) {
			<-ctx.Done()
			return request.Result{}, request.Refuse(request.ReasonDeadlinePassed, "in the queue")
		}
		l := newPipeListener()
		c := newClient()
		c.Dial = l.dial
		defer start(t, s, l, c)()
		begin := time.Now()
		_, err := c.Execute(t.Context(), "b", step("in"), nil)
		is.Equal(err, request.Refuse(request.ReasonDeadlinePassed, "in the queue"))
		is.Equal(time.Since(begin), 6*time.Second)
	})
}

// Guards against an exchange that waits forever, or fails with Sent false, when
// the instance that dispatches it stops.
func TestStoppedServerFailsOpenExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		s.Execute = func(ctx context.Context, _ request.Step, _ request.Sink) (request.Result, error) {
			<-ctx.Done()
			return request.Result{}, ctx.Err()
		}
		l := newPipeListener()
		c := newClient()
		c.Dial = l.dial
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		var running sync.WaitGroup
		defer running.Wait()
		running.Go(func() { served <- s.Serve(ctx, l) })
		time.AfterFunc(time.Second, cancel)
		_, err := c.Execute(t.Context(), "b", step("in"), nil)
		f := request.AsFailure(err)
		is.Equal(f.Reason, request.ReasonPeerUnreachable)
		is.True(f.Sent)
		is.NoErr(<-served)
		c.Close()
	})
}

// Guards against one peer that exhausts the memory of an instance with open
// steps.
func TestTooManyExchangesAreRefusedAsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		proceed := make(chan struct{})
		s.Execute = func(ctx context.Context, st request.Step, sink request.Sink) (request.Result, error) {
			<-proceed
			return echo(ctx, st, sink)
		}
		l := newPipeListener()
		c := newClient()
		c.Dial = l.dial
		defer start(t, s, l, c)()
		const extra = 3
		results := make(chan error, 1024+extra)
		var running sync.WaitGroup
		defer running.Wait()
		for range 1024 + extra {
			running.Go(func() {
				_, err := c.Execute(t.Context(), "b", step("in"), nil)
				results <- err
			})
		}
		for range extra {
			is.Equal(<-results, request.Refuse(request.ReasonQueueFull, "too many open exchanges from one peer"))
		}
		close(proceed)
		for range 1024 {
			is.NoErr(<-results)
		}
		is.Equal(s.Counters.Values()["exchangeLimit"], int64(extra))
	})
}

// Guards against a slow caller that blocks the streams of others or makes the
// instance buffer a whole stream, and against a stream that never receives new
// credit.
func TestSlowSinkBlocksOnlyItsStream(t *testing.T) {
	const total, size = 4000, 1024
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		sent := 0
		s.Execute = func(ctx context.Context, st request.Step, sink request.Sink) (request.Result, error) {
			if st.RequestID != "r-slow" {
				return echo(ctx, st, sink)
			}
			for i := range total {
				if err := sink(request.Piece{Attempt: st.Attempt, Number: uint32(i), Data: make([]byte, size)}); err != nil {
					return request.Result{}, err
				}
				sent++
			}
			return echo(ctx, st, nil)
		}
		l := newPipeListener()
		c := newClient()
		c.Dial = l.dial
		defer start(t, s, l, c)()
		slow := step("in").WithDeadline(time.Now().Add(time.Hour))
		slow.RequestID = "r-slow"
		proceed, done := make(chan struct{}), make(chan error, 1)
		received := 0
		var running sync.WaitGroup
		defer running.Wait()
		running.Go(func() {
			_, err := c.Execute(t.Context(), "b", slow, func(p request.Piece) error {
				<-proceed
				received += len(p.Data)
				return nil
			})
			done <- err
		})
		synctest.Wait()
		is.True(sent <= 1+(256<<10)/size) // the window bounds the pieces in flight
		time.Sleep(time.Minute)
		_, err := c.Execute(t.Context(), "b", step("visitors"), func(request.Piece) error { return nil })
		is.NoErr(err)
		close(proceed)
		is.NoErr(<-done)
		is.Equal(received, total*size)
	})
}

// Guards against a peer that sends more pieces than its credit allows.
func TestPiecesOutsideTheWindowCloseTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newObserver()
		c, stop := newScriptedPeer(t, o, func(r *rawPeer) {
			r.accept()
			for i := range 10 {
				r.send(piece(1, 2, i, strings.Repeat("x", 64<<10)))
			}
			r.drain()
		})
		defer stop()
		proceed := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(proceed) })
		_, err := c.Execute(t.Context(), "b", step("in"), func(request.Piece) error {
			<-proceed
			return nil
		})
		f := request.AsFailure(err)
		is.Equal(f.Reason, request.ReasonPeerUnreachable)
		is.True(f.Sent)
		is.Equal(o.counters.Values()["messageUnexpected"], int64(1))
		stop()
	})
}

// Guards against a caller that waits forever because the result of its step does
// not fit into a frame.
func TestOversizedResultFailsItsStep(t *testing.T) {
	s := newServer()
	s.Execute = func(_ context.Context, st request.Step, _ request.Sink) (request.Result, error) {
		return request.Result{Identity: st.Identity(), Output: make([]byte, peer.MaxFrame)}, nil
	}
	overTransports(t, s, func(is *is.I, c *peer.Client, address string) {
		_, err := c.Execute(context.Background(), address, step("in"), nil)
		f := request.AsFailure(err)
		is.Equal(f.Reason, request.ReasonResultInvalid)
		is.True(f.Sent)
	})
}
