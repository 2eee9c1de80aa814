package delivery

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheecrank.example/preparation"
)

// errSilent is the cause of the cancellation of a send whose server is silent.
var errSilent = errors.New("backend server sent nothing for too long")

const (
	// An engine counts as silent if its first event takes longer than silentFactor
	// times the expected time plus silentSlack. Engines under load exceed the expected
	// time by less than that, and a request that is sent to another engine after that
	// time can still meet its objective.
	silentFactor = 3
	silentSlack  = 600 * time.Millisecond
	// silentSlackPlain replaces silentSlack for servers of pools without engines, whose
	// answers take some tens of milliseconds.
	silentSlackPlain = 300 * time.Millisecond
	// silentIdleShare is the share of the client's idle timeout after which a stream that
	// has started is moved to another engine.
	silentIdleShare = 0.5
	// stalledSlack is how long after the client's idle timeout a stream ends that can't be
	// sent to another engine. The client normally disconnects before.
	stalledSlack = 500 * time.Millisecond
)

// silenceTimer cancels a send whose engine is silent. The zero value does nothing.
type silenceTimer struct {
	timer *time.Timer
	// maxPause is the longest time allowed between two events.
	maxPause time.Duration
}

// startSilenceTimer returns the context of a send and the timer that cancels the context.
// Only numbered events restart the timer, so that a stalled engine that sends some bytes
// now and then counts as silent. A request that can't be sent to another engine waits as
// long as its client does, because its engine may still answer.
func (s *preparedAttempt) startSilenceTimer(ctx context.Context, placement preparation.Placement) (context.Context, context.CancelFunc, silenceTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	cancelSend := func() { cancel(context.Canceled) }
	idle, ok := idleTimeout(s.routed.route)
	if !ok {
		return ctx, cancelSend, silenceTimer{}
	}
	first, maxPause := time.Until(s.lastEventAt.Add(idle+stalledSlack)), idle+stalledSlack
	if s.canRetryElsewhere(placement.Server) {
		first = silentFactor*placement.ExpectedFirstEvent + silentSlack
		maxPause = time.Duration(silentIdleShare * float64(idle))
	}
	return ctx, cancelSend, silenceTimer{
		timer:    time.AfterFunc(first, func() { cancel(errSilent) }),
		maxPause: maxPause,
	}
}

// canRetryElsewhere reports whether the request may be sent to another engine if the
// given one fails.
func (s *preparedAttempt) canRetryElsewhere(server string) bool {
	reached := len(s.reached)
	if !slices.Contains(s.reached, server) {
		reached++
	}
	return s.routed.route.IsRepeatable() && reached < s.routed.route.MaxServers
}

// restart restarts the timer after an event.
func (w silenceTimer) restart() {
	if w.timer != nil && w.timer.Stop() {
		w.timer.Reset(w.maxPause)
	}
}

// stop stops the timer.
func (w silenceTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// withSilence returns the error of a failed send, joined with errSilent if the send was
// cancelled for that cause.
func withSilence(sendCtx context.Context, err error) error {
	if errors.Is(context.Cause(sendCtx), errSilent) {
		return errors.Join(err, errSilent)
	}
	return err
}
