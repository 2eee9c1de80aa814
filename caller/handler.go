// Package caller is the front end for callers: it translates between the
// protobuf interface and the pipeline runner, and decides nothing.
package caller

import (
	"context"
	"crypto/sha256"
	"hash"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	callerv1 "lycheecrank.example/api/caller/v1"
	"lycheecrank.example/api/caller/v1/callerv1connect"
	"lycheecrank.example/counter"
	"lycheecrank.example/frontend"
	"lycheecrank.example/request"
)

// KeyStatus is what is known of a key.
type KeyStatus struct {
	Outcome request.Outcome
	// Running tells that the outcome is not yet reported.
	Running bool
	Output  []byte
	Failure request.Failure
}

// Handler serves the callers' interface. Set the exported fields before use.
type Handler struct {
	// Run runs a request.
	Run func(ctx context.Context, r request.Request, sink request.Sink) request.Answer
	// Cancel ends a request of a workspace, on whatever instance it is.
	Cancel func(ctx context.Context, workspace, requestID string) bool
	// KeyStatus tells what became of a key.
	KeyStatus func(ctx context.Context, workspace, key string) KeyStatus
	// MaxMessageBytes bounds the messages of callers.
	MaxMessageBytes int
	// Refusals counts messages that could not be read.
	Refusals *counter.Set
	// Frontend counts the memory of messages; nil doesn't.
	Frontend *frontend.Frontend
}

// compressMinBytes is the size from which answers are compressed. Below it the bytes
// saved are not worth the processor time: without a bound each event of a stream is
// compressed on its own.
const compressMinBytes = 4 << 10

// Routes returns the path of the callers' interface and its handler.
func (h *Handler) Routes() (string, http.Handler) {
	path, handler := callerv1connect.NewPipelineServiceHandler(
		service{h}, connect.WithReadMaxBytes(h.MaxMessageBytes), connect.WithCompressMinBytes(compressMinBytes),
	)
	return path, countMalformed(h.Frontend.Handler(handler, int64(h.MaxMessageBytes)), h.Refusals)
}

// service implements the generated interface.
type service struct {
	handler *Handler
}

// Run implements the unary call.
func (s service) Run(ctx context.Context, req *connect.Request[callerv1.RunRequest]) (*connect.Response[callerv1.RunResponse], error) {
	frontend.SetDecodedSize(ctx, proto.Size(req.Msg))
	a := s.handler.Run(ctx, asRequest(req.Msg, time.Now(), false), nil)
	return connect.NewResponse(asResponse(a)), nil
}

// RunStream implements the streamed call.
func (s service) RunStream(ctx context.Context, req *connect.Request[callerv1.RunRequest], stream *connect.ServerStream[callerv1.RunEvent]) error {
	frontend.SetDecodedSize(ctx, proto.Size(req.Msg))
	w := &eventWriter{stream: stream, digest: sha256.New()}
	a := s.handler.Run(ctx, asRequest(req.Msg, time.Now(), true), w.piece)
	return w.end(a)
}

// Cancel implements the call of the same name.
func (s service) Cancel(ctx context.Context, req *connect.Request[callerv1.CancelRequest]) (*connect.Response[callerv1.CancelResponse], error) {
	found := s.handler.Cancel(ctx, req.Msg.GetWorkspace(), req.Msg.GetRequestId())
	return connect.NewResponse(&callerv1.CancelResponse{Found: found}), nil
}

// GetOutcome implements the call of the same name.
func (s service) GetOutcome(ctx context.Context, req *connect.Request[callerv1.GetOutcomeRequest]) (*connect.Response[callerv1.GetOutcomeResponse], error) {
	k := s.handler.KeyStatus(ctx, req.Msg.GetWorkspace(), req.Msg.GetKey())
	res := &callerv1.GetOutcomeResponse{Outcome: callerv1.Outcome(k.Outcome), Running: k.Running, Output: k.Output}
	if k.Failure.Reason != "" {
		res.Refusal = asRefusal(k.Failure)
	}
	return connect.NewResponse(res), nil
}

func asRequest(m *callerv1.RunRequest, now time.Time, streamed bool) request.Request {
	return request.Request{
		ID: m.GetRequestId(), Workspace: m.GetWorkspace(), Target: m.GetTarget(), Class: m.GetClass(),
		Arrival: now, Deadline: now.Add(time.Duration(m.GetTimeoutMs()) * time.Millisecond),
		Key: m.GetKey(), Input: m.GetInput(), Streamed: streamed,
	}
}

func asResponse(a request.Answer) *callerv1.RunResponse {
	res := &callerv1.RunResponse{
		RequestId: a.Request.ID, Outcome: callerv1.Outcome(a.Outcome), Output: a.Output,
		Class: a.Request.Class, ExecutionId: a.Request.ExecutionID, CatalogueRevision: a.Request.Revision,
	}
	if a.Failure.Reason != "" {
		res.Refusal = asRefusal(a.Failure)
	}
	for _, s := range a.Stages {
		res.Stages = append(res.Stages, &callerv1.StageReport{
			Stage: s.Stage, Attempts: s.Attempts, BackendServer: s.Result.Server,
			Instance: s.Result.Instance, DataCentre: s.Result.DataCentre,
			WaitedUs: s.Result.QueueTime.Microseconds(), ExecutedUs: s.Result.ExecutionTime.Microseconds(),
		})
	}
	return res
}

func asRefusal(f request.Failure) *callerv1.Refusal {
	return &callerv1.Refusal{
		Code: string(f.Reason), Message: f.Detail,
		Repeatable: f.Reason.AllowsRequestRetry(), RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
}

// eventWriter sends the events of a stream and sums them up for the end mark.
type eventWriter struct {
	stream  *connect.ServerStream[callerv1.RunEvent]
	attempt uint32
	pieces  uint32
	length  uint64
	digest  hash.Hash
}

// piece sends a piece. A piece of another attempt is preceded by a restart mark,
// so that the pieces of two attempts are never mixed.
func (w *eventWriter) piece(p request.Piece) error {
	if w.attempt != p.Attempt && w.pieces > 0 {
		restart := &callerv1.StreamRestart{Attempt: p.Attempt}
		if err := w.stream.Send(&callerv1.RunEvent{Event: &callerv1.RunEvent_Restart{Restart: restart}}); err != nil {
			return err
		}
		w.pieces, w.length = 0, 0
		w.digest.Reset()
	}
	w.attempt = p.Attempt
	return w.send(p.Data)
}

func (w *eventWriter) send(data []byte) error {
	piece := &callerv1.StreamPiece{Number: w.pieces, Data: data}
	w.pieces++
	w.length += uint64(len(data))
	_, _ = w.digest.Write(data)
	return w.stream.Send(&callerv1.RunEvent{Event: &callerv1.RunEvent_Piece{Piece: piece}})
}

// end sends the end mark. An answer that did not come in pieces is sent as one.
func (w *eventWriter) end(a request.Answer) error {
	if a.Outcome == request.Ran && w.pieces == 0 && len(a.Output) > 0 {
		if err := w.send(a.Output); err != nil {
			return err
		}
	}
	response := asResponse(a)
	response.Output = nil
	end := &callerv1.StreamEnd{Pieces: w.pieces, LengthBytes: w.length, Sha256: w.digest.Sum(nil), Response: response}
	return w.stream.Send(&callerv1.RunEvent{Event: &callerv1.RunEvent_End{End: end}})
}
