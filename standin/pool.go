package standin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	encoderv1 "lycheecrank.example/api/encoder/v1"
	"lycheecrank.example/api/encoder/v1/encoderv1connect"
	rerankerv1 "lycheecrank.example/api/reranker/v1"
	"lycheecrank.example/api/reranker/v1/rerankerv1connect"
	retrieverv1 "lycheecrank.example/api/retriever/v1"
	"lycheecrank.example/api/retriever/v1/retrieverv1connect"
	"lycheecrank.example/request"
	"lycheecrank.example/standin/work"
)

// NewPool returns a server of a pool of encoders, retrievers or rerankers. Its
// stages hand on JSON objects of the type Stage.
func NewPool(kind request.Kind, o BackendOptions) (*Standin, error) {
	b := newBackend(o)
	mux := http.NewServeMux()
	switch kind {
	case request.Encode:
		mux.Handle(encoderv1connect.NewEncoderServiceHandler(&encoderHandler{b}, b.obey()))
	case request.Retrieve:
		mux.Handle(retrieverv1connect.NewRetrieverServiceHandler(&retrieverHandler{b}, b.obey()))
	case request.Rerank:
		mux.Handle(rerankerv1connect.NewRerankerServiceHandler(&rerankerHandler{b}, b.obey()))
	default:
		return nil, eris.Errorf("no stand-in for a pool of the kind %q", kind)
	}
	return newStandin(mux, b.obedience, b), nil
}

type encoderHandler struct {
	*backend
}

// Encode returns the vector of a text.
func (h *encoderHandler) Encode(ctx context.Context, req *connect.Request[encoderv1.EncodeRequest]) (*connect.Response[encoderv1.EncodeResponse], error) {
	m := req.Msg
	output, err := h.execute(ctx, func() []byte { return Encode(m.GetInput()) })
	if err != nil {
		return nil, err
	}
	r := newResult(ctx, work.Identity{RequestID: m.GetRequestId(), Stage: m.GetStage(), Attempt: m.GetAttempt()}, output)
	return connect.NewResponse(&encoderv1.EncodeResponse{
		RequestId:   r.id.RequestID,
		Stage:       r.id.Stage,
		Attempt:     r.id.Attempt,
		Incarnation: h.incarnation,
		Output:      r.output,
		LengthBytes: r.length,
		Sha256:      r.sha256,
	}), nil
}

// Load reports the load of some time ago.
func (h *encoderHandler) Load(ctx context.Context, _ *connect.Request[encoderv1.LoadRequest]) (*connect.Response[encoderv1.LoadResponse], error) {
	l := h.load(ctx)
	return connect.NewResponse(&encoderv1.LoadResponse{
		Incarnation:      h.incarnation,
		Running:          uint32(l.Running),
		Leaving:          l.Leaving,
		Cold:             l.Cold(),
		MeasuredAtUnixMs: l.At.UnixMilli(),
	}), nil
}

type retrieverHandler struct {
	*backend
}

// Retrieve returns the best passages for a query.
func (h *retrieverHandler) Retrieve(ctx context.Context, req *connect.Request[retrieverv1.RetrieveRequest]) (*connect.Response[retrieverv1.RetrieveResponse], error) {
	m := req.Msg
	output, err := h.execute(ctx, func() []byte { return Retrieve(m.GetInput(), int(m.GetTop())) })
	if err != nil {
		return nil, err
	}
	r := newResult(ctx, work.Identity{RequestID: m.GetRequestId(), Stage: m.GetStage(), Attempt: m.GetAttempt()}, output)
	return connect.NewResponse(&retrieverv1.RetrieveResponse{
		RequestId:   r.id.RequestID,
		Stage:       r.id.Stage,
		Attempt:     r.id.Attempt,
		Incarnation: h.incarnation,
		Output:      r.output,
		LengthBytes: r.length,
		Sha256:      r.sha256,
	}), nil
}

// Load reports the load of some time ago.
func (h *retrieverHandler) Load(ctx context.Context, _ *connect.Request[retrieverv1.LoadRequest]) (*connect.Response[retrieverv1.LoadResponse], error) {
	l := h.load(ctx)
	return connect.NewResponse(&retrieverv1.LoadResponse{
		Incarnation:      h.incarnation,
		Running:          uint32(l.Running),
		Leaving:          l.Leaving,
		Cold:             l.Cold(),
		MeasuredAtUnixMs: l.At.UnixMilli(),
	}), nil
}

type rerankerHandler struct {
	*backend
}

// Rerank orders passages by how well they fit a query.
func (h *rerankerHandler) Rerank(ctx context.Context, req *connect.Request[rerankerv1.RerankRequest]) (*connect.Response[rerankerv1.RerankResponse], error) {
	m := req.Msg
	output, err := h.execute(ctx, func() []byte { return Rerank(m.GetInput(), int(m.GetTop())) })
	if err != nil {
		return nil, err
	}
	r := newResult(ctx, work.Identity{RequestID: m.GetRequestId(), Stage: m.GetStage(), Attempt: m.GetAttempt()}, output)
	return connect.NewResponse(&rerankerv1.RerankResponse{
		RequestId:   r.id.RequestID,
		Stage:       r.id.Stage,
		Attempt:     r.id.Attempt,
		Incarnation: h.incarnation,
		Output:      r.output,
		LengthBytes: r.length,
		Sha256:      r.sha256,
	}), nil
}

// Load reports the load of some time ago.
func (h *rerankerHandler) Load(ctx context.Context, _ *connect.Request[rerankerv1.LoadRequest]) (*connect.Response[rerankerv1.LoadResponse], error) {
	l := h.load(ctx)
	return connect.NewResponse(&rerankerv1.LoadResponse{
		Incarnation:      h.incarnation,
		Running:          uint32(l.Running),
		Leaving:          l.Leaving,
		Cold:             l.Cold(),
		MeasuredAtUnixMs: l.At.UnixMilli(),
	}), nil
}
