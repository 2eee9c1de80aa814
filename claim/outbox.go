package claim

import (
	"slices"
	"time"

	"lycheecrank.example/lock"
)

const (
	// maxBatchRecords limits the number of outcomes and, separately, of claims in one
	// append.
	maxBatchRecords = 256
	// maxBatchBytes limits the total size of the outcomes in one append.
	maxBatchBytes = 1 << 20
	// maxQueuedOutputBytes limits the bytes of outputs in one queue, so that all
	// queues together stay within 16 MiB. Further outcomes are queued without
	// their output.
	maxQueuedOutputBytes = 1 << 20
	// recordOverheadBytes is the approximate size of a record without its output.
	recordOverheadBytes = 256
	// While the log is unavailable, the retry delay of outcomes starts at
	// minBackoff and doubles up to maxBackoff, so that hundreds of instances don't
	// overload it.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// outbox queues the records to append, with one queue per stream. Records added
// while an append to their stream is in progress are sent together in the next
// one.
type outbox struct {
	mu     *lock.Ranked
	queues [StreamCount]queue
	// readyStreams holds the numbers of the streams with queued records, each at
	// most once.
	readyStreams chan int
	// maxQueued limits the queued claims and, separately, the queued outcomes of
	// each stream.
	maxQueued int
}

type queue struct {
	claims   []*pendingClaim
	outcomes []*pendingOutcome
	// sending holds the outcomes of the append in progress.
	sending []*pendingOutcome
	// outputBytes is the total size of the outputs in outcomes and sending.
	outputBytes int
	// isScheduled is true from the time the stream is added to readyStreams until
	// its append has ended.
	isScheduled bool
	backoff     time.Duration
	retryTimer  *time.Timer
}

type pendingClaim struct {
	record Record
	// sent is closed when the append has ended and the record may be in the log.
	sent chan struct{}
	// failed is closed if the record is definitely not in the log and never will
	// be.
	failed chan struct{}
}

type pendingOutcome struct {
	record Record
	// done is closed when the record is in the log.
	done chan struct{}
}

// batch holds the records of one append.
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

func newOutbox(maxQueued int) *outbox {
	return &outbox{
		mu:           lock.New(lock.RankClaim, "claim outbox"),
		readyStreams: make(chan int, StreamCount),
		maxQueued:    maxQueued,
	}
}

// schedule adds a stream to readyStreams. The caller must hold mu. It never
// blocks, because the channel has capacity for all streams.
func (o *outbox) schedule(n int) {
	if q := &o.queues[n]; !q.isScheduled {
		q.isScheduled = true
		o.readyStreams <- n
	}
}

// addClaim queues a claim record. It returns false if the queue is full.
func (o *outbox) addClaim(r Record) (*pendingClaim, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := StreamOf(r.Key)
	q := &o.queues[n]
	if len(q.claims) >= o.maxQueued {
		return nil, false
	}
	c := &pendingClaim{record: r, sent: make(chan struct{}), failed: make(chan struct{})}
	q.claims = append(q.claims, c)
	o.schedule(n)
	return c, true
}

// removeClaim removes a claim that is still queued, so that it is never appended.
// It returns false if the claim is no longer queued.
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

// addOutcome queues an outcome record. It returns false if the queue is full.
func (o *outbox) addOutcome(r Record) (*pendingOutcome, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := StreamOf(r.Key)
	q := &o.queues[n]
	if len(q.outcomes) >= o.maxQueued {
		return nil, false
	}
	if q.outputBytes+len(r.Result.Output) > maxQueuedOutputBytes {
		r.Result = r.Result.WithoutOutput()
	}
	q.outputBytes += len(r.Result.Output)
	p := &pendingOutcome{record: r, done: make(chan struct{})}
	q.outcomes = append(q.outcomes, p)
	o.schedule(n)
	return p, true
}

// nextBatch removes and returns the next batch of a stream. The batch is empty if
// nothing is queued.
func (o *outbox) nextBatch(n int) batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.queues[n]
	size, count := 0, 0
	for count < min(len(q.outcomes), maxBatchRecords) && size < maxBatchBytes {
		size += recordOverheadBytes + len(q.outcomes[count].record.Result.Output)
		count++
	}
	b := batch{outcomes: q.outcomes[:count:count]}
	q.outcomes = q.outcomes[count:]
	q.sending = b.outcomes
	// Claims are small, so they are sent even if there is a backlog of outcomes.
	count = min(len(q.claims), maxBatchRecords)
	b.claims = q.claims[:count:count]
	q.claims = q.claims[count:]
	return b
}

// completeBatch ends a successful append.
func (o *outbox) completeBatch(n int, b batch) {
	for _, p := range b.outcomes {
		close(p.done)
	}
	for _, p := range b.claims {
		close(p.sent)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.queues[n]
	for _, p := range b.outcomes {
		q.outputBytes -= len(p.record.Result.Output)
	}
	q.sending, q.isScheduled, q.backoff = nil, false, 0
	if len(q.claims)+len(q.outcomes) > 0 {
		o.schedule(n)
	}
}

// failBatch ends a failed append. Its outcomes are retried after a backoff, or
// earlier with the next claims, because appending an outcome twice has no effect.
// Its claims are not retried.
func (o *outbox) failBatch(n int, b batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &o.queues[n]
	q.outcomes = append(b.outcomes, q.outcomes...)
	q.sending, q.isScheduled = nil, false
	q.backoff = min(max(2*q.backoff, minBackoff), maxBackoff)
	if len(q.claims) > 0 {
		o.schedule(n)
		return
	}
	if len(q.outcomes) == 0 {
		return
	}
	if q.retryTimer != nil {
		q.retryTimer.Stop()
	}
	q.retryTimer = time.AfterFunc(q.backoff, func() { o.retryOutcomes(n) })
}

// retryOutcomes schedules the outcomes of a stream after a backoff.
func (o *outbox) retryOutcomes(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queues[n].outcomes) > 0 {
		o.schedule(n)
	}
}

// pendingOutcomes returns the outcomes that have not been confirmed to be in the
// log.
func (o *outbox) pendingOutcomes() []*pendingOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*pendingOutcome
	for n := range o.queues {
		all = append(all, o.queues[n].sending...)
		all = append(all, o.queues[n].outcomes...)
	}
	return all
}
