package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/peer"
	"lycheecrank.example/request"
)

// clientFaults are faults of a peer towards a client that executes a step.
var clientFaults = []struct {
	name   string
	script func(r *rawPeer)
}{
	{"closed before hello", func(*rawPeer) {}},
	{"frozen before hello", func(r *rawPeer) { r.drain() }},
	{"no hello as the first message", func(r *rawPeer) { r.send(fields{"type": "pong"}) }},
	{"closed after the step", func(r *rawPeer) { r.accept() }},
	{"closed while the step is read", func(r *rawPeer) {
		r.handshake()
		_, _ = r.Read(make([]byte, 10))
	}},
	{"connection closed inside a frame header", func(r *rawPeer) {
		r.accept()
		r.writeBytes([]byte{0, 0})
	}},
	{"connection closed inside a frame", func(r *rawPeer) {
		r.accept()
		r.writeBytes(framed(encoded(r, end(1, "r-1", 0)))[:40])
	}},
	{"empty frame", func(r *rawPeer) {
		r.accept()
		r.writeBytes(framed(nil))
		r.drain()
	}},
	{"oversized frame", func(r *rawPeer) {
		r.accept()
		r.writeBytes([]byte{0x00, 0x80, 0x00, 0x01})
		r.drain()
	}},
	{"frame that is not msgpack", func(r *rawPeer) {
		r.accept()
		r.writeBytes(framed([]byte("GET / HTTP/1.1\r\n")))
		r.drain()
	}},
	{"trailing bytes", func(r *rawPeer) {
		r.accept()
		r.writeBytes(framed(append(encoded(r, end(1, "r-1", 0)), 0xc0)))
		r.drain()
	}},
	{"unknown type", func(r *rawPeer) {
		r.accept()
		r.send(fields{"type": "elect", "exchange": 1})
		r.drain()
	}},
	{"unknown field", func(r *rawPeer) {
		r.accept()
		r.send(fields{"type": "taken", "exchange": 1, "leader": true})
		r.drain()
	}},
	{"two bodies", func(r *rawPeer) {
		r.accept()
		m := end(1, "r-1", 0)
		m["fetch"] = fields{"stream": "catalogue", "after": 0}
		r.send(m)
		r.drain()
	}},
	{"message of the other side", func(r *rawPeer) {
		r.accept()
		r.send(execute(1, false))
		r.drain()
	}},
	{"answer of another type", func(r *rawPeer) {
		r.accept()
		r.send(fields{"type": "taken", "exchange": 1})
		r.answerPings()
	}},
	{"frozen", func(r *rawPeer) {
		r.accept()
		r.drain()
	}},
	{"frozen and not reading", func(r *rawPeer) {
		r.accept()
		time.Sleep(time.Minute)
	}},
	{"answer after 20 s with pongs", func(r *rawPeer) {
		r.accept()
		for range 20 {
			r.next()
			r.send(fields{"type": "pong"})
		}
		r.send(end(1, "r-1", 0))
		r.answerPings()
	}},
	{"failure with Sent false", func(r *rawPeer) {
		r.accept()
		r.send(failure(1, "queueFull", false))
		r.answerPings()
	}},
	{"failure with Sent true", func(r *rawPeer) {
		r.accept()
		r.send(failure(1, "serverFailed", true))
		r.answerPings()
	}},
	{"failure without reason", func(r *rawPeer) {
		r.accept()
		r.send(failure(1, "", false))
		r.answerPings()
	}},
	{"end of another request", func(r *rawPeer) {
		r.accept()
		r.send(end(1, "r-2", 0))
		r.answerPings()
	}},
	{"end of an exchange that was never opened", func(r *rawPeer) {
		r.accept()
		r.send(end(7, "r-1", 0))
		r.send(end(1, "r-1", 0))
		r.answerPings()
	}},
	{"duplicate end", func(r *rawPeer) {
		r.accept()
		r.writeBytes(append(framed(encoded(r, end(1, "r-1", 0))), framed(encoded(r, end(1, "r-1", 0)))...))
		r.answerPings()
	}},
	{"piece after the end", func(r *rawPeer) {
		r.accept()
		r.writeBytes(append(framed(encoded(r, end(1, "r-1", 0))), framed(encoded(r, piece(1, 2, 0, "a")))...))
		r.answerPings()
	}},
	{"pieces out of order", func(r *rawPeer) {
		r.accept()
		r.send(piece(1, 2, 1, "b"))
		r.answerPings()
	}},
	{"piece of another attempt", func(r *rawPeer) {
		r.accept()
		r.send(piece(1, 1, 0, "a"))
		r.answerPings()
	}},
	{"piece missing at the end", func(r *rawPeer) {
		r.accept()
		r.send(piece(1, 2, 0, "a"))
		r.send(end(1, "r-1", 2))
		r.answerPings()
	}},
	{"connection closed inside a stream", func(r *rawPeer) {
		r.accept()
		r.send(piece(1, 2, 0, "a"))
	}},
	{"end, then connection closed inside a frame header", func(r *rawPeer) {
		r.accept()
		r.writeBytes(append(framed(encoded(r, end(1, "r-1", 0))), 0, 0))
	}},
}

// Guards against a faulty peer that makes a client lose an exchange, return a
// wrong result, wait forever, or report a step as not sent that may have been
// sent.
func TestClientFaults(t *testing.T) {
	var b strings.Builder
	for _, f := range clientFaults {
		synctest.Test(t, func(t *testing.T) {
			o := newObserver()
			c, stop := newScriptedPeer(t, o, f.script)
			begin := time.Now()
			var pieces bytes.Buffer
			st := step("in").WithDeadline(begin.Add(time.Minute))
			result, err := c.Execute(t.Context(), "b", st, func(p request.Piece) error {
				pieces.Write(p.Data)
				return nil
			})
			fmt.Fprintf(&b, "%s\n  after %v: %s, pieces %q\n", f.name, time.Since(begin), outcome(result, err), pieces.String())
			synctest.Wait()
			stop()
			b.WriteString(o.String())
		})
	}
	goldie.New(t).Assert(t, t.Name(), []byte(b.String()))
}

func outcome(r request.Result, err error) string {
	if err != nil {
		f := request.AsFailure(err)
		return fmt.Sprintf("sent %t, %s", f.Sent, f)
	}
	return fmt.Sprintf("result %q of %s", r.Output, r.Identity.RequestID)
}

// Guards against reporting Sent for a step that no peer can have received, which
// would turn a refusal into an unknown outcome.
func TestUnreachablePeerFailsAsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClient()
		c.Dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }
		_, err := c.Execute(t.Context(), "b", step("in"), nil)
		f := request.AsFailure(err)
		is.Equal(f.Reason, request.ReasonPeerUnreachable)
		is.True(!f.Sent)
		is.True(f.RetryAfter > 0)
		c.Close()
		_, err = c.Execute(t.Context(), "b", step("in"), nil)
		is.Equal(request.AsFailure(err).Outcome(), request.NotRun)
	})
}

// Guards against a step that is sent after its deadline or that is too large for
// the peer to accept.
func TestUnsendableStepIsRefused(t *testing.T) {
	overTransports(t, newServer(), func(is *is.I, c *peer.Client, address string) {
		_, err := c.Execute(context.Background(), address, step("in").WithDeadline(time.Now()), nil)
		is.Equal(request.AsFailure(err).Reason, request.ReasonDeadlinePassed)
		is.True(!request.AsFailure(err).Sent)
		_, err = c.Execute(context.Background(), address, step(strings.Repeat("x", peer.MaxFrame)), nil)
		is.Equal(request.AsFailure(err).Reason, request.ReasonInputTooLarge)
		is.True(!request.AsFailure(err).Sent)
	})
}

// Guards against a step queued behind a blocked connection that is still sent
// after its caller got a failure with Sent false, and against an unknown outcome
// for a step that was withdrawn in time.
func TestQueuedStepIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var seen []string
		c, stop := newScriptedPeer(t, newObserver(), func(r *rawPeer) {
			r.handshake()
			time.Sleep(2 * time.Second) // shorter than the write limit
			for m := r.next(); m != nil; m = r.next() {
				seen = append(seen, fmt.Sprint(m["type"]))
			}
		})
		defer stop()
		var first sync.WaitGroup
		first.Go(func() { _, _ = c.Execute(t.Context(), "b", step("first"), nil) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Execute(ctx, "b", step("second"), nil)
		f := request.AsFailure(err)
		is.Equal(f.Reason, request.ReasonDeadlinePassed)
		is.True(!f.Sent)
		time.Sleep(1500 * time.Millisecond)
		stop()
		first.Wait()
		is.True(len(seen) > 0)
		is.Equal(seen[0], "execute")
		for _, s := range seen[1:] {
			is.Equal(s, "ping")
		}
	})
}

// Guards against a cancelled step that continues at the peer, and against pieces
// of it that reach its caller or another exchange.
func TestLatePiecesAfterCancelAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newObserver()
		var cancelled fields
		c, stop := newScriptedPeer(t, o, func(r *rawPeer) {
			r.accept()
			r.send(piece(1, 2, 0, "a"))
			cancelled = r.next()
			r.send(piece(1, 2, 1, "b"))
			r.send(end(1, "r-1", 2))
			r.next()
			r.send(end(2, "r-1", 0))
			r.answerPings()
		})
		defer stop()
		ctx, cancel := context.WithCancel(t.Context())
		var pieces bytes.Buffer
		_, err := c.Execute(ctx, "b", step("in"), func(p request.Piece) error {
			pieces.Write(p.Data)
			cancel()
			return nil
		})
		f := request.AsFailure(err)
		is.Equal(f.Reason, request.ReasonCancelled)
		is.True(f.Sent)
		_, err = c.Execute(t.Context(), "b", step("in"), func(p request.Piece) error {
			pieces.Write(p.Data)
			return nil
		})
		is.NoErr(err)
		is.Equal(pieces.String(), "a")
		is.Equal(fmt.Sprint(cancelled["type"], cancelled["exchange"]), "cancel1")
		is.Equal(o.counters.Values(), map[string]int64{"latePieceDropped": 1, "lateAnswerDropped": 1})
		stop()
	})
}

// Guards against results that are swapped between two concurrent steps on one
// connection.
func TestConcurrentStepsGetTheirOwnResults(t *testing.T) {
	for _, swapped := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, stop := newScriptedPeer(t, newObserver(), func(r *rawPeer) {
				r.handshake()
				ids := map[string]int{}
				for range 2 {
					m := r.next()
					body := m["execute"].(map[string]any)
					var exchange int
					_, _ = fmt.Sscan(fmt.Sprint(m["exchange"]), &exchange)
					ids[body["requestId"].(string)] = exchange
				}
				if swapped {
					ids["r-1"], ids["r-2"] = ids["r-2"], ids["r-1"]
				}
				r.send(end(ids["r-2"], "r-2", 0))
				r.send(end(ids["r-1"], "r-1", 0))
				r.answerPings()
			})
			defer stop()
			var running sync.WaitGroup
			for _, id := range []string{"r-1", "r-2"} {
				running.Go(func() {
					st := step("in")
					st.RequestID = id
					result, err := c.Execute(t.Context(), "b", st, nil)
					if swapped {
						is.Equal(request.AsFailure(err).Reason, request.ReasonResultInvalid)
						return
					}
					is.NoErr(err)
					is.Equal(result.Identity, st.Identity())
				})
			}
			running.Wait()
			stop()
		})
	}
}

// Guards against an instance that dials an unreachable peer without backoff, and
// against one that stops dialling it.
func TestBackoffBoundsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClient()
		attempts, refuse := 0, true
		l := newPipeListener()
		defer start(t, newServer(), l, c)()
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			attempts++
			if refuse {
				return nil, errors.New("refused")
			}
			return l.dial(ctx, address)
		}
		for range 6000 { // a minute
			_, err := c.ExchangeDigests(t.Context(), "b", peer.Digest{})
			is.Equal(request.AsFailure(err).Reason, request.ReasonPeerUnreachable)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(attempts >= 12 && attempts <= 36) // waits double from 0.05-0.1 s to 2.5-5 s
		refuse = false
		time.Sleep(5 * time.Second)
		_, err := c.ExchangeDigests(t.Context(), "b", peer.Digest{})
		is.NoErr(err)
		link, _ := c.Queries().Link("b")
		is.True(link.IsConnected())
		is.Equal(link.Peer.Instance, "b-1")
	})
}

// Guards against idle connections whose pings exceed the budget for control
// traffic, and against dead connections that are kept.
func TestIdleConnectionIsPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var pings atomic.Int64
		c, stop := newScriptedPeer(t, newObserver(), func(r *rawPeer) {
			m := r.accept()
			r.send(fields{"type": "digest", "exchange": m["exchange"], "digest": fields{
				"catalogueOffset": 1, "ownershipOffset": 1, "logContactAgeMs": 0, "leaving": false,
			}})
			for range 10 {
				if m := r.next(); m["type"] == "ping" {
					pings.Add(1)
					r.send(fields{"type": "pong"})
				}
			}
			r.drain() // frozen from here on
		})
		defer stop()
		_, err := c.ExchangeDigests(t.Context(), "b", peer.Digest{})
		is.NoErr(err)
		time.Sleep(10*5*time.Minute + time.Second)
		is.Equal(pings.Load(), int64(10))
		link, _ := c.Queries().Link("b")
		is.True(link.IsConnected())
		time.Sleep(5*time.Minute + 3*time.Second)
		link, _ = c.Queries().Link("b")
		is.True(!link.IsConnected())
		stop()
	})
}

// Guards against a working peer that is treated as frozen during a long exchange,
// because the peer timeout is shorter than the default ping interval.
func TestLongExchangeDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, l := newServer(), newPipeListener()
		s.PeerTimeout = 900 * time.Millisecond
		s.Ask = func(_ context.Context, _ peer.Hello, _ string, data []byte) ([]byte, error) {
			time.Sleep(5 * time.Second)
			return data, nil
		}
		c := peer.NewClient(peer.Hello{Instance: "a-1"})
		c.PeerTimeout, c.Dial = s.PeerTimeout, l.dial
		stop := start(t, s, l, c)
		defer stop()
		reply, err := c.Ask(t.Context(), "b-1", "slow", []byte("q"))
		is.NoErr(err)
		is.Equal(string(reply), "q")
	})
}
