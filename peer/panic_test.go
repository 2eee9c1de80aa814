package peer_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lycheecrank.example/peer"
	"lycheecrank.example/request"
)

// Guards against the end of the process by a panic in the handler of one exchange: its
// sender gets a failure, and the others on the connection are answered.
func TestPanicEndsOneExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, c, l := newServer(), newClient(), newPipeListener()
		s.Ask = func(_ context.Context, _ peer.Hello, subject string, data []byte) ([]byte, error) {
			if subject == "broken" {
				panic("index out of range")
			}
			return data, nil
		}
		c.Dial = l.dial
		defer start(t, s, l, c)()
		_, err := c.Ask(t.Context(), "b-1:1", "broken", []byte("x"))
		failure := request.AsFailure(err)
		is.Equal(failure.Reason, request.ReasonOutcomeUnknown)
		is.True(failure.Sent)
		data, err := c.Ask(t.Context(), "b-1:1", "sound", []byte("x"))
		is.NoErr(err)
		is.Equal(string(data), "x")
		is.Equal(s.Counters.Values()["panics"], int64(1))
	})
}
