package stage

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/request"
)

// errSinkFailed is returned when the sink returns an error for a piece.
var errSinkFailed = errors.New("the receiver of the answer did not accept a piece")

// maxResumes limits how often the stream of an attempt is resumed.
const maxResumes = 2

// pieceOverheadBytes is the memory of a buffered piece beside its data, so that pieces
// without data count as well.
const pieceOverheadBytes = 48

// assembler reassembles the output of an attempt from its pieces. Pieces that
// arrive out of order are buffered until the pieces before them have arrived;
// duplicates are dropped.
type assembler struct {
	call       *call
	output     Output
	nextNumber uint32
	pending    map[uint32][]byte
	// pendingBytes is the memory of the buffered pieces.
	pendingBytes int
	end          *EngineMessage
}

// generate runs a step at an engine. A broken stream is resumed at the same
// engine, which retains the pieces that it generated.
func (c *call) generate(ctx context.Context) (Output, error) {
	engine := c.client.Engine(c.server.Address)
	a := &assembler{call: c, pending: map[uint32][]byte{}}
	err := engine.Execute(ctx, c.step, a.receive)
	for resumes := 0; err != nil && a.isResumable(ctx, err) && resumes < maxResumes; resumes++ {
		err = engine.Resume(ctx, c.step.Identity(), a.nextNumber, a.receive)
	}
	if err == nil && !a.isComplete() {
		err = c.dropResult("truncated")
	}
	if err != nil {
		a.cancel(ctx, engine)
		return a.output, err
	}
	return a.output, nil
}

// isResumable reports whether the stream can be resumed after err: it broke after
// its first piece, the context is not done and the sink still accepts pieces.
func (a *assembler) isResumable(ctx context.Context, err error) bool {
	return a.nextNumber > 0 && ctx.Err() == nil && !errors.Is(err, errSinkFailed)
}

// cancelTimeout is the timeout of a Cancel call to an engine.
const cancelTimeout = time.Second

// cancel asks the engine to stop an attempt whose output is no longer needed. The
// call runs in the background, because a frozen engine would delay the answer.
func (a *assembler) cancel(ctx context.Context, engine Engine) {
	if !a.call.sent.Load() {
		return
	}
	ctx = context.WithoutCancel(ctx)
	id := a.call.step.Identity()
	a.call.client.cancelCalls.Go(func() error {
		ctx, done := context.WithTimeout(ctx, cancelTimeout)
		defer done()
		_, err := engine.Cancel(ctx, id)
		return err
	})
}

// receive handles one message of the stream.
func (a *assembler) receive(m EngineMessage) error {
	if m.Identity != a.call.step.Identity() {
		return a.call.dropResult("foreign")
	}
	a.output.Identity = m.Identity
	a.output.Incarnation = m.Incarnation
	if m.IsEnd {
		a.end = &m
		a.output.LengthBytes, a.output.SHA256 = m.LengthBytes, m.SHA256
		return nil
	}
	if _, known := a.pending[m.Number]; known || m.Number < a.nextNumber {
		a.call.client.OnDropped(a.call.step, "doubled")
		return nil
	}
	a.pending[m.Number] = m.Data
	a.pendingBytes += len(m.Data) + pieceOverheadBytes
	if len(a.output.Data)+a.pendingBytes > MaxOutputBytes+pieceOverheadBytes {
		return a.call.dropResult("tooLarge")
	}
	return a.deliver()
}

// deliver passes the buffered pieces that are next in order to the sink.
func (a *assembler) deliver() error {
	for {
		data, ok := a.pending[a.nextNumber]
		if !ok {
			return nil
		}
		delete(a.pending, a.nextNumber)
		a.pendingBytes -= len(data) + pieceOverheadBytes
		if a.nextNumber == 0 {
			a.call.firstPiece = time.Now()
		}
		a.output.Data = append(a.output.Data, data...)
		if a.call.sink != nil {
			p := request.Piece{Attempt: a.call.step.Attempt, Number: a.nextNumber, Data: data}
			if err := a.call.sink(p); err != nil {
				return eris.Wrap(errSinkFailed, err.Error())
			}
		}
		a.nextNumber++
	}
}

// isComplete reports whether the end mark and all pieces have arrived.
func (a *assembler) isComplete() bool {
	return a.end != nil && a.nextNumber == a.end.PieceCount && len(a.pending) == 0
}
