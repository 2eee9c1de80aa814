package stage

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/request"
)

// errSink is returned when the receiver of the pieces takes no more.
var errSink = errors.New("pieces not taken")

// maxResumes bounds how often the stream of an attempt is resumed.
const maxResumes = 2

// assembly puts the pieces of an attempt together. Pieces that come out of
// order wait for the ones before them; doubled ones are dropped.
type assembly struct {
	call    *call
	output  Output
	next    uint32
	pending map[uint32][]byte
	end     *EnginePiece
}

// generate runs a step at an engine. A stream that breaks is resumed at the
// same engine, since the engine keeps what it generated.
func (c *call) generate(ctx context.Context) (Output, error) {
	engine := c.client.Engine(c.server.Address)
	a := &assembly{call: c, pending: map[uint32][]byte{}}
	err := engine.Execute(ctx, c.step, a.take)
	for resumes := 0; err != nil && a.isResumable(ctx, err) && resumes < maxResumes; resumes++ {
		err = engine.Resume(ctx, c.step.Identity(), a.next, a.take)
	}
	if err == nil && !a.isWhole() {
		err = c.drop("truncated")
	}
	if err != nil {
		a.cancel(ctx, engine)
		return a.output, err
	}
	return a.output, nil
}

// isResumable reports whether the stream broke after its first piece while
// somebody still takes the pieces.
func (a *assembly) isResumable(ctx context.Context, err error) bool {
	return a.next > 0 && ctx.Err() == nil && !errors.Is(err, errSink)
}

// cancelTimeout bounds the call that tells an engine to stop.
const cancelTimeout = time.Second

// cancel tells the engine to stop work that nobody waits for. It doesn't wait
// for the engine, which may be frozen, since that would delay the answer.
func (a *assembly) cancel(ctx context.Context, engine Engine) {
	if !a.call.sent.Load() {
		return
	}
	ctx = context.WithoutCancel(ctx)
	id := a.call.step.Identity()
	a.call.client.cancels.Go(func() error {
		ctx, done := context.WithTimeout(ctx, cancelTimeout)
		defer done()
		_, err := engine.Cancel(ctx, id)
		return err
	})
}

func (a *assembly) take(p EnginePiece) error {
	if p.Identity != a.call.step.Identity() {
		return a.call.drop("foreign")
	}
	a.output.Identity = p.Identity
	a.output.Incarnation = p.Incarnation
	if p.End {
		a.end = &p
		a.output.LengthBytes, a.output.SHA256 = p.LengthBytes, p.SHA256
		return nil
	}
	if _, known := a.pending[p.Number]; known || p.Number < a.next {
		a.call.client.Dropped(a.call.step, "doubled")
		return nil
	}
	a.pending[p.Number] = p.Data
	return a.deliver()
}

// deliver passes on the pieces that are next in order.
func (a *assembly) deliver() error {
	for {
		data, ok := a.pending[a.next]
		if !ok {
			return nil
		}
		delete(a.pending, a.next)
		if a.next == 0 {
			a.call.firstPiece = time.Now()
		}
		a.output.Data = append(a.output.Data, data...)
		if a.call.sink != nil {
			p := request.Piece{Attempt: a.call.step.Attempt, Number: a.next, Data: data}
			if err := a.call.sink(p); err != nil {
				return eris.Wrap(errSink, err.Error())
			}
		}
		a.next++
	}
}

// isWhole reports whether the end mark and all pieces before it have come.
func (a *assembly) isWhole() bool {
	return a.end != nil && a.next == a.end.Pieces && len(a.pending) == 0
}
