package peer

import (
	"context"
	"fmt"
	"time"

	"lycheecrank.example/request"
)

// Execute lets the peer dispatch a step and returns its result. The sink takes
// the pieces in order; nil asks for none. Errors are request.Failure. Sent is
// false only if the peer says so or if no byte of the step can have been
// written to the connection.
func (c *Client) Execute(ctx context.Context, address string, step request.Step, sink request.Sink) (request.Result, error) {
	now := time.Now()
	if step.Deadline.Sub(now) < time.Millisecond {
		return request.Result{}, request.Refuse(request.ReasonDeadlinePassed, "deadline passed before the step was sent")
	}
	a, err := c.begin(ctx, address, message{Type: executeType, Execute: asExecuteBody(step, sink != nil, now)})
	if err != nil {
		return request.Result{}, err
	}
	defer a.end()
	r := receipt{call: a, step: step, sink: sink}
	for {
		messages, err := a.next(ctx)
		if err != nil {
			return request.Result{}, err
		}
		for _, m := range messages {
			result, isLast, err := r.take(m)
			if err != nil {
				c.count(err)
				return request.Result{}, err
			}
			if isLast {
				return result, nil
			}
		}
	}
}

func (c *Client) count(err error) {
	if f := request.AsFailure(err); f.Reason == request.ReasonResultInvalid {
		c.Counters.Add("answerRefused")
	}
}

// receipt checks the messages of one execution.
type receipt struct {
	call *call
	step request.Step
	sink request.Sink
	// next is the number of the next piece.
	next uint32
	// consumed is the part of the window that was used since the last credit.
	consumed int64
}

func (r *receipt) take(m message) (result request.Result, isLast bool, err error) {
	switch m.Type {
	case pieceType:
		return request.Result{}, false, r.takePiece(m.Piece)
	case endType:
		result, err = r.takeEnd(m.End)
		return result, err == nil, err
	case failureType:
		return request.Result{}, false, m.Failure.failure()
	}
	return request.Result{}, false, r.call.invalid("peer answered a step with " + string(m.Type))
}

func (r *receipt) takePiece(p *pieceBody) error {
	if r.sink == nil || p.Attempt != r.step.Attempt || p.Number != r.next {
		return r.call.invalid(fmt.Sprintf("piece %d of attempt %d instead of piece %d of attempt %d",
			p.Number, p.Attempt, r.next, r.step.Attempt))
	}
	r.next++
	if err := r.sink(request.Piece{Attempt: p.Attempt, Number: p.Number, Data: p.Data}); err != nil {
		r.call.cancel()
		return request.Refuse(request.ReasonCancelled, err.Error()).WithSent(true)
	}
	r.consumed += cost(p.Data)
	if r.consumed >= window/2 {
		r.call.conn.grant(r.call.exchange, r.consumed)
		r.consumed = 0
	}
	return nil
}

func (r *receipt) takeEnd(e *endBody) (request.Result, error) {
	result := e.result()
	if result.Identity != r.step.Identity() {
		return request.Result{}, r.call.invalid("result of another step")
	}
	if e.Pieces != r.next {
		return request.Result{}, r.call.invalid(fmt.Sprintf("%d pieces of %d", r.next, e.Pieces))
	}
	return result, nil
}
