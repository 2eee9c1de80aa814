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

// transports are the kinds of connection that every test of the contract runs
// over.
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

// overTransports runs a test over each transport.
func overTransports(t *testing.T, s *peer.Server, test func(is *is.I, c *peer.Client, address string)) {
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

// Guards against a field of a step, its result or its pieces that is lost or
// changed on the way to another instance and back.
func TestExecuteCarriesStepAndResult(t *testing.T) {
	s := newServer()
	var got request.Step
	s.Execute = func(ctx context.Context, st request.Step, sink request.Sink) (request.Result, error) {
		got = st
		return echo(ctx, st, sink)
	}
	overTransports(t, s, func(is *is.I, c *peer.Client, address string) {
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
		deviation := got.Deadline.Sub(sent.Deadline)
		is.True(deviation > -2*time.Second && deviation < 2*time.Second) // the deadline travels as remaining time
		is.Equal(got.WithDeadline(sent.Deadline), sent)
	})
}

// Guards against an exchange of digests in which only one side receives the
// digest of the other.
func TestExchangeDeliversBothDigests(t *testing.T) {
	s := newServer()
	var from peer.Hello
	var received peer.Digest
	s.ApplyDigest = func(h peer.Hello, d peer.Digest) { from, received = h, d }
	own := peer.Digest{
		CatalogueOffset: 3,
		OwnershipOffset: 4,
		LogContactAgeMs: 1200,
		Leaving:         true,
		Holds:           []peer.Hold{{DataCentre: "espoo", Operator: "aino", EndsInMs: 900_000, Sequence: 2}},
	}
	overTransports(t, s, func(is *is.I, c *peer.Client, address string) {
		got, err := c.ExchangeDigests(context.Background(), address, own)
		is.NoErr(err)
		is.Equal(got, peer.Digest{CatalogueOffset: 7, OwnershipOffset: 9})
		is.Equal(received, own)
		is.Equal(from, peer.Hello{Instance: "a-1", Incarnation: "1", DataCentre: "vantaa"})
	})
}

// Guards against records that are lost or changed when they are fetched or
// pushed.
func TestRecordsAreFetchedAndPushed(t *testing.T) {
	s := newServer()
	var received []provider.Record
	s.ApplyRecords = func(_ string, r []provider.Record) { received = r }
	overTransports(t, s, func(is *is.I, c *peer.Client, address string) {
		ctx := context.Background()
		got, err := c.FetchRecords(ctx, address, peer.CatalogueStream, 2)
		is.NoErr(err)
		is.Equal(got, recordsAfter(5)(peer.CatalogueStream, 2))
		n, err := c.SendRecords(ctx, address, peer.OwnershipStream, got)
		is.NoErr(err)
		is.Equal(n, 3)
		is.Equal(received, got)
	})
}

// Guards against a cancelled request that continues at its entry instance.
func TestCancelRequestReportsFound(t *testing.T) {
	overTransports(t, newServer(), func(is *is.I, c *peer.Client, address string) {
		found, err := c.CancelRequest(context.Background(), address, "tallies", "r-1")
		is.NoErr(err)
		is.True(found)
		found, err = c.CancelRequest(context.Background(), address, "tallies", "r-2")
		is.NoErr(err)
		is.True(!found)
	})
}
