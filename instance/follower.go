package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lycheecrank.example/provider"
)

// Pauses between attempts to reach the log. They double from the smaller to the
// larger one, so that hundreds of instances don't overload a log that recovers.
const (
	minLogPause = 100 * time.Millisecond
	maxLogPause = 2 * time.Second
)

// follower keeps a table up to date with a stream of the log.
type follower struct {
	stream string
	log    *provider.Log
	// initialize is called with the earliest retained page when the follower starts,
	// and again after records that it needs have expired.
	initialize func(ctx context.Context, earliest provider.Page) error
	// nextOffset returns the offset of the next record to read.
	nextOffset func() uint64
	// apply applies records in the order of their offsets.
	apply func(records []provider.Record) error
	// onResult is called after each answer of the log, with a nil error, and after each
	// failure.
	onResult func(stream string, err error)
}

// run follows the stream until the context ends.
func (f *follower) run(ctx context.Context) error {
	initialized := false
	pause := minLogPause
	for ctx.Err() == nil {
		if !initialized {
			initialized = f.start(ctx)
		}
		if initialized {
			started := time.Now()
			err := f.tail(ctx)
			initialized = !errors.Is(err, provider.ErrExpired)
			if time.Since(started) > maxLogPause {
				pause = minLogPause
			}
		}
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxLogPause)
	}
	return nil
}

// start reads the earliest retained page of the stream and reports whether initialize
// succeeded with it.
func (f *follower) start(ctx context.Context) bool {
	page, err := f.log.Read(ctx, f.stream, 0)
	if err == nil {
		err = f.initialize(ctx, page)
	}
	f.reportResult(ctx, err)
	return err == nil
}

// tail applies records from the next offset until the stream fails or the context
// ends.
func (f *follower) tail(ctx context.Context) error {
	err := f.log.Tail(ctx, f.stream, f.nextOffset(), func(records []provider.Record) error {
		f.reportResult(ctx, nil)
		return f.apply(records)
	})
	f.reportResult(ctx, err)
	return err
}

// reportResult passes the result of a call to the log to onResult, unless the context
// has ended.
func (f *follower) reportResult(ctx context.Context, err error) {
	if ctx.Err() == nil {
		f.onResult(f.stream, err)
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
