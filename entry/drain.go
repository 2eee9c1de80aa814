package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"lycheecrank.example/delivery"
	"lycheecrank.example/drain"
	"lycheecrank.example/event"
)

const (
	// defaultGrace is the grace period if the settings have none.
	defaultGrace = 8 * time.Second
	// connectionCheckInterval is how often an instance that shuts down checks whether
	// clients are still connected.
	connectionCheckInterval = 10 * time.Millisecond
)

// drain shuts the instance down within its grace period, by a schedule of package drain,
// and passes on what its requests have shown of crashes. It ends the upkeep of the tables
// before the final answers, so that these get the processor. Clients that are connected get
// an answer to each request: http.Server.Shutdown, which closes their connections after it
// has read a request, is only called at the end.
func (i *Instance) drain(front *http.Server, listener net.Listener, stopUpkeep context.CancelFunc, stopAttempts context.CancelCauseFunc) drain.Schedule {
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
	ctx, cancel := context.WithDeadline(context.Background(), schedule.CloseBy)
	defer cancel()
	answering, stopAnswering := context.WithDeadline(ctx, schedule.AnswerBy)
	defer stopAnswering()
	i.unregister(answering)
	pause(answering, time.Until(schedule.AdmitAllUntil))
	_ = listener.Close()
	// Closes idle connections, and the others after their next answer.
	front.SetKeepAlivesEnabled(false)
	for i.openConnections.Load() > 0 {
		if !pause(answering, connectionCheckInterval) {
			break
		}
	}
	i.logAnswersDue(schedule)
	dueAt := time.Now()
	stopUpkeep()
	stopAttempts(delivery.ErrStopping)
	for i.attempts.Queries().Count() > 0 {
		if !pause(ctx, connectionCheckInterval) {
			break
		}
	}
	cutOff := i.attempts.Queries().Attempts()
	i.Logger.Write(event.AnswersWritten, time.Since(dueAt).Milliseconds(), len(cutOff))
	for _, a := range cutOff {
		i.Logger.Write(event.AttemptCutOff, a.ID, a.Phase.String(), time.Since(a.ArrivedAt).Milliseconds())
	}
	if err := front.Shutdown(ctx); err != nil {
		_ = front.Close()
	}
	i.passOnQuarantine(ctx)
	i.Logger.Write(event.Stopped, len(cutOff))
	return schedule
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
