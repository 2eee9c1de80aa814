package peer_test

import (
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/counter"
	"lycheecrank.example/peer"
)

// Guards against exchanges that are opened concurrently and whose first messages
// are sent in another order than their numbers. The peer rejects the lower
// number, and the connection fails with all its exchanges.
func TestConcurrentExchangesKeepTheirOrder(t *testing.T) {
	const callers, calls = 32, 200
	s := newServer()
	overTransports(t, s, func(is *is.I, c *peer.Client, address string) {
		c.Counters = &counter.Set{}
		var group errgroup.Group
		for range callers {
			group.Go(func() error {
				for range calls {
					if _, err := c.ExchangeDigests(t.Context(), address, peer.Digest{}); err != nil {
						return err
					}
				}
				return nil
			})
		}
		is.NoErr(group.Wait())
		is.Equal(s.Counters.Values(), map[string]int64{}) // no frame was refused
	})
}
