package claim

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/request"
	"lycheecrank.example/worker"
)

// expiryInterval is the interval at which expired keys are deleted.
const expiryInterval = time.Minute

// tailGrace is the time that the tail of a stream has to deliver a claim after its
// append, before the stream is read.
const tailGrace = 100 * time.Millisecond

// Claimer claims keys for the calls of one instance. Set the exported fields
// before Run. Concurrent calls of Claim are safe.
type Claimer struct {
	// Append adds records to a stream of the log in one append. Its error wraps
	// ErrNotAppended if the records are definitely not in the log and never will
	// be.
	Append func(ctx context.Context, stream string, records []Record) error
	// Read reads a stream of the log up to its current end and applies the records to
	// the table. The tail of the stream may be late.
	Read func(ctx context.Context, stream string) error
	// NewID returns a unique identifier for a new claim.
	NewID func() ID
	// Instance and Incarnation identify this process in its claims.
	Instance    string
	Incarnation string
	// ClaimTimeout limits the time from the start of a claim until it is read back.
	ClaimTimeout time.Duration
	// AppendTimeout limits the duration of one append.
	AppendTimeout time.Duration
	// Workers is the maximum number of concurrent appends.
	Workers int
	// Events logs the claims that could not be read back.
	Events *event.Logger
	// Counters counts failed appends, dropped outcomes, and the results of Claim by
	// reason.
	Counters *counter.Set

	table    *Table
	commands Commands
	queries  Queries
	outbox   *outbox
}

// maxQueuedPerStream limits the queued claims and, separately, the queued outcomes
// of each stream.
const maxQueuedPerStream = 512

// NewClaimer returns a claimer that uses a table to which the caller applies the
// tails of the claim streams. Its Read does nothing. Claims and appends time out
// after 2 s, and there is one worker per stream.
func NewClaimer(t *Table, appendRecords func(ctx context.Context, stream string, records []Record) error) *Claimer {
	return &Claimer{
		Append:        appendRecords,
		Read:          func(context.Context, string) error { return nil },
		NewID:         NewID,
		ClaimTimeout:  2 * time.Second,
		AppendTimeout: 2 * time.Second,
		Workers:       StreamCount,
		Events:        event.Discard(),
		Counters:      counter.NewSet("claims"),
		table:         t,
		commands:      t.Commands(),
		queries:       t.Queries(),
		outbox:        newOutbox(maxQueuedPerStream),
	}
}

// Run appends queued records and deletes expired keys until the context ends. It
// returns after the appends in progress have ended. To append all queued outcomes
// before a stop, call Flush before the context ends.
func (c *Claimer) Run(ctx context.Context) error {
	var group errgroup.Group
	pool := worker.Pool[int]{Size: c.Workers, Next: c.nextStream, Execute: c.appendBatch}
	group.Go(func() error { return pool.Run(ctx, context.WithoutCancel(ctx)) })
	group.Go(func() error { return c.maintain(ctx) })
	return group.Wait()
}

func (c *Claimer) nextStream(ctx context.Context) (int, bool) {
	select {
	case n := <-c.outbox.readyStreams:
		return n, true
	case <-ctx.Done():
		return 0, false
	}
}

func (c *Claimer) appendBatch(ctx context.Context, n int) {
	b := c.outbox.nextBatch(n)
	records := b.records()
	if len(records) == 0 {
		c.outbox.completeBatch(n, b)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.AppendTimeout)
	defer cancel()
	err := c.Append(ctx, StreamName(n), records)
	if err == nil {
		c.outbox.completeBatch(n, b)
		return
	}
	c.Counters.Add("appendFailed")
	for _, p := range b.claims {
		if errors.Is(err, ErrNotAppended) {
			close(p.failed)
		} else {
			close(p.sent)
		}
	}
	c.outbox.failBatch(n, b)
}

// maintain queues the outcomes that release abandoned claims, and deletes expired
// keys.
func (c *Claimer) maintain(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.commands.Expire(time.Now())
		case <-c.table.releaseAdded:
			for _, r := range c.commands.popReleases() {
				if _, ok := c.outbox.addOutcome(r); !ok {
					c.Counters.Add("outcomeDropped")
				}
			}
		}
	}
}

// Flush waits until all outcomes that are queued or being appended at the time of
// the call are in the log. It returns ErrOutcomePending if the context ends
// earlier.
func (c *Claimer) Flush(ctx context.Context) error {
	for _, p := range c.outbox.pendingOutcomes() {
		select {
		case <-p.done:
		case <-ctx.Done():
			return eris.Wrap(ErrOutcomePending, "flush outcomes")
		}
	}
	return nil
}

// Claim claims a key for a request. If the error is nil, the caller may dispatch
// the call once and must call Ticket.Finish. Otherwise the error is
// AlreadyRanError or a request.Failure with ReasonKeyMismatch,
// ReasonKeyInProgress, ReasonOutcomeUnknown, ReasonKeyOutsideWindow or
// ReasonClaimLogUnavailable, and the caller must not dispatch the call. Claim
// returns within ClaimTimeout.
func (c *Claimer) Claim(ctx context.Context, k Key, workspace string, digest Digest) (*Ticket, error) {
	ticket, err := c.claim(ctx, k, workspace, digest)
	c.Counters.Add(counterName(err))
	return ticket, err
}

func (c *Claimer) claim(ctx context.Context, k Key, workspace string, digest Digest) (*Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, c.ClaimTimeout)
	defer cancel()
	if err := c.conflict(ctx, k, workspace, digest); err != nil {
		return nil, err
	}
	if !c.table.Window.Contains(k, time.Now()) {
		return nil, refuseOutsideWindow()
	}
	if !c.queries.HasAllRecords(k) {
		return nil, refuseIncomplete()
	}
	r := Record{
		Kind: KindClaim, Key: k, ClaimID: c.NewID(), Workspace: workspace, RequestDigest: digest,
		Instance: c.Instance, Incarnation: c.Incarnation,
	}
	if err := c.appendAndWait(ctx, r); err != nil {
		return nil, err
	}
	return &Ticket{claimer: c, record: r}, nil
}

// conflict returns the error for a new call with a key whose state does not allow
// one. A key that appears to be running may have an outcome that has not arrived at
// the tail of its stream, so that the stream is read to its end before the refusal.
func (c *Claimer) conflict(ctx context.Context, k Key, workspace string, digest Digest) error {
	st, _ := c.queries.State(k)
	err := st.conflict(workspace, digest)
	if !errors.Is(err, request.ReasonKeyInProgress) {
		return err
	}
	if readErr := c.Read(ctx, StreamName(StreamOf(k))); readErr != nil {
		c.Events.Write(event.ClaimsUnread, k.String(), readErr)
		return err
	}
	st, _ = c.queries.State(k)
	return st.conflict(workspace, digest)
}

// appendAndWait appends a claim, waits until it is read back from its stream, and
// decides it. It returns nil if the claim won.
func (c *Claimer) appendAndWait(ctx context.Context, r Record) error {
	applied := c.commands.trackClaim(r)
	pending, ok := c.outbox.addClaim(r)
	if !ok {
		c.commands.untrackClaim(r.ClaimID)
		return refuseUnavailable("too many claims are queued for the log")
	}
	select {
	case <-applied:
	case <-pending.sent:
		c.readBack(ctx, r.Key, applied)
	case <-pending.failed:
		c.commands.untrackClaim(r.ClaimID)
		return refuseUnavailable("the claim record was not appended to the log")
	case <-ctx.Done():
		if c.outbox.removeClaim(pending) {
			c.commands.untrackClaim(r.ClaimID)
			return refuseUnavailable("the claim was not sent to the log in time")
		}
	}
	d := c.commands.decide(r.ClaimID, r.Key, ctx.Err() == nil)
	if d.won {
		return nil
	}
	err := d.refusal(r)
	if errors.Is(err, request.ReasonClaimLogUnavailable) {
		c.Events.Write(event.ClaimUndecided, r.Key.String(), err)
	}
	return err
}

// readBack waits until a claim that was sent to the log is applied or the context
// ends. It reads the stream if the tail does not deliver the claim soon, because a tail
// that failed is opened again only after a pause.
func (c *Claimer) readBack(ctx context.Context, k Key, applied <-chan struct{}) {
	timer := time.NewTimer(tailGrace)
	defer timer.Stop()
	select {
	case <-applied:
		return
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	c.Counters.Add("readBack")
	if err := c.Read(ctx, StreamName(StreamOf(k))); err != nil {
		c.Events.Write(event.ClaimsUnread, k.String(), err)
	}
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// refusal returns the error for a claim that did not win.
func (d decision) refusal(r Record) error {
	if !d.state.isHeldBy(r.ClaimID) {
		if err := d.state.conflict(r.Workspace, r.RequestDigest); err != nil {
			return err
		}
	}
	switch {
	case !d.isInWindow:
		return refuseOutsideWindow()
	case !d.hasAllRecords:
		return refuseIncomplete()
	}
	return refuseUnavailable("the claim was not read back from the log in time")
}

func refuseIncomplete() error {
	return refuseUnavailable("this instance may have missed claims of the key: it has not started to read their stream, or earlier records have expired from the log")
}

// counterName returns the name of the counter for an error of Claim.
func counterName(err error) string {
	var ran AlreadyRanError
	switch {
	case err == nil:
		return "won"
	case errors.As(err, &ran):
		return "alreadyRan"
	}
	return string(request.AsFailure(err).Reason)
}
