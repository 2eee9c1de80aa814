package precedence

import (
	"context"
	"crypto/ed25519"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotAppended is returned by Run if records could not be appended before the flush
// timed out.
var ErrNotAppended = errors.New("decision records not appended")

// Default values of the fields of a Recorder, and the bound of its backoff.
const (
	defaultInterval      = time.Second
	defaultMaxBatch      = 10000
	defaultAppendTimeout = 2 * time.Second
	defaultFlushTimeout  = 5 * time.Second
	// maxBackoffIntervals bounds the backoff after repeated failures, in intervals. The
	// backoff keeps hundreds of instances from overloading a log that is recovering.
	maxBackoffIntervals = 8
)

// Recorder appends the records of a table to the log in signed batches. Set the
// exported fields before Run.
type Recorder struct {
	Table      *Table
	SigningKey ed25519.PrivateKey
	// Seal encodes a signed batch.
	Seal func(batch Batch) ([]byte, error)
	// Append appends data to the stream of decision records. The data may be in the log
	// even if it returns an error.
	Append func(ctx context.Context, data []byte) error
	// OnFailure is called with the error if a batch could not be sealed or appended; it
	// may be nil.
	OnFailure func(err error)
	// OnLost is called with the number of records lost after the previous call; it may
	// be nil.
	OnLost func(count uint64)
	// Interval is the minimum time between two appends; 0 means 1 s.
	Interval time.Duration
	// MaxBatch is the maximum number of records in a batch; 0 means 10,000, well under
	// 1 MiB when sealed.
	MaxBatch int
	// AppendTimeout bounds one append; 0 means 2 s.
	AppendTimeout time.Duration
	// FlushTimeout bounds the flush after the context has ended; 0 means 5 s.
	FlushTimeout time.Duration

	// reportedLost is the number of lost records reported to OnLost so far.
	reportedLost uint64
	// failures counts the appends that failed in a row.
	failures int
	// nextAppend is the earliest time of the next append.
	nextAppend time.Time
}

// Run appends batches until the context ends, and then flushes the remaining records.
// It returns an error that matches ErrNotAppended if the flush timed out. Call it once;
// records added after it has returned are not appended.
func (r *Recorder) Run(ctx context.Context) error {
	r.setDefaults()
	for r.waitForRecords(ctx) && waitUntil(ctx, r.nextAppend) {
		r.appendNext(ctx)
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
	if r.FlushTimeout == 0 {
		r.FlushTimeout = defaultFlushTimeout
	}
}

// waitForRecords waits until the table has records. It reports false if the context
// has ended.
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

// waitUntil waits until the given time. It reports false if the context has ended by
// then.
func waitUntil(ctx context.Context, end time.Time) bool {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// appendNext appends one batch and sets the earliest time of the next append.
func (r *Recorder) appendNext(ctx context.Context) {
	r.reportLost()
	started := time.Now()
	if err := r.appendBatch(ctx); err != nil {
		r.failures++
		if r.OnFailure != nil {
			r.OnFailure(err)
		}
	} else {
		r.failures = 0
	}
	backoffIntervals := min(1<<min(r.failures, 16), maxBackoffIntervals)
	r.nextAppend = started.Add(time.Duration(backoffIntervals) * r.Interval)
}

func (r *Recorder) appendBatch(ctx context.Context) error {
	commands := r.Table.Commands()
	batch, ok := commands.TakeBatch(r.MaxBatch)
	if !ok {
		return nil
	}
	batch = batch.WithSignature(r.SigningKey)
	data, err := r.Seal(batch)
	if err != nil {
		commands.RequeueBatch(batch)
		return eris.Wrap(err, "seal decision records")
	}
	// A shutdown doesn't cancel an append, because its outcome would be unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.AppendTimeout)
	defer cancel()
	if err := r.Append(ctx, data); err != nil {
		commands.RequeueBatch(batch)
		return eris.Wrap(err, "append decision records")
	}
	commands.ConfirmBatch()
	return nil
}

func (r *Recorder) flush(ctx context.Context) error {
	end := time.Now().Add(r.FlushTimeout)
	queries := r.Table.Queries()
	for queries.Buffered() > 0 {
		// The flush is short, so it retries after one interval in place of the backoff.
		if earliest := time.Now().Add(r.Interval); r.nextAppend.After(earliest) {
			r.nextAppend = earliest
		}
		if !r.nextAppend.Before(end) {
			return eris.Wrapf(ErrNotAppended, "flush timed out with %d records buffered", queries.Buffered())
		}
		waitUntil(ctx, r.nextAppend)
		r.appendNext(ctx)
	}
	return nil
}

func (r *Recorder) reportLost() {
	lost := r.Table.Queries().LostCount()
	if lost > r.reportedLost && r.OnLost != nil {
		r.OnLost(lost - r.reportedLost)
	}
	r.reportedLost = lost
}
