package claim

import (
	"slices"
	"time"

	"lycheecrank.example/lock"
)

const (
	// maxBatch and maxBatchBytes bound one append.
	maxBatch      = 256
	maxBatchBytes = 1 << 20
	// maxQueuedOutput bounds the bytes of results that wait in a queue, so that
	// all queues together stay under 16 MiB. Further results wait without their
	// output.
	maxQueuedOutput = 1 << 20
	// recordOverhead is a rough size in bytes of a record without its result.
	recordOverhead = 256
	// Retries of outcomes while the log is down start at minBackoff and double
	// up to maxBackoff, to keep hundreds of instances from loading it.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// outbox holds the records that wait for an append, a queue per stream. Records
// that arrive while an append of their stream is under way leave together with
// the next one.
type outbox struct {
	mu     *lock.Ranked
	queues [Streams]queue
	// ready holds the numbers of streams with work, each at most once.
	ready chan int
	// limit bounds the claims and the outcomes of each stream.
	limit int
}

type queue struct {
	claims   []*pendingClaim
	outcomes []*pendingOutcome
	// sending holds the outcomes of the append under way.
	sending []*pendingOutcome
	// outputBytes counts the results of outcomes and sending.
	outputBytes int
	// scheduled is true from the time the stream is put into ready until its
	// append has ended.
	scheduled bool
	backoff   time.Duration
	timer     *time.Timer
}

type pendingClaim struct {
	record Record
	// failed is closed if the record is certainly not in the log.
	failed chan struct{}
}

type pendingOutcome struct {
	record Record
	// done is closed when the record is in the log.
	done chan struct{}
}

// batch is what one append carries.
type batch struct {
	outcomes []*pendingOutcome
	claims   []*pendingClaim
}

func (b batch) records() []Record {
	records := make([]Record, 0, len(b.outcomes)+len(b.claims))
	for _, o := range b.outcomes {
		records = append(records, o.record)
	}
	for _, c := range b.claims {
		records = append(records, c.record)
	}
	return records
}

func newOutbox(limit int) *outbox {
	return &outbox{
		mu:    lock.New(lock.RankClaim, "claim outbox"),
		ready: make(chan int, Streams),
		limit: limit,
	}
}

// schedule needs mu. It never blocks, as ready has room for all streams.
func (o *outbox) schedule(n int) {
	if q := &o.queues[n]; !q.scheduled {
		q.scheduled = true
		o.ready <- n
	}
}

// addClaim returns false if the queue is full.
func (o *outbox) addClaim(r Record) (*pendingClaim, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := StreamOf(r.Key)
	q := &o.queues[n]
	if len(q.claims) >= o.limit {
		return nil, false
	}
	c := &pendingClaim{record: r, failed: make(chan struct{})}
	q.claims = append(q.claims, c)
	o.schedule(n)
	return c, true
}

// removeClaim reports whether the claim was still waiting; then it will never
// be appended.
func (o *outbox) removeClaim(c *pendingClaim) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.queues[StreamOf(c.record.Key)]
	i := slices.Index(q.claims, c)
	if i < 0 {
		return false
	}
	q.claims = slices.Delete(q.claims, i, i+1)
	return true
}

// addOutcome returns false if the queue is full.
func (o *outbox) addOutcome(r Record) (*pendingOutcome, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := StreamOf(r.Key)
	q := &o.queues[n]
	if len(q.outcomes) >= o.limit {
		return nil, false
	}
	if q.outputBytes+len(r.Result.Output) > maxQueuedOutput {
		r.Result = r.Result.WithoutOutput()
	}
	q.outputBytes += len(r.Result.Output)
	p := &pendingOutcome{record: r, done: make(chan struct{})}
	q.outcomes = append(q.outcomes, p)
	o.schedule(n)
	return p, true
}

// take removes the next batch of a stream.
func (o *outbox) take(n int) batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.queues[n]
	size, count := 0, 0
	for count < min(len(q.outcomes), maxBatch) && size < maxBatchBytes {
		size += recordOverhead + len(q.outcomes[count].record.Result.Output)
		count++
	}
	b := batch{outcomes: q.outcomes[:count:count]}
	q.outcomes = q.outcomes[count:]
	q.sending = b.outcomes
	// Claims are small; they don't wait behind a backlog of outcomes.
	count = min(len(q.claims), maxBatch)
	b.claims = q.claims[:count:count]
	q.claims = q.claims[count:]
	return b
}

// finish ends the append of a batch that is in the log.
func (o *outbox) finish(n int, b batch) {
	for _, p := range b.outcomes {
		close(p.done)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.queues[n]
	for _, p := range b.outcomes {
		q.outputBytes -= len(p.record.Result.Output)
	}
	q.sending, q.scheduled, q.backoff = nil, false, 0
	if len(q.claims)+len(q.outcomes) > 0 {
		o.schedule(n)
	}
}

// postpone ends an append that failed. Outcomes are tried again, alone after a
// pause or with the next claims; repeating them is harmless. Claims are not
// repeated.
func (o *outbox) postpone(n int, b batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.queues[n]
	q.outcomes = append(b.outcomes, q.outcomes...)
	q.sending, q.scheduled = nil, false
	q.backoff = min(max(2*q.backoff, minBackoff), maxBackoff)
	if len(q.claims) > 0 {
		o.schedule(n)
		return
	}
	if len(q.outcomes) == 0 {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timer = time.AfterFunc(q.backoff, func() { o.resume(n) })
}

func (o *outbox) resume(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queues[n].outcomes) > 0 {
		o.schedule(n)
	}
}

// pending returns the outcomes that are not known to be in the log.
func (o *outbox) pending() []*pendingOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*pendingOutcome
	for n := range o.queues {
		all = append(all, o.queues[n].sending...)
		all = append(all, o.queues[n].outcomes...)
	}
	return all
}
