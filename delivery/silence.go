package delivery

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheecrank.example/preparation"
)

// errSilent is the cause of a send that was ended since its server stayed silent.
var errSilent = errors.New("backend server silent")

const (
	// An engine is taken as silent if its first event takes silentFactor times as
	// long as expected and silentSlack more. An engine under load is late by less,
	// and a request that is sent again at once can still be on time.
	silentFactor = 3
	silentSlack  = 600 * time.Millisecond
	// silentPlain takes the place of silentSlack for plain services, whose answers
	// take some tens of milliseconds.
	silentPlain = 300 * time.Millisecond
	// silentShare is the part of the client's patience after which a stream that has
	// begun goes on at another engine.
	silentShare = 0.5
)

// watch ends a send whose engine stays silent. The zero value watches nothing.
type watch struct {
	timer *time.Timer
	// pause is the longest time between two events.
	pause time.Duration
}

// watch returns the context of a send and what watches it. A request that can't go
// on elsewhere is not watched: its engine may still answer.
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

// canGoOn reports whether the request may be sent to one more engine after this
// one.
func (s *streaming) canGoOn(server string) bool {
	reached := len(s.reached)
	if !slices.Contains(s.reached, server) {
		reached++
	}
	return s.routed.route.IsRepeatable() && reached < s.routed.route.Attempts
}

// heard notes that an event has come.
func (w watch) heard() {
	if w.timer != nil && w.timer.Stop() {
		w.timer.Reset(w.pause)
	}
}

// stop ends the watch.
func (w watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// brokenBy returns the error of a send that broke, with the reason if it was ended
// here.
func brokenBy(sending context.Context, err error) error {
	if errors.Is(context.Cause(sending), errSilent) {
		return errors.Join(err, errSilent)
	}
	return err
}
