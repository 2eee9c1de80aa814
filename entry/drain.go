package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/delivery"
	"lycheecrank.example/drain"
	"lycheecrank.example/event"
	"lycheecrank.example/frontend"
)

const (
	// defaultGrace is the grace period if the settings have none.
	defaultGrace = 8 * time.Second
	// closeInterval is how often an instance that shuts down closes idle connections, and
	// answerInterval how often it checks whether its final answers are written.
	closeInterval  = 50 * time.Millisecond
	answerInterval = 5 * time.Millisecond
	// lastHeadTimeout is how long the final answers wait for the next bytes of a request.
	lastHeadTimeout = 200 * time.Millisecond
)

// drain shuts the instance down within its grace period, by a schedule of package drain,
// and passes on what its requests have shown of crashes. It ends the upkeep of the tables
// before the final answers, so that these get the processor. Clients that are connected get
// an answer to each request, which http.Server.Shutdown doesn't guarantee: it closes
// connections from which a request is being read.
func (i *Instance) drain(front *http.Server, clients clientListener, stopUpkeep context.CancelFunc, stopAttempts context.CancelCauseFunc) drain.Schedule {
	grace := time.Duration(i.grace.Load())
	if grace <= 0 {
		grace = defaultGrace
	}
	now := time.Now()
	schedule := i.PlanStop(now, grace)
	i.stopSchedule.Store(&schedule)
	i.leavingAt.Store(i.instant(now))
	i.Logger.Write(event.Leaving, "signal")
	i.members.Commands().MarkLeaving()
	i.triggerHeartbeats()
	i.sendAnswerBy(schedule)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.CloseBy)
	defer cancel()
	answering, stopAnswering := context.WithDeadline(ctx, schedule.AnswerBy)
	defer stopAnswering()
	i.unregister(answering)
	pause(answering, time.Until(schedule.AdmitAllUntil))
	var closing errgroup.Group
	closing.Go(func() error { return frontend.CloseListener(answering, clients.Listener) })
	for clients.isServing() || i.openConnections.Load() > 0 {
		i.frontend.CloseIdle(time.Now().Add(-frontend.HeadTimeout), frontend.HeadTimeout)
		if !pause(answering, closeInterval) {
			break
		}
	}
	_ = closing.Wait()
	i.logAnswersDue(schedule)
	dueAt := time.Now()
	stopUpkeep()
	stopAttempts(delivery.ErrStopping)
	for i.frontend.CloseIdle(time.Now(), lastHeadTimeout) > 0 || i.frontend.Serving() > 0 {
		if !pause(ctx, answerInterval) {
			break
		}
	}
	cutOff := i.attempts.Queries().Attempts()
	i.Logger.Write(event.AnswersWritten, time.Since(dueAt).Milliseconds(), len(cutOff))
	for _, a := range cutOff {
		i.Logger.Write(event.AttemptCutOff, a.ID, a.Phase.String(), time.Since(a.ArrivedAt).Milliseconds())
	}
	_ = front.Close()
	i.notices.awaitDelivery(ctx)
	i.passOnQuarantine(ctx)
	i.Logger.Write(event.Stopped, len(cutOff))
	return schedule
}

// clientListener is the listener of clients, and the end of the server's use of it.
type clientListener struct {
	net.Listener
	served <-chan struct{}
}

// isServing reports whether connections may still be accepted that aren't counted.
func (l clientListener) isServing() bool {
	select {
	case <-l.served:
		return false
	default:
		return true
	}
}

// logAnswersDue logs how many attempts get a final answer, and what they wait for.
func (i *Instance) logAnswersDue(schedule drain.Schedule) {
	counts := i.attempts.Queries().Counts()
	i.Logger.Write(event.AnswersDue, time.Since(schedule.AnswerBy).Milliseconds(), counts[drain.Reading], counts[drain.Waiting],
		counts[drain.Sent], counts[drain.Answering], i.openConnections.Load())
}

// countConnections counts the connections of clients by their changes of state.
func (i *Instance) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		i.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		i.openConnections.Add(-1)
	}
}
