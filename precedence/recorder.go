package precedence

import (
	"context"
	"crypto/ed25519"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnsent is returned by Run when records could not be appended before the
// end of the flush.
var ErrUnsent = errors.New("decision records not appended")

// Defaults and bounds of a Recorder.
const (
	defaultInterval      = time.Second
	defaultMaxBatch      = 10000
	defaultAppendTimeout = 2 * time.Second
	defaultFlushLimit    = 5 * time.Second
	// maxPauses bounds the pause after repeated failures, as a multiple of the
	// interval, so that hundreds of instances don't load a log that recovers.
	maxPauses = 8
)

// Recorder moves the records of a table to the log. Set the exported fields
// before Run.
type Recorder struct {
	Table *Table
	Key   ed25519.PrivateKey
	// Seal encodes a signed batch.
	Seal func(b Batch) ([]byte, error)
	// Append adds data to the stream of decision records. After an error the data
	// may be in the log all the same.
	Append func(ctx context.Context, data []byte) error
	// Failed takes the error of a failed append; nil to ignore it.
	Failed func(err error)
	// Lost takes the number of records lost since the last call; nil to ignore it.
	Lost func(count uint64)
	// Interval is the least time between two appends; 0 for 1 s.
	Interval time.Duration
	// MaxBatch is the largest number of records in a batch; 0 for 10,000, which
	// is well under 1 MiB sealed.
	MaxBatch int
	// AppendTimeout bounds one append; 0 for 2 s.
	AppendTimeout time.Duration
	// FlushLimit bounds the flush after the context has ended; 0 for 5 s.
	FlushLimit time.Duration

	reported uint64
	failures int
	// next is the earliest time of the next append.
	next time.Time
}

// Run appends batches until the context ends, then flushes. It returns an error
// that matches ErrUnsent if the flush did not finish. Call it once; records
// added after it has returned are not appended.
func (r *Recorder) Run(ctx context.Context) error {
	r.setDefaults()
	for r.waitForRecords(ctx) && waitUntil(ctx, r.next) {
		r.step(ctx)
	}
	return r.flush(context.WithoutCancel(ctx))
}

func (r *Recorder) setDefaults() {
	if r.Interval == 0 {
		r.Interval = defaultInterval
	}
	if r.MaxBatch == 0 {
		r.MaxBatch = defaultMaxBatch
	}
	if r.AppendTimeout == 0 {
		r.AppendTimeout = defaultAppendTimeout
	}
	if r.FlushLimit == 0 {
		r.FlushLimit = defaultFlushLimit
	}
}

// waitForRecords reports false once the context has ended.
func (r *Recorder) waitForRecords(ctx context.Context) bool {
	queries := r.Table.Queries()
	for ctx.Err() == nil {
		if queries.Buffered() > 0 {
			return true
		}
		select {
		case <-queries.Ready():
		case <-ctx.Done():
		}
	}
	return false
}

// waitUntil reports false if the context ends before the time.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// step appends one batch and sets the time of the next append.
func (r *Recorder) step(ctx context.Context) {
	r.reportLost()
	started := time.Now()
	if err := r.appendBatch(ctx); err != nil {
		r.failures++
		if r.Failed != nil {
			r.Failed(err)
		}
	} else {
		r.failures = 0
	}
	pauses := min(1<<min(r.failures, 16), maxPauses)
	r.next = started.Add(time.Duration(pauses) * r.Interval)
}

func (r *Recorder) appendBatch(ctx context.Context) error {
	commands := r.Table.Commands()
	b, ok := commands.TakeBatch(r.MaxBatch)
	if !ok {
		return nil
	}
	b = b.WithSignature(r.Key)
	data, err := r.Seal(b)
	if err != nil {
		commands.Returned(b)
		return eris.Wrap(err, "seal decision records")
	}
	// A shutdown doesn't cut off an append: its outcome would be unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.AppendTimeout)
	defer cancel()
	if err := r.Append(ctx, data); err != nil {
		commands.Returned(b)
		return eris.Wrap(err, "append decision records")
	}
	commands.Appended()
	return nil
}

func (r *Recorder) flush(ctx context.Context) error {
	end := time.Now().Add(r.FlushLimit)
	queries := r.Table.Queries()
	for queries.Buffered() > 0 {
		// The long pause after failures is for outages; the flush has no time for it.
		if soon := time.Now().Add(r.Interval); r.next.After(soon) {
			r.next = soon
		}
		if !r.next.Before(end) {
			return eris.Wrapf(ErrUnsent, "flush ended with %d records left", queries.Buffered())
		}
		waitUntil(ctx, r.next)
		r.step(ctx)
	}
	return nil
}

func (r *Recorder) reportLost() {
	lost := r.Table.Queries().Lost()
	if lost > r.reported && r.Lost != nil {
		r.Lost(lost - r.reported)
	}
	r.reported = lost
}
