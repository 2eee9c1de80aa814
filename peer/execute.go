package peer

import (
	"context"
	"fmt"
	"time"

	"lycheecrank.example/request"
)

// Execute sends a step to the peer for dispatch and returns its result. The sink
// receives the pieces in order; a nil sink requests none. Errors are of type
// request.Failure. Sent is false only if the peer reports it so or if no byte of
// the step can have been written to the connection.
func (c *Client) Execute(ctx context.Context, address string, step request.Step, sink request.Sink) (request.Result, error) {
	now := time.Now()
	if step.Deadline.Sub(now) < time.Millisecond {
		return request.Result{}, request.Refuse(request.ReasonDeadlinePassed, "deadline passed before the step was sent")
	}
	a, err := c.openExchange(ctx, address, message{Type: executeType, Execute: asExecuteBody(step, sink != nil, now)})
	if err != nil {
		return request.Result{}, err
	}
	defer a.close()
	r := execution{call: a, step: step, sink: sink}
	for {
		messages, err := a.next(ctx)
		if err != nil {
			return request.Result{}, err
		}
		for _, m := range messages {
			result, isLast, err := r.handle(m)
			if err != nil {
				c.countInvalid(err)
				return request.Result{}, err
			}
			if isLast {
				return result, nil
			}
		}
	}
}

func (c *Client) countInvalid(err error) {
	if f := request.AsFailure(err); f.Reason == request.ReasonResultInvalid {
		c.Counters.Add("answerRefused")
	}
}

// execution validates the messages that answer one step.
type execution struct {
	call *call
	step request.Step
	sink request.Sink
	// nextPiece is the expected number of the next piece.
	nextPiece uint32
	// consumed is the credit used up since the last grant.
	consumed int64
}

func (r *execution) handle(m message) (result request.Result, isLast bool, err error) {
	switch m.Type {
	case pieceType:
		return request.Result{}, false, r.handlePiece(m.Piece)
	case endType:
		result, err = r.handleEnd(m.End)
		return result, err == nil, err
	case failureType:
		return request.Result{}, false, m.Failure.failure()
	}
	return request.Result{}, false, r.call.rejectAnswer("peer answered execute with " + string(m.Type))
}

func (r *execution) handlePiece(p *pieceBody) error {
	if r.sink == nil || p.Attempt != r.step.Attempt || p.Number != r.nextPiece {
		return r.call.rejectAnswer(fmt.Sprintf("received piece %d of attempt %d, expected piece %d of attempt %d",
			p.Number, p.Attempt, r.nextPiece, r.step.Attempt))
	}
	r.nextPiece++
	if err := r.sink(request.Piece{Attempt: p.Attempt, Number: p.Number, Data: p.Data}); err != nil {
		r.call.cancel()
		return request.Refuse(request.ReasonCancelled, err.Error()).WithSent(true)
	}
	r.consumed += windowCost(p.Data)
	if r.consumed >= window/2 {
		r.call.conn.grantCredit(r.call.exchange, r.consumed)
		r.consumed = 0
	}
	return nil
}

func (r *execution) handleEnd(e *endBody) (request.Result, error) {
	result := e.result()
	if result.Identity != r.step.Identity() {
		return request.Result{}, r.call.rejectAnswer("result belongs to another step")
	}
	if e.Pieces != r.nextPiece {
		return request.Result{}, r.call.rejectAnswer(fmt.Sprintf("received %d of %d pieces", r.nextPiece, e.Pieces))
	}
	return result, nil
}
