package claim

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"lycheecrank.example/request"
)

// Ticket is the permission to dispatch one call once.
type Ticket struct {
	claimer  *Claimer
	record   Record
	finished atomic.Bool
}

// Key returns the key of the call.
func (t *Ticket) Key() Key { return t.record.Key }

// Finish records the outcome of the call, with its output if it ran. The
// outcome NotRun releases the claim, so it is allowed only if no byte has been
// sent to a server and none will be. Finish waits until the outcome is in the
// log. If the context ends earlier it returns ErrOutcomePending, and the append
// continues in the background. It returns ErrOutcomeDropped if the queue is
// full, and ErrAlreadyFinished after the first call.
func (t *Ticket) Finish(ctx context.Context, o request.Outcome, output []byte) error {
	if t.finished.Swap(true) {
		return eris.Wrap(ErrAlreadyFinished, t.record.Key.String())
	}
	var result Result
	if o == request.Ran {
		result = NewResult(output)
	}
	p, ok := t.claimer.outbox.addOutcome(t.record.WithOutcome(o, result))
	if !ok {
		t.claimer.Counters.Add("outcomeDropped")
		return eris.Wrap(ErrOutcomeDropped, t.record.Key.String())
	}
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ErrOutcomePending, t.record.Key.String())
	}
}

// releaseRecord returns the outcome record that releases a claim whose call has
// not been dispatched and never will be.
func releaseRecord(r Record) Record { return r.WithOutcome(request.NotRun, Result{}) }
