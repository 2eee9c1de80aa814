package standin

import (
	"context"
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	enginev1 "lycheecrank.example/api/engine/v1"
	"lycheecrank.example/api/engine/v1/enginev1connect"
	"lycheecrank.example/standin/work"
)

// EngineOptions sets up an engine. The zero value is useful.
type EngineOptions struct {
	BackendOptions
	// TokensPerSecond is the speed of each running request; 0 means no limit.
	TokensPerSecond float64
	// PieceTokens is how many tokens a piece has; 0 means 8.
	PieceTokens int
	// Prefill is the time before the first piece if the prefix of the prompt is
	// not cached.
	Prefill time.Duration
	// CacheLag is by how much cache events are always late.
	CacheLag time.Duration
}

// NewEngine returns a model engine, which answers a prompt with its Summary.
func NewEngine(o EngineOptions) *Standin {
	if o.PieceTokens == 0 {
		o.PieceTokens = 8
	}
	h := &engineHandler{backend: newBackend(o.BackendOptions), options: o}
	mux := http.NewServeMux()
	mux.Handle(enginev1connect.NewEngineServiceHandler(h, h.obey()))
	return newStandin(mux, h.obedience, h.backend)
}

type engineHandler struct {
	*backend
	options EngineOptions
}

type pieceStream = connect.ServerStream[enginev1.ExecuteResponse]

// Execute generates a text and streams its pieces, followed by an end mark.
func (h *engineHandler) Execute(ctx context.Context, req *connect.Request[enginev1.ExecuteRequest], stream *pieceStream) error {
	m := req.Msg
	id := work.Identity{RequestID: m.GetRequestId(), Stage: m.GetStage(), Attempt: m.GetAttempt()}
	running, end, err := h.commands.Begin(ctx)
	if err != nil {
		return h.refusal(err)
	}
	ended := make(chan struct{})
	defer close(ended)
	running, stop := context.WithCancelCause(running)
	defer stop(nil)
	attempt := work.Attempt{Prompt: m.GetPrompt(), MaxTokens: int(m.GetMaxTokens())}.WithStream(stop, ended)
	h.commands.StartAttempt(id, attempt)
	if !h.commands.CachePrefix(m.GetPrompt()) {
		err = pause(running, h.options.Prefill)
	}
	if err == nil {
		err = h.generate(running, "Execute", id, attempt, 0, stream)
	}
	end(err == nil)
	return failure(err)
}

// Resume continues the stream of a running or finished attempt. The former
// stream ends if it still runs.
func (h *engineHandler) Resume(ctx context.Context, req *connect.Request[enginev1.ResumeRequest], stream *pieceStream) error {
	m := req.Msg
	id := work.Identity{RequestID: m.GetRequestId(), Stage: m.GetStage(), Attempt: m.GetAttempt()}
	attempt, err := h.commands.InterruptAttempt(id)
	if err != nil {
		return failure(err)
	}
	select {
	case <-attempt.Ended():
	case <-ctx.Done():
		return failure(context.Cause(ctx))
	}
	running, end, err := h.commands.Begin(ctx)
	if err != nil {
		return h.refusal(err)
	}
	ended := make(chan struct{})
	defer close(ended)
	running, stop := context.WithCancelCause(running)
	defer stop(nil)
	h.commands.ContinueAttempt(id, stop, ended)
	err = h.generate(running, "Resume", id, attempt, int(m.GetFrom()), stream)
	end(err == nil)
	return failure(err)
}

// generate streams the pieces from a number on and the end mark. Pieces that
// existed before come at once.
func (h *engineHandler) generate(ctx context.Context, method string, id work.Identity, a work.Attempt, from int, stream *pieceStream) error {
	tokens := Summary(a.Prompt, a.MaxTokens)
	pieces := h.pieces(tokens)
	call := faultOf(ctx)
	identity := sent(ctx, id)
	if from > len(pieces) {
		return invalid("the attempt has %d pieces", len(pieces))
	}
	for _, p := range shaped(call, pieces[from:]) {
		if int(p.GetNumber()) >= a.Produced {
			if err := pause(ctx, h.pieceTime(p)); err != nil {
				return err
			}
			h.commands.Produce(id, int(p.GetNumber())+1)
		}
		if _, err := h.during(ctx, method); err != nil {
			return err
		}
		if err := stream.Send(h.message(identity, &enginev1.ExecuteResponse{Event: &enginev1.ExecuteResponse_Piece{Piece: p}})); err != nil {
			return err
		}
	}
	if call.CutShort {
		return nil
	}
	text := strings.Join(tokens, "")
	sum := sha256.Sum256([]byte(text))
	mark := &enginev1.End{Pieces: uint32(len(pieces)), LengthBytes: uint64(len(text)), Sha256: sum[:]}
	return stream.Send(h.message(identity, &enginev1.ExecuteResponse{Event: &enginev1.ExecuteResponse_End{End: mark}}))
}

func (h *engineHandler) pieces(tokens []string) []*enginev1.Piece {
	var pieces []*enginev1.Piece
	for part := range slices.Chunk(tokens, h.options.PieceTokens) {
		pieces = append(pieces, &enginev1.Piece{
			Number: uint32(len(pieces)),
			Data:   []byte(strings.Join(part, "")),
			Tokens: uint32(len(part)),
		})
	}
	return pieces
}

func (h *engineHandler) message(id work.Identity, m *enginev1.ExecuteResponse) *enginev1.ExecuteResponse {
	m.RequestId, m.Stage, m.Attempt, m.Incarnation = id.RequestID, id.Stage, id.Attempt, h.incarnation
	return m
}

func (h *engineHandler) pieceTime(p *enginev1.Piece) time.Duration {
	if h.options.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(p.GetTokens()) / h.options.TokensPerSecond * float64(time.Second))
}

// Cancel stops an attempt.
func (h *engineHandler) Cancel(_ context.Context, req *connect.Request[enginev1.CancelRequest]) (*connect.Response[enginev1.CancelResponse], error) {
	m := req.Msg
	found := h.commands.CancelAttempt(work.Identity{RequestID: m.GetRequestId(), Stage: m.GetStage(), Attempt: m.GetAttempt()})
	return connect.NewResponse(&enginev1.CancelResponse{Found: found}), nil
}

// Order accepts an order, unless it is fenced.
func (h *engineHandler) Order(_ context.Context, req *connect.Request[enginev1.OrderRequest]) (*connect.Response[enginev1.OrderResponse], error) {
	if req.Msg.GetKind() == enginev1.OrderKind_ORDER_KIND_UNSPECIFIED {
		return nil, invalid("an order needs a kind")
	}
	accepted, err := h.commands.Order(req.Msg.GetFencingNumber())
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&enginev1.OrderResponse{AcceptedFencingNumber: accepted}), nil
}

// gapEvery is how often an event is left out: every seventh one.
const gapEvery = 7

// CacheEvents streams changes of the prefix cache, late and with gaps.
func (h *engineHandler) CacheEvents(ctx context.Context, req *connect.Request[enginev1.CacheEventsRequest], stream *connect.ServerStream[enginev1.CacheEvent]) error {
	from := max(req.Msg.GetFrom(), 1)
	for {
		call, err := h.during(ctx, "CacheEvents")
		if err != nil {
			return failure(err)
		}
		late := h.options.CacheLag + max(call.Lag, faultOf(ctx).Lag)
		events, more, wait := h.state.Events(from, late)
		if len(events) > 0 {
			from = events[len(events)-1].Number + 1
			if err := sendEvents(stream, shaped(faultOf(ctx), events)); err != nil || faultOf(ctx).CutShort {
				return err
			}
			continue
		}
		if !h.waitFor(ctx, more, call.Ended, wait) {
			return failure(context.Cause(ctx))
		}
	}
}

func sendEvents(stream *connect.ServerStream[enginev1.CacheEvent], events []work.CacheEvent) error {
	for _, e := range events {
		if e.Number%gapEvery == 0 {
			continue
		}
		if err := stream.Send(&enginev1.CacheEvent{
			Number:       e.Number,
			PrefixDigest: e.Digest,
			Evicted:      e.Evicted,
			AtUnixMs:     e.At.UnixMilli(),
		}); err != nil {
			return err
		}
	}
	return nil
}

// Load reports the load of some time ago.
func (h *engineHandler) Load(ctx context.Context, _ *connect.Request[enginev1.LoadRequest]) (*connect.Response[enginev1.LoadResponse], error) {
	l := h.load(ctx)
	return connect.NewResponse(&enginev1.LoadResponse{
		Incarnation:      h.incarnation,
		Running:          uint32(l.Running),
		Leaving:          l.Leaving,
		Cold:             l.Cold(),
		MeasuredAtUnixMs: l.At.UnixMilli(),
	}), nil
}

// ExportCache returns the cache of a prompt prefix, which is the prefix itself.
func (h *engineHandler) ExportCache(ctx context.Context, req *connect.Request[enginev1.ExportCacheRequest]) (*connect.Response[enginev1.ExportCacheResponse], error) {
	prefix, err := h.state.Prefix(req.Msg.GetPrefixDigest())
	if err != nil {
		return nil, failure(err)
	}
	r := newResult(ctx, work.Identity{}, prefix)
	return connect.NewResponse(&enginev1.ExportCacheResponse{Cache: r.output}), nil
}

// ImportCache takes a cache that another engine exported.
func (h *engineHandler) ImportCache(_ context.Context, req *connect.Request[enginev1.ImportCacheRequest]) (*connect.Response[enginev1.ImportCacheResponse], error) {
	if err := h.commands.ImportPrefix(req.Msg.GetPrefixDigest(), req.Msg.GetCache()); err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&enginev1.ImportCacheResponse{}), nil
}
