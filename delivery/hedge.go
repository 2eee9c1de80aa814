package delivery

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/backend"
	"lycheecrank.example/event"
	"lycheecrank.example/hedge"
	"lycheecrank.example/request"
	"lycheecrank.example/rollout"
	"lycheecrank.example/route"
)

// priorSends describes the sends of an attempt before a try.
type priorSends struct {
	tries   int
	reached int
	servers []string
}

// exchanged is the result of a try: that of its last send that ended, or of the one whose
// answer counts. other describes the other send of a try with two.
type exchanged struct {
	server backend.Server
	answer Answer
	body   []byte
	err    error
	other  otherSend
}

// otherSend is the send of a try whose answer doesn't count, the zero value for none.
type otherSend struct {
	tries      int
	reached    int
	mayHaveRun bool
	servers    []string
}

// isReached reports whether the send reached its server.
func (e exchanged) isReached() bool {
	return failureReason(e.answer, e.err) != request.ReasonServerUnreachable && !(e.err == nil && e.answer.IsMisdirected)
}

// isAnswered reports whether the server has answered the request, so that no other send is
// needed.
func (e exchanged) isAnswered() bool {
	return e.err == nil && !e.answer.IsNotRun && !e.answer.IsMisdirected && e.answer.Status < 500
}

// asOther returns the send as one whose answer doesn't count.
func (e exchanged) asOther() otherSend {
	other := otherSend{tries: 1, servers: []string{e.server.Name}}
	if e.isReached() {
		other.reached = 1
		other.mayHaveRun = e.err != nil || !e.answer.IsNotRun
	}
	return other
}

// exchangeHedged sends a request to a reserved server and, if the answer is late and
// package hedge decides so, to a second one. It frees the slots of both.
func (r *Router) exchangeHedged(ctx context.Context, routed routedAttempt, first backend.Server, prior priorSends) exchanged {
	sent := time.Now()
	mayRetryElsewhere := routed.route.IsRepeatable() && prior.reached+1 < routed.route.MaxServers
	// While a pool is moved to another version, the share of each version counts.
	mayHedge := r.Hedges != nil && routed.route.Kind == route.Idempotent && mayRetryElsewhere && r.Rollouts.Queries().Selection(routed.pool.Name, rollout.Usual, sent) == nil
	if !mayHedge {
		e := r.exchangeOnce(ctx, routed, first, mayRetryElsewhere)
		r.release(e, sent)
		return e
	}
	if prior.tries == 0 {
		r.Hedges.Commands().Deposit(routed.route.Name, sent)
	}
	race := &race{
		router: r, routed: routed, prior: prior, outcomes: make(chan outcome), decided: make(chan struct{}),
		class: hedge.Class{Route: routed.route.Name, Pool: routed.pool.Name, Load: hedge.LoadOf(first.InFlight, first.CurrentLimit)},
	}
	delay, ok := r.Hedges.Queries().Delay(race.class, sent)
	if !ok {
		e := r.exchangeOnce(ctx, race.watched(&plainSend{}), first, mayRetryElsewhere)
		r.release(e, sent)
		race.recordTime(e, sent, false)
		return e
	}
	return race.run(ctx, first, delay)
}

// exchangeOnce is exchange with its results in one value.
func (r *Router) exchangeOnce(ctx context.Context, routed routedAttempt, server backend.Server, mayRetryElsewhere bool) (result exchanged) {
	defer func() {
		if cause := recover(); cause != nil {
			r.Logger.WritePanic("send to "+server.Name, cause)
			result = exchanged{server: server, err: eris.Wrap(ErrNoValidAnswer, "internal error")}
		}
	}()
	sent := time.Now()
	answer, body, err := r.exchange(ctx, routed, server, mayRetryElsewhere)
	if !errors.Is(ctx.Err(), context.Canceled) {
		r.recordPlain(routed, server.Name, sent, answer, err)
	}
	return exchanged{server: server, answer: answer, body: body, err: err}
}

// release frees the slot of a send that has ended.
func (r *Router) release(e exchanged, sent time.Time) {
	r.PlainServers.Release(e.server.Name, backend.Observation{
		Reason: failureReason(e.answer, e.err), SentAt: sent, ResponseTime: time.Since(sent), Incarnation: e.server.Incarnation,
	}, time.Now())
}

// race is a try with up to two concurrent sends. Its methods run on the goroutine of the
// attempt.
type race struct {
	router *Router
	routed routedAttempt
	prior  priorSends
	class  hedge.Class
	// outcomes gets the outcome of each send until decided is closed.
	outcomes chan outcome
	decided  chan struct{}
}

// plainSend is a send of a race.
type plainSend struct {
	server backend.Server
	sentAt time.Time
	cancel context.CancelFunc
	// hasAnswered is set when the head of the answer has arrived: the server processes the
	// request.
	hasAnswered atomic.Bool
}

// outcome is the outcome of a send of a race.
type outcome struct {
	exchanged
	send *plainSend
}

// run sends the request to the first server and, if it is late after a delay, to a second
// one. The first answer to the request counts; the other send is cancelled.
func (c *race) run(ctx context.Context, server backend.Server, delay time.Duration) exchanged {
	defer close(c.decided)
	r := c.router
	first := c.start(ctx, server, true)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case o := <-c.outcomes:
		r.release(o.exchanged, first.sentAt)
		c.recordTime(o.exchanged, first.sentAt, false)
		if o.isAnswered() {
			r.Hedges.Commands().RecordResult(c.class.Pool, hedge.Result{Server: server.Name, At: time.Now()})
		}
		return o.exchanged
	case <-timer.C:
	}
	second, verdict := c.startSecond(ctx, first)
	r.HedgeCounts.Add(string(verdict))
	if second == nil {
		o := <-c.outcomes
		r.release(o.exchanged, first.sentAt)
		c.recordTime(o.exchanged, first.sentAt, false)
		return o.exchanged
	}
	e, result := c.await(ctx, first, second)
	r.HedgeCounts.Add(result)
	r.Logger.Write(event.AttemptHedged, c.routed.attempt.ID, c.routed.route.Name, server.Name, second.server.Name,
		second.sentAt.Sub(first.sentAt).Milliseconds(), time.Since(first.sentAt).Milliseconds(), result)
	return e
}

// await waits for the two sends and returns the try and its result.
func (c *race) await(ctx context.Context, first, second *plainSend) (exchanged, string) {
	o := <-c.outcomes
	c.end(ctx, o, first)
	if !o.isAnswered() {
		last := <-c.outcomes
		c.end(ctx, last, first)
		o.close()
		last.other = o.asOther()
		switch {
		case !last.isAnswered():
			return last.exchanged, "failed"
		case last.send == second:
			return last.exchanged, "won"
		}
		return last.exchanged, "lost"
	}
	loser, result := second, "lost"
	if o.send == second {
		loser, result = first, "won"
		c.recordTime(o.exchanged, first.sentAt, true)
	}
	loser.cancel()
	c.router.PlainServers.ReleaseCancelled(loser.server.Name, time.Since(loser.sentAt))
	o.other = otherSend{tries: 1, reached: 1, mayHaveRun: true, servers: []string{loser.server.Name}}
	return o.exchanged, result
}

// end frees the slot of a send that has ended by itself. A second send that ends with its
// client or at the deadline had less time than its server needs, which is no fault.
func (c *race) end(ctx context.Context, o outcome, first *plainSend) {
	if o.send != first && o.err != nil && ctx.Err() != nil {
		c.router.PlainServers.ReleaseCancelled(o.server.Name, time.Since(o.send.sentAt))
		return
	}
	c.router.release(o.exchanged, o.send.sentAt)
	if o.send == first {
		c.recordTime(o.exchanged, first.sentAt, false)
	}
}

// close ends the answer of a send that doesn't count.
func (e exchanged) close() {
	if e.err == nil && e.answer.Body != nil {
		_ = e.answer.Body.Close()
	}
}

// start sends the request to a reserved server.
func (c *race) start(ctx context.Context, server backend.Server, mayRetryElsewhere bool) *plainSend {
	sendCtx, cancel := context.WithCancel(ctx)
	send := &plainSend{server: server, sentAt: time.Now(), cancel: cancel}
	routed := c.watched(send)
	c.routed.sends.Go(func() {
		o := outcome{exchanged: c.router.exchangeOnce(sendCtx, routed, server, mayRetryElsewhere), send: send}
		select {
		case c.outcomes <- o:
		case <-c.decided:
			o.close()
		}
	})
	return send
}

// watched returns the attempt with a Send that records what the answer says about the
// server and its pool.
func (c *race) watched(send *plainSend) routedAttempt {
	routed := c.routed
	routed.attempt.Send = func(ctx context.Context, options ForwardOptions) (Answer, error) {
		answer, err := c.routed.attempt.Send(ctx, options)
		if err != nil {
			return answer, err
		}
		send.hasAnswered.Store(true)
		hedges := c.router.Hedges.Commands()
		if answer.IsNotRun && !answer.IsMisdirected {
			hedges.RecordRefusal(c.class.Pool, time.Now())
		}
		if answer.Load.Slots > 0 {
			hedges.RecordQueue(options.Server.ID, answer.Load.Waiting, time.Now())
		}
		return answer, nil
	}
	return routed
}

// startSecond sends the request to a second server, or returns the reason why it doesn't.
func (c *race) startSecond(ctx context.Context, first *plainSend) (*plainSend, hedge.Verdict) {
	r, routed, now := c.router, c.routed, time.Now()
	hedges, queries := r.Hedges.Commands(), r.Hedges.Queries()
	verdict := queries.Verdict(c.class, first.server.Name, routed.deadline.Sub(now), now)
	hedges.RecordResult(c.class.Pool, hedge.Result{Server: first.server.Name, IsLate: true, At: now})
	switch {
	case first.hasAnswered.Load():
		return nil, hedge.Processing
	case verdict != hedge.Send:
		return nil, verdict
	}
	avoid := slices.Concat(c.prior.servers, queries.Queued(now), r.Fleet.Paused(routed.pool.Name, now))
	server, ok := r.PlainServers.ReserveSecond(routed.pool.Name, first.server, avoid, now)
	if !ok {
		return nil, hedge.NoServer
	}
	listed, isListed := r.Fleet.Server(server.Name, now)
	switch {
	case !isListed || listed.IsCold(now):
		verdict = hedge.NoServer
	case !hedges.Take(routed.route.Name):
		verdict = hedge.ShareSpent
	case !r.Budget.WithdrawSpare():
		hedges.Return(routed.route.Name)
		verdict = hedge.BudgetSpent
	}
	if verdict != hedge.Send {
		r.PlainServers.CancelReservation(server.Name)
		return nil, verdict
	}
	return c.start(ctx, server, c.prior.reached+2 < routed.route.MaxServers), verdict
}

// recordTime records the response time of a first send that was answered, or the time
// after which it was cancelled.
func (c *race) recordTime(e exchanged, sent time.Time, isCut bool) {
	if e.isAnswered() {
		now := time.Now()
		c.router.Hedges.Commands().Record(c.class, hedge.Sample{Took: now.Sub(sent), At: now, IsCut: isCut})
	}
}
