package intake

import (
	"context"
	"slices"
	"time"

	"lycheecrank.example/event"
)

const (
	// reviewInterval is how often the account is reviewed while requests wait for memory.
	reviewInterval = 50 * time.Millisecond
	// calmTime is how long no request waits before a shortage counts as over, so that the
	// log has one shortage in place of many short ones.
	calmTime = time.Second
	// maxShedLines bounds the log lines about shed requests in a review.
	maxShedLines = 5
	// maxNeedDivisor bounds the memory that one review makes available, as a part of all,
	// so that not all slow requests are shed for a moment of shortage.
	maxNeedDivisor = 4
)

// Run reviews the account during shortages of memory, until the context ends.
func (t *Table) Run(ctx context.Context) error {
	defer t.close()
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		ticker.Stop()
		select {
		case <-t.wake:
		case <-ctx.Done():
			return nil
		}
		ticker.Reset(reviewInterval)
		if !t.runShortage(ctx, ticker.C) {
			return nil
		}
	}
}

// runShortage reviews the account until no request has waited for calmTime. It reports
// false if the context has ended.
func (t *Table) runShortage(ctx context.Context, tick <-chan time.Time) bool {
	began := time.Now()
	before := t.Counters.Values()
	t.Logger.Write(event.IntakeShort, t.Queries().Status().UsedBytes, t.bounds.Memory)
	calmSince := began
	for time.Since(calmSince) < calmTime {
		select {
		case <-tick:
			// The review covers the requests that have begun to wait until now.
			select {
			case <-t.wake:
			default:
			}
			if !t.Review(time.Now()) {
				calmSince = time.Now()
			}
		case <-ctx.Done():
			return false
		}
	}
	after := t.Counters.Values()
	difference := func(name string) int64 { return after[name] - before[name] }
	t.Logger.Write(event.IntakeRecovered, time.Since(began).Milliseconds(), difference("waited"), difference("refused"), difference("shed"))
	return true
}

// Review measures the progress of all requests, sheds those that hold memory without
// progress while others wait for it, and refuses those that have waited for too long, or
// the last one if all wait for each other. It reports whether no request waits any more.
func (t *Table) Review(now time.Time) bool {
	t.mu.Lock()
	requests := make([]*Request, 0, len(t.requests))
	holders := make([]Holder, 0, len(t.requests))
	need := t.need()
	isAnyShed := false
	for r := range t.requests {
		r.progress = r.progress.withSample(r.connection.moved.Load(), now)
		if r.isShed {
			// Its memory is about to be released.
			need -= r.held
			isAnyShed = true
			continue
		}
		requests = append(requests, r)
		holders = append(holders, r.holder())
	}
	var victims []*Request
	var chosen []Holder
	for _, n := range Victims(holders, need, t.areSmallWaiting()) {
		requests[n].isShed = true
		victims, chosen = append(victims, requests[n]), append(chosen, holders[n])
	}
	t.refuseOverdue(now)
	if !isAnyShed && AreDeadlocked(holders) {
		t.refuseLastLarge()
	}
	t.grant()
	isCalm := len(t.waiting) == 0
	t.mu.Unlock()
	for n, r := range victims {
		t.Counters.Add("shed")
		t.Counters.Add("shed." + chosen[n].Phase.String())
		if n < maxShedLines {
			t.Logger.Write(event.RequestShed, r.connection.address, r.connection.class.String(), chosen[n].Phase.String(), chosen[n].Held, int64(chosen[n].Rate))
		}
		r.connection.control.Interrupt(chosen[n].Phase)
	}
	return isCalm
}

// need returns how many bytes have to be released for the requests that wait. The caller
// holds the lock.
func (t *Table) need() int64 {
	need := int64(0)
	for _, w := range t.waiting {
		need += w.bytes
	}
	if need == 0 {
		return 0
	}
	return min(need, t.bounds.Memory/maxNeedDivisor) - max(0, t.bounds.Memory-t.bounds.Reserve-t.used)
}

// areSmallWaiting reports whether a small request waits. The caller holds the lock.
func (t *Table) areSmallWaiting() bool {
	for _, w := range t.waiting {
		if w.isSmall() {
			return true
		}
	}
	return false
}

// refuseOverdue refuses the requests that have waited for too long. The caller holds the
// lock.
func (t *Table) refuseOverdue(now time.Time) {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		w.end(ErrShort)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
}

// refuseLastLarge refuses the large request that was the last to wait, unless it is the
// only one that waits. The caller holds the lock.
func (t *Table) refuseLastLarge() {
	for n := len(t.waiting) - 1; n > 0; n-- {
		if w := t.waiting[n]; w.request.held > smallBytes {
			t.waiting = slices.Delete(t.waiting, n, n+1)
			w.end(ErrShort)
			return
		}
	}
}

// close refuses all requests that wait.
func (t *Table) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isClosed = true
	for _, w := range t.waiting {
		w.end(ErrShort)
	}
	t.waiting = nil
}
