package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lycheecrank.example/provider"
)

// Pauses between attempts to reach the log. They grow to the larger one, so
// that hundreds of instances don't load a log that recovers.
const (
	minLogPause = 100 * time.Millisecond
	maxLogPause = 2 * time.Second
)

// follower keeps a table up to date with a stream of the log.
type follower struct {
	stream string
	log    *provider.Log
	// begin takes the earliest retained page when the follower starts, and again
	// when records that it needs have expired.
	begin func(ctx context.Context, earliest provider.Page) error
	// next returns the offset that is wanted next.
	next func() uint64
	// apply takes records in offset order.
	apply func(records []provider.Record) error
	// contact is told whenever the log has answered or failed.
	contact func(stream string, err error)
}

// run follows the stream until the context ends.
func (f *follower) run(ctx context.Context) error {
	begun := false
	wait := minLogPause
	for ctx.Err() == nil {
		if !begun {
			begun = f.start(ctx)
		}
		if begun {
			started := time.Now()
			err := f.tail(ctx)
			begun = !errors.Is(err, provider.ErrExpired)
			if time.Since(started) > maxLogPause {
				wait = minLogPause
			}
		}
		sleep(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, maxLogPause)
	}
	return nil
}

// start reads the start of the stream and reports whether that was done.
func (f *follower) start(ctx context.Context) bool {
	page, err := f.log.Read(ctx, f.stream, 0)
	if err == nil {
		err = f.begin(ctx, page)
	}
	f.answered(ctx, err)
	return err == nil
}

// tail takes the records from the next one on until the stream breaks.
func (f *follower) tail(ctx context.Context) error {
	err := f.log.Tail(ctx, f.stream, f.next(), func(records []provider.Record) error {
		f.answered(ctx, nil)
		return f.apply(records)
	})
	f.answered(ctx, err)
	return err
}

// answered notes whether the log has answered, unless the follower is ending.
func (f *follower) answered(ctx context.Context, err error) {
	if ctx.Err() == nil {
		f.contact(f.stream, err)
	}
}

// sleep waits until the time is over or the context has ended.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
