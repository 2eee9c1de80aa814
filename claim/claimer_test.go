package claim_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/claim"
	"lycheecrank.example/request"
)

// Guards against one append per claim, which would exceed the log's shared
// throughput, and against outcomes lost at a stop.
func TestClaimsOfOneStreamShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNode(&fakeLog{retention: time.Hour, changed: make(chan struct{})}, "node0", time.Second)
		batches := []int{}
		n.claimer.Append = func(ctx context.Context, stream string, records []claim.Record) error {
			batches = append(batches, len(records))
			return n.append(ctx, stream, records)
		}
		n.start()
		synctest.Wait()
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		var group sync.WaitGroup
		for i, claims := 0, 0; claims < 50; i++ {
			k := keyAt(time.Now(), i)
			if claim.StreamOf(k) != 0 {
				continue
			}
			claims++
			group.Go(func() {
				ticket, err := n.claimer.Claim(t.Context(), k, "contagem", claim.Digest{})
				is.NoErr(err)
				is.True(errors.Is(ticket.Finish(ended, request.Ran, nil), claim.ErrOutcomePending))
				is.True(errors.Is(ticket.Finish(ended, request.NotRun, nil), claim.ErrAlreadyFinished))
			})
		}
		group.Wait()
		is.NoErr(n.claimer.Flush(t.Context()))
		is.Equal(len(n.log.streams[0]), 100) // claims and outcomes
		is.True(len(batches) <= 6)           // the first append may carry a single record
		n.stop()
		n.done.Wait()
	})
}
