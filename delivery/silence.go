package delivery

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheecrank.example/preparation"
)

// errSilent is the cause of the cancellation of a send whose server sent nothing
// for too long.
var errSilent = errors.New("backend server sent nothing for too long")

const (
	// An engine counts as silent if its first event takes longer than silentFactor
	// times the expected time plus silentSlack. Engines under load exceed the
	// expected time by less, and a request that is then sent again at once can still
	// be on time.
	silentFactor = 3
	silentSlack  = 600 * time.Millisecond
	// silentPlain replaces silentSlack for servers of pools without engines, whose
	// answers take some tens of milliseconds.
	silentPlain = 300 * time.Millisecond
	// silentShare is the share of the client's idle timeout after which a stream that
	// has started is moved to another engine.
	silentShare = 0.5
)

// watch cancels a send whose engine is silent. The zero value does nothing.
type watch struct {
	timer *time.Timer
	// pause is the longest time allowed between two events.
	pause time.Duration
}

// watch returns the context of a send and the timer that cancels it. A request that
// can't be sent to another engine gets no timer, because its engine may still
// answer.
func (s *streaming) watch(ctx context.Context, p preparation.Placement) (context.Context, context.CancelFunc, watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(context.Canceled) }
	wait, ok := patience(s.routed.route)
	if !ok || !s.canGoOn(p.Server) {
		return ctx, stop, watch{}
	}
	first := silentFactor*p.Expected + silentSlack
	return ctx, stop, watch{
		timer: time.AfterFunc(first, func() { cancel(errSilent) }),
		pause: time.Duration(silentShare * float64(wait)),
	}
}

// canGoOn reports whether the request may be sent to another engine after this one.
func (s *streaming) canGoOn(server string) bool {
	reached := len(s.reached)
	if !slices.Contains(s.reached, server) {
		reached++
	}
	return s.routed.route.IsRepeatable() && reached < s.routed.route.Attempts
}

// heard restarts the timer after an event.
func (w watch) heard() {
	if w.timer != nil && w.timer.Stop() {
		w.timer.Reset(w.pause)
	}
}

// stop stops the timer.
func (w watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// brokenBy returns the error of a failed send, joined with errSilent if the send was
// cancelled for that cause.
func brokenBy(sending context.Context, err error) error {
	if errors.Is(context.Cause(sending), errSilent) {
		return errors.Join(err, errSilent)
	}
	return err
}
