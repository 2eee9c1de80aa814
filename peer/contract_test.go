package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/peer"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

// transports are the connections that the contract must hold over.
var transports = []struct {
	name   string
	listen func(t testing.TB, c *peer.Client) (net.Listener, string)
}{
	{"pipe", func(_ testing.TB, c *peer.Client) (net.Listener, string) {
		l := newPipeListener()
		c.Dial = l.dial
		return l, "b"
	}},
	{"loopback", func(t testing.TB, _ *peer.Client) (net.Listener, string) {
		t.Helper()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l, l.Addr().String()
	}},
}

// contract runs a test over each transport.
func contract(t *testing.T, s *peer.Server, test func(is *is.I, c *peer.Client, address string)) {
	t.Helper()
	for _, transport := range transports {
		t.Run(transport.name, func(t *testing.T) {
			c := newClient()
			l, address := transport.listen(t, c)
			defer start(t, s, l, c)()
			test(is.New(t), c, address)
		})
	}
}

// Guards against a field of a step, of its result or of its pieces that is lost
// or changed on the way to another instance and back.
func TestExecuteCarriesStepAndResult(t *testing.T) {
	s := newServer()
	var got request.Step
	s.Execute = func(ctx context.Context, st request.Step, sink request.Sink) (request.Result, error) {
		got = st
		return echo(ctx, st, sink)
	}
	contract(t, s, func(is *is.I, c *peer.Client, address string) {
		sent := step("visitors")
		var streamed []byte
		result, err := c.Execute(context.Background(), address, sent, func(p request.Piece) error {
			is.Equal(int(p.Number), len(streamed))
			is.Equal(p.Attempt, sent.Attempt)
			streamed = append(streamed, p.Data...)
			return nil
		})
		is.NoErr(err)
		is.Equal(string(streamed), "visitors")
		is.Equal(result, request.Result{
			Identity:      sent.Identity(),
			Output:        []byte("visitors"),
			Server:        "engine-1",
			Instance:      "b-1",
			DataCentre:    "espoo",
			QueueTime:     1500 * time.Microsecond,
			ExecutionTime: 40 * time.Millisecond,
		})
		late := got.Deadline.Sub(sent.Deadline)
		is.True(late > -2*time.Second && late < 2*time.Second) // the deadline travels as remaining time
		is.Equal(got.WithDeadline(sent.Deadline), sent)
	})
}

// Guards against a digest that reaches only one side of an exchange.
func TestExchangeInformsBothSides(t *testing.T) {
	s := newServer()
	var from peer.Hello
	var taken peer.Digest
	s.TakeDigest = func(h peer.Hello, d peer.Digest) { from, taken = h, d }
	own := peer.Digest{
		CatalogueOffset: 3,
		OwnershipOffset: 4,
		LogContactAgeMs: 1200,
		Leaving:         true,
		Holds:           []peer.Hold{{DataCentre: "espoo", Operator: "aino", EndsInMs: 900_000, Sequence: 2}},
	}
	contract(t, s, func(is *is.I, c *peer.Client, address string) {
		got, err := c.Exchange(context.Background(), address, own)
		is.NoErr(err)
		is.Equal(got, peer.Digest{CatalogueOffset: 7, OwnershipOffset: 9})
		is.Equal(taken, own)
		is.Equal(from, peer.Hello{Instance: "a-1", Incarnation: "1", DataCentre: "vantaa"})
	})
}

// Guards against records that are lost or changed when one instance brings
// another up to date.
func TestRecordsTravelBothWays(t *testing.T) {
	s := newServer()
	var taken []provider.Record
	s.TakeRecords = func(_ string, r []provider.Record) { taken = r }
	contract(t, s, func(is *is.I, c *peer.Client, address string) {
		ctx := context.Background()
		got, err := c.Fetch(ctx, address, peer.CatalogueStream, 2)
		is.NoErr(err)
		is.Equal(got, recordsAfter(5)(peer.CatalogueStream, 2))
		n, err := c.Send(ctx, address, peer.OwnershipStream, got)
		is.NoErr(err)
		is.Equal(n, 3)
		is.Equal(taken, got)
	})
}

// Guards against a cancelled request that goes on at the instance that entered
// it.
func TestCancelRequestReportsFound(t *testing.T) {
	contract(t, newServer(), func(is *is.I, c *peer.Client, address string) {
		found, err := c.CancelRequest(context.Background(), address, "tallies", "r-1")
		is.NoErr(err)
		is.True(found)
		found, err = c.CancelRequest(context.Background(), address, "tallies", "r-2")
		is.NoErr(err)
		is.True(!found)
	})
}
