package stage

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	encoderv1 "lycheecrank.example/api/encoder/v1"
	"lycheecrank.example/api/encoder/v1/encoderv1connect"
	rerankerv1 "lycheecrank.example/api/reranker/v1"
	"lycheecrank.example/api/reranker/v1/rerankerv1connect"
	retrieverv1 "lycheecrank.example/api/retriever/v1"
	"lycheecrank.example/api/retriever/v1/retrieverv1connect"
	servicev1 "lycheecrank.example/api/service/v1"
	"lycheecrank.example/api/service/v1/servicev1connect"
	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// topPassages is how many passages retrievers and rerankers are asked for.
const topPassages = 4

// answer is what the answers of all pool servers have in common.
type answer interface {
	GetRequestId() string
	GetStage() string
	GetAttempt() uint32
	GetIncarnation() string
	GetOutput() []byte
	GetLengthBytes() uint64
	GetSha256() []byte
}

// loadAnswer is what the load reports of all servers have in common.
type loadAnswer interface {
	GetIncarnation() string
	GetLeaving() bool
	GetCold() bool
	GetMeasuredAtUnixMs() int64
}

// NewEncoder returns a client for the encoder at a base URL.
func NewEncoder(client *http.Client, baseURL string) Pool {
	c := encoderv1connect.NewEncoderServiceClient(client, baseURL)
	return newPool(c.Encode, c.Load, &encoderv1.LoadRequest{}, func(s request.Step) *encoderv1.EncodeRequest {
		return &encoderv1.EncodeRequest{
			RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Input: s.Input,
			Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(),
		}
	})
}

// NewRetriever returns a client for the retriever at a base URL.
func NewRetriever(client *http.Client, baseURL string) Pool {
	c := retrieverv1connect.NewRetrieverServiceClient(client, baseURL)
	return newPool(c.Retrieve, c.Load, &retrieverv1.LoadRequest{}, func(s request.Step) *retrieverv1.RetrieveRequest {
		return &retrieverv1.RetrieveRequest{
			RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Input: s.Input,
			Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(), Top: topPassages,
		}
	})
}

// NewReranker returns a client for the reranker at a base URL.
func NewReranker(client *http.Client, baseURL string) Pool {
	c := rerankerv1connect.NewRerankerServiceClient(client, baseURL)
	return newPool(c.Rerank, c.Load, &rerankerv1.LoadRequest{}, func(s request.Step) *rerankerv1.RerankRequest {
		return &rerankerv1.RerankRequest{
			RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Input: s.Input,
			Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(), Top: topPassages,
		}
	})
}

// NewService returns a client for the plain service at a base URL.
func NewService(client *http.Client, baseURL string) Pool {
	c := servicev1connect.NewPlainServiceClient(client, baseURL)
	return newPool(c.Call, c.Load, &servicev1.LoadRequest{}, func(s request.Step) *servicev1.CallRequest {
		return &servicev1.CallRequest{
			RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Input: s.Input,
			Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(), Key: s.Key, Operation: s.Operation,
		}
	})
}

// unary is a call of a generated client.
type unary[Q, A any] func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// newPool builds a Pool from the calls of a generated client.
func newPool[Q, A, LQ, LA any, PA interface {
	*A
	answer
}, PLA interface {
	*LA
	loadAnswer
}](execute unary[Q, A], load unary[LQ, LA], loadRequest *LQ, message func(request.Step) *Q) Pool {
	return Pool{
		Execute: func(ctx context.Context, s request.Step) (Output, error) {
			res, err := execute(ctx, connect.NewRequest(message(s)))
			if err != nil {
				return Output{}, err
			}
			return asOutput(PA(res.Msg)), nil
		},
		Load: func(ctx context.Context) (backend.Report, error) {
			res, err := load(ctx, connect.NewRequest(loadRequest))
			if err != nil {
				return backend.Report{}, err
			}
			return asReport(PLA(res.Msg)), nil
		},
	}
}

func asOutput(a answer) Output {
	return Output{
		Identity:    request.Identity{RequestID: a.GetRequestId(), Stage: a.GetStage(), Attempt: a.GetAttempt()},
		Incarnation: a.GetIncarnation(),
		Data:        a.GetOutput(),
		LengthBytes: a.GetLengthBytes(),
		SHA256:      a.GetSha256(),
	}
}

func asReport(a loadAnswer) backend.Report {
	return backend.Report{
		Incarnation: a.GetIncarnation(),
		Cold:        a.GetCold(),
		Leaving:     a.GetLeaving(),
		MeasuredAt:  time.UnixMilli(a.GetMeasuredAtUnixMs()),
	}
}
