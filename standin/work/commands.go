package work

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/rotisserie/eris"
)

// These bound what an engine remembers for Resume and for CacheEvents.
const (
	attemptsKept = 4096
	eventsKept   = 4096
)

// Commands changes a server. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// NewCommands returns the commands of a table.
func NewCommands(t *Table) *Commands { return &Commands{table: t} }

// Begin takes a slot for a request. The returned context ends with ErrFellOver
// as its cause when the server falls over. The caller calls end once, with
// whether the request succeeded. Begin returns ErrCold, ErrOverloaded,
// ErrLeaving, or ErrFellOver for the request that was one too many.
func (c *Commands) Begin(ctx context.Context) (work context.Context, end func(succeeded bool), err error) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	if err := c.admit(); err != nil {
		return nil, nil, err
	}
	work, cancel := context.WithCancelCause(ctx)
	t.started++
	number := t.started
	t.running[number] = cancel
	t.setLoad(t.load.WithRunning(1))
	t.raise("mostInFlight", int64(t.load.Running))
	if t.load.Cold() {
		t.raise("mostInFlightCold", int64(t.load.Running))
	}
	return work, func(succeeded bool) { c.end(number, succeeded) }, nil
}

// admit decides about a request while the lock is held.
func (c *Commands) admit() error {
	t := c.table
	switch {
	case t.stopping:
		t.counts["refusedLeaving"]++
		return ErrLeaving
	case time.Now().Before(t.fallenUntil):
		t.counts["refusedCold"]++
		return ErrCold
	case t.load.Cold() && t.load.Running+1 > t.limits.ColdInFlight:
		c.fallOver()
		return ErrFellOver
	case t.load.Running+1 > t.limits.MaxInFlight:
		t.counts["refusedOverload"]++
		return ErrOverloaded
	}
	if t.load.Leaving {
		t.counts["startedWhileLeaving"]++
		t.raise("lastStartWhileLeavingMs", time.Since(t.leavingSince).Milliseconds())
	}
	t.counts["started"]++
	return nil
}

func (c *Commands) fallOver() {
	t := c.table
	t.counts["fellOver"]++
	t.fallenUntil = time.Now().Add(t.limits.FallenFor)
	for _, cancel := range t.running {
		cancel(ErrFellOver)
	}
	t.setLoad(t.load.WithCold(t.limits.ColdForRequests))
}

func (c *Commands) end(number uint64, succeeded bool) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	cancel, ok := t.running[number]
	if !ok {
		return
	}
	cancel(nil)
	delete(t.running, number)
	l := t.load.WithRunning(-1)
	if succeeded {
		l = l.WithSuccess()
		t.counts["succeeded"]++
	}
	t.setLoad(l)
}

// Cool makes the server cold until enough requests have succeeded.
func (c *Commands) Cool() {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	t.setLoad(t.load.WithCold(t.limits.ColdForRequests))
}

// SetLeaving says whether the server reports that it is leaving. It goes on
// taking work.
func (c *Commands) SetLeaving(leaving bool) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	if leaving && !t.load.Leaving {
		t.leavingSince = time.Now()
	}
	t.setLoad(t.load.WithLeaving(leaving))
}

// Stop refuses new work from now on.
func (c *Commands) Stop() {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	t.stopping = true
	t.setLoad(t.load.WithLeaving(true))
}

// StartAttempt remembers an attempt. A repeated one runs beside the first, as
// engines don't deduplicate.
func (c *Commands) StartAttempt(id Identity, a Attempt) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	if _, known := t.attempts[id]; known {
		t.counts["attemptsRepeated"]++
	} else {
		t.remembered = append(t.remembered, id)
	}
	t.attempts[id] = a
	if len(t.remembered) > attemptsKept {
		delete(t.attempts, t.remembered[0])
		t.remembered = t.remembered[1:]
	}
}

// InterruptAttempt ends the stream of an attempt, so that another one can
// continue it. It returns ErrUnknown or ErrCancelled.
func (c *Commands) InterruptAttempt(id Identity) (Attempt, error) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	a, ok := t.attempts[id]
	if !ok {
		return a, eris.Wrap(ErrUnknown, "resume")
	}
	if a.Cancelled {
		return a, eris.Wrap(ErrCancelled, "resume")
	}
	a.stop(ErrTakenOver)
	return a, nil
}

// ContinueAttempt gives an attempt another stream.
func (c *Commands) ContinueAttempt(id Identity, stop context.CancelCauseFunc, ended <-chan struct{}) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts["resumed"]++
	if a, ok := t.attempts[id]; ok {
		t.attempts[id] = a.WithStream(stop, ended)
	}
}

// Produce records how many pieces of an attempt exist.
func (c *Commands) Produce(id Identity, pieces int) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	if a, ok := t.attempts[id]; ok {
		t.attempts[id] = a.WithProduced(pieces)
	}
}

// CancelAttempt stops an attempt and reports whether it is known.
func (c *Commands) CancelAttempt(id Identity) bool {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	a, ok := t.attempts[id]
	if !ok {
		return false
	}
	a.stop(ErrCancelled)
	t.counts["cancelled"]++
	t.attempts[id] = a.WithCancelled()
	return true
}

// CachePrefix enters the prefix of a prompt into the cache and reports whether
// it was there.
func (c *Commands) CachePrefix(prompt []byte) bool {
	t := c.table
	prefix, digest := Prefix(prompt)
	t.lock.Lock()
	defer t.lock.Unlock()
	if _, ok := t.prefixes[string(digest)]; ok {
		t.counts["prefixHits"]++
		return true
	}
	c.cache(digest, prefix)
	return false
}

// cache adds a prefix while the lock is held and evicts the oldest one if the
// cache is full.
func (c *Commands) cache(digest, prefix []byte) {
	t := c.table
	if _, ok := t.prefixes[string(digest)]; ok {
		return
	}
	t.prefixes[string(digest)] = string(prefix)
	t.cached = append(t.cached, string(digest))
	c.recordEvent(digest, false)
	if len(t.cached) > t.limits.CachedPrefixes {
		oldest := t.cached[0]
		t.cached = t.cached[1:]
		delete(t.prefixes, oldest)
		c.recordEvent([]byte(oldest), true)
	}
}

func (c *Commands) recordEvent(digest []byte, evicted bool) {
	t := c.table
	t.lastEvent++
	t.events = append(t.events, CacheEvent{Number: t.lastEvent, Digest: digest, Evicted: evicted, At: time.Now()})
	if len(t.events) > eventsKept {
		t.events = t.events[1:]
	}
	close(t.moreEvents)
	t.moreEvents = make(chan struct{})
}

// ImportPrefix takes a prefix that another engine exported. It returns
// ErrCorrupt if the digest is not that of the prefix.
func (c *Commands) ImportPrefix(digest, prefix []byte) error {
	if sum := sha256.Sum256(prefix); !bytes.Equal(sum[:], digest) {
		return eris.Wrap(ErrCorrupt, "import")
	}
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	c.cache(digest, prefix)
	return nil
}

// Order accepts an order and returns the fencing number in force. It returns
// ErrFenced for an old number if the server honours fencing.
func (c *Commands) Order(fence uint64) (uint64, error) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	if fence < t.fence {
		if t.limits.HonourFencing {
			t.counts["ordersFenced"]++
			return t.fence, eris.Wrapf(ErrFenced, "%d after %d", fence, t.fence)
		}
		t.counts["oldOrdersAccepted"]++
	}
	t.counts["ordersAccepted"]++
	t.fence = max(t.fence, fence)
	return fence, nil
}

// File adds to the total of a subject. A key identifies a call that may not be
// repeated; a second execution is counted and filed all the same, since plain
// services don't deduplicate.
func (c *Commands) File(key, operation, subject string, n int64) Total {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts["executed"]++
	if key != "" {
		t.executions[key]++
		if t.executions[key] == 2 {
			t.counts["executedTwice"]++
		}
	}
	total := t.totals[subject]
	total.Subject = subject
	t.totals[subject] = total.WithFiled(operation, n)
	return t.totals[subject]
}
