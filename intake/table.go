package intake

import (
	"sync/atomic"
	"time"

	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/lock"
)

// Table is the account of one process. Set the exported fields before Run.
type Table struct {
	// Counters counts refused, closed and waiting requests and connections.
	Counters *counter.Set
	Logger   *event.Logger

	bounds Bounds
	// wake makes Run review the account.
	wake chan struct{}

	mu *lock.Ranked
	// The fields below are guarded by mu.
	used        int64
	connections [classCount]map[*Connection]struct{}
	requests    map[*Request]struct{}
	// waiting holds the requests that wait for memory, in the order of their arrival.
	waiting []*waiter
	// isClosed is set when Run has ended; requests don't wait any more.
	isClosed bool
}

// NewTable returns an empty account.
func NewTable(bounds Bounds) *Table {
	t := &Table{
		Counters: &counter.Set{}, Logger: event.Discard(), bounds: bounds,
		wake: make(chan struct{}, 1), mu: lock.New(lock.RankIntake, "intake"), requests: map[*Request]struct{}{},
	}
	for class := range t.connections {
		t.connections[class] = map[*Connection]struct{}{}
	}
	return t
}

// Commands returns the commands of the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the queries of the table.
func (t *Table) Queries() Queries { return Queries{t} }

// Control has the functions that end a connection. They must not block.
type Control struct {
	// Interrupt ends what the connection does in a phase; in Idle it closes the connection.
	Interrupt func(phase Phase)
	// ClaimIdle reports whether the connection may be closed as idle: no part of a request
	// has arrived, and no answer is being written. After that, no request is read from it
	// any more. ClaimStalled is the same for a connection with a request whose head is slow
	// to arrive.
	ClaimIdle, ClaimStalled func() bool
	// CloseIdle closes the connection if it has no request, and none is arriving whose last
	// bytes came within a time. It reports false if one is arriving.
	CloseIdle func(headTimeout time.Duration) bool
}

// Connection is an open connection.
type Connection struct {
	table   *Table
	class   Class
	address string
	// control has the functions that end the connection.
	control Control
	// moved is the number of bytes that were read and written.
	moved atomic.Int64
	// isWriting is set while a write waits for the client.
	isWriting atomic.Bool

	// The fields below are guarded by the lock of the table. active is the number of
	// requests, and idleSince is when the last one ended or the connection was opened.
	active    int
	idleSince time.Time
	// isClosed is set when the connection is no longer counted.
	isClosed bool
}

// AddMoved records that bytes were read from the client or written to it.
func (c *Connection) AddMoved(bytes int) { c.moved.Add(int64(bytes)) }

// SetWriting records whether a write waits for the client.
func (c *Connection) SetWriting(isWriting bool) { c.isWriting.Store(isWriting) }

// Request is a request, or a message of another instance, that takes up memory. A nil
// request isn't accounted for.
type Request struct {
	connection *Connection

	// The fields below are guarded by the lock of the table.
	phase Phase
	held  int64
	// isHead is set if only a part of the head has arrived.
	isHead bool
	// isWaiting is set while the request waits for memory.
	isWaiting bool
	isShed    bool
	isEnded   bool
	progress  progress
}

// holder returns the request as the choice of victims sees it. The caller holds the lock.
func (r *Request) holder() Holder {
	isSlow := r.progress.isSlow && (r.phase != Sending || r.connection.isWriting.Load())
	return Holder{Phase: r.phase, Held: r.held, IsSlow: isSlow, Rate: r.progress.rate, IsWaiting: r.isWaiting}
}

// progress is the progress of a connection over a sample. It is an immutable value.
type progress struct {
	sampledAt time.Time
	// moved is the number of bytes at sampledAt.
	moved  int64
	rate   float64
	isSlow bool
}

// withSample returns the progress at a time. It is unchanged within sampleTime.
func (p progress) withSample(moved int64, now time.Time) progress {
	passed := now.Sub(p.sampledAt)
	if passed < sampleTime {
		return p
	}
	rate := float64(moved-p.moved) / passed.Seconds()
	return progress{sampledAt: now, moved: moved, rate: rate, isSlow: rate < minProgress}
}

// waiter is a request that waits for memory.
type waiter struct {
	request *Request
	bytes   int64
	until   time.Time
	// done gets the result.
	done chan error
}

func (w *waiter) isSmall() bool { return w.request.held+w.bytes <= smallBytes }

// fits reports whether a request may grow by a number of bytes.
func (t *Table) fits(r *Request, bytes int64) bool {
	return t.bounds.fits(t.used, r.held, bytes)
}

// grow counts bytes for a request. The caller holds the lock.
func (t *Table) grow(r *Request, bytes int64) {
	t.used += bytes
	r.held += bytes
}

// shrink deducts bytes from a request and gives them to those that wait. The caller holds
// the lock.
func (t *Table) shrink(r *Request, bytes int64) {
	t.used -= bytes
	r.held -= bytes
	if len(t.waiting) > 0 {
		t.grant()
	}
}

// grant lets the requests grow whose memory is available, in the order in which they began
// to wait. Only small requests overtake one that has to wait on. The caller holds the lock.
func (t *Table) grant() {
	kept := t.waiting[:0]
	isBlocked := false
	for _, w := range t.waiting {
		if w.request.isEnded {
			w.end(ErrShed)
			continue
		}
		if (isBlocked && !w.isSmall()) || !t.fits(w.request, w.bytes) {
			isBlocked = true
			kept = append(kept, w)
			continue
		}
		t.grow(w.request, w.bytes)
		w.end(nil)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
}

// end ends the wait. Its client could not make progress meanwhile, so that a new sample
// begins. The caller holds the lock of the table and removes the waiter.
func (w *waiter) end(err error) {
	r := w.request
	r.isWaiting = false
	r.progress = progress{sampledAt: time.Now(), moved: r.connection.moved.Load()}
	w.done <- err
}
