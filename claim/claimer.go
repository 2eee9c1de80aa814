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

// expiryInterval is how often keys past the window are forgotten.
const expiryInterval = time.Minute

// Claimer claims keys for calls of one instance. Set the exported fields
// before Run. Concurrent calls of Claim are safe.
type Claimer struct {
	// Append adds records to a stream of the log in one append. It wraps
	// ErrNotAppended if the records are certainly not in the log.
	Append func(ctx context.Context, stream string, records []Record) error
	// NewID makes the identifiers of claims; they must be unique.
	NewID func() ID
	// Instance and Incarnation name this process in its claims.
	Instance    string
	Incarnation string
	// Patience bounds the time from the start of a claim until it was read back.
	Patience time.Duration
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// Workers is the number of appends at a time.
	Workers int
	// Events gets the claims that could not be read back.
	Events *event.Logger
	// Counters counts the answers of Claim by reason, and lost outcomes.
	Counters *counter.Set

	table    *Table
	commands Commands
	queries  Queries
	outbox   *outbox
}

// queueLimit bounds the claims and the outcomes that wait for the log, each
// per stream.
const queueLimit = 512

// NewClaimer returns a claimer over a table that is fed from the tails of the
// claim streams, with a patience of 2 s, appends of up to 2 s and a worker for
// each stream.
func NewClaimer(t *Table, appendTo func(ctx context.Context, stream string, records []Record) error) *Claimer {
	return &Claimer{
		Append:        appendTo,
		NewID:         NewID,
		Patience:      2 * time.Second,
		AppendTimeout: 2 * time.Second,
		Workers:       Streams,
		Events:        event.Discard(),
		Counters:      counter.NewSet("claims"),
		table:         t,
		commands:      t.Commands(),
		queries:       t.Queries(),
		outbox:        newOutbox(queueLimit),
	}
}

// Run appends what waits and forgets old keys until the context ends. Appends
// under way are finished. Call Flush first to have all outcomes in the log.
func (c *Claimer) Run(ctx context.Context) error {
	var group errgroup.Group
	pool := worker.Pool[int]{Size: c.Workers, Next: c.next, Execute: c.send}
	group.Go(func() error { return pool.Run(ctx, context.WithoutCancel(ctx)) })
	group.Go(func() error { return c.maintain(ctx) })
	return group.Wait()
}

func (c *Claimer) next(ctx context.Context) (int, bool) {
	select {
	case n := <-c.outbox.ready:
		return n, true
	case <-ctx.Done():
		return 0, false
	}
}

func (c *Claimer) send(ctx context.Context, n int) {
	b := c.outbox.take(n)
	records := b.records()
	if len(records) == 0 {
		c.outbox.finish(n, b)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.AppendTimeout)
	defer cancel()
	err := c.Append(ctx, StreamName(n), records)
	if err == nil {
		c.outbox.finish(n, b)
		return
	}
	c.Counters.Add("appendFailed")
	if errors.Is(err, ErrNotAppended) {
		for _, p := range b.claims {
			close(p.failed)
		}
	}
	c.outbox.postpone(n, b)
}

// maintain appends the outcomes of abandoned claims and forgets old keys.
func (c *Claimer) maintain(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.commands.Expire(time.Now())
		case <-c.table.withdrawn:
			for _, r := range c.commands.takeWithdrawals() {
				if _, ok := c.outbox.addOutcome(r); !ok {
					c.Counters.Add("outcomeDropped")
				}
			}
		}
	}
}

// Flush waits until the outcomes that are under way now are in the log, or the context
// ends.
func (c *Claimer) Flush(ctx context.Context) error {
	for _, p := range c.outbox.pending() {
		select {
		case <-p.done:
		case <-ctx.Done():
			return eris.Wrap(ErrOutcomePending, "flush")
		}
	}
	return nil
}

// Claim claims a key for a request. With a nil error the caller has the right
// to dispatch the call once and must finish the ticket. The error is AlreadyRan
// or a request.Failure with ReasonKeyMismatch, ReasonKeyRunning,
// ReasonOutcomeUnknown, ReasonKeyOutsideWindow or ReasonClaimLogUnavailable.
// After an error no dispatch follows from this claim. Claim takes at most
// Patience.
func (c *Claimer) Claim(ctx context.Context, k Key, workspace string, digest Digest) (*Ticket, error) {
	ticket, err := c.claim(ctx, k, workspace, digest)
	c.Counters.Add(answerName(err))
	return ticket, err
}

func (c *Claimer) claim(ctx context.Context, k Key, workspace string, digest Digest) (*Ticket, error) {
	if st, ok := c.queries.State(k); ok {
		if err := st.answer(workspace, digest); err != nil {
			return nil, err
		}
	}
	if !c.table.Window.Holds(k, time.Now()) {
		return nil, refuseOutsideWindow()
	}
	if !c.queries.IsComplete(k) {
		return nil, refuseIncomplete()
	}
	r := Record{
		Kind: KindClaim, Key: k, Claim: c.NewID(), Workspace: workspace, Digest: digest,
		Instance: c.Instance, Incarnation: c.Incarnation,
	}
	if err := c.readBack(ctx, r); err != nil {
		return nil, err
	}
	return &Ticket{claimer: c, record: r}, nil
}

// readBack appends a claim and waits until the tail has shown it. It returns
// nil if the claim has won.
func (c *Claimer) readBack(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, c.Patience)
	defer cancel()
	applied := c.commands.watch(r)
	pending, ok := c.outbox.addClaim(r)
	if !ok {
		c.commands.unwatch(r.Claim)
		return refuseUnavailable("too many claims wait for the log")
	}
	select {
	case <-applied:
	case <-pending.failed:
		c.commands.unwatch(r.Claim)
		return refuseUnavailable("the log refused the claim")
	case <-ctx.Done():
		if c.outbox.removeClaim(pending) {
			c.commands.unwatch(r.Claim)
			return refuseUnavailable("the log took no claim in time")
		}
	}
	v := c.commands.decide(r.Claim, r.Key, ctx.Err() == nil)
	if v.won {
		return nil
	}
	err := v.refusal(r)
	if errors.Is(err, request.ReasonClaimLogUnavailable) {
		c.Events.Write(event.ClaimUndecided, r.Key.String(), err)
	}
	return err
}

// refusal tells why a claim has not won.
func (v verdict) refusal(r Record) error {
	if !v.state.isHeldBy(r.Claim) {
		if err := v.state.answer(r.Workspace, r.Digest); err != nil {
			return err
		}
	}
	switch {
	case !v.inWindow:
		return refuseOutsideWindow()
	case !v.complete:
		return refuseIncomplete()
	}
	return refuseUnavailable("the claim was not read back in time")
}

func refuseIncomplete() error {
	return refuseUnavailable("this instance has not read all claims of the time of the key")
}

// answerName names an answer of Claim for its counter.
func answerName(err error) string {
	var ran AlreadyRan
	switch {
	case err == nil:
		return "won"
	case errors.As(err, &ran):
		return "alreadyRan"
	}
	return string(request.AsFailure(err).Reason)
}
