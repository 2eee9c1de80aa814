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

// topPassages is the number of passages requested from retrievers and rerankers.
const topPassages = 4

// response is implemented by the responses of all servers that send a single
// message.
type response interface {
	GetRequestId() string
	GetStage() string
	GetAttempt() uint32
	GetIncarnation() string
	GetOutput() []byte
	GetLengthBytes() uint64
	GetSha256() []byte
}

// loadResponse is implemented by the load reports of all servers.
type loadResponse interface {
	GetIncarnation() string
	GetLeaving() bool
	GetCold() bool
	GetMeasuredAtUnixMs() int64
}

// NewEncoder returns a client for the encoder at a base URL.
func NewEncoder(client *http.Client, baseURL string) UnaryClient {
	c := encoderv1connect.NewEncoderServiceClient(boundedClient(client), baseURL, readLimit)
	return newUnaryClient(c.Encode, c.Load, &encoderv1.LoadRequest{}, func(s request.Step) *encoderv1.EncodeRequest {
		return &encoderv1.EncodeRequest{
			RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Input: s.Input,
			Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(),
		}
	})
}

// NewRetriever returns a client for the retriever at a base URL.
func NewRetriever(client *http.Client, baseURL string) UnaryClient {
	c := retrieverv1connect.NewRetrieverServiceClient(boundedClient(client), baseURL, readLimit)
	return newUnaryClient(c.Retrieve, c.Load, &retrieverv1.LoadRequest{}, func(s request.Step) *retrieverv1.RetrieveRequest {
		return &retrieverv1.RetrieveRequest{
			RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Input: s.Input,
			Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(), Top: topPassages,
		}
	})
}

// NewReranker returns a client for the reranker at a base URL.
func NewReranker(client *http.Client, baseURL string) UnaryClient {
	c := rerankerv1connect.NewRerankerServiceClient(boundedClient(client), baseURL, readLimit)
	return newUnaryClient(c.Rerank, c.Load, &rerankerv1.LoadRequest{}, func(s request.Step) *rerankerv1.RerankRequest {
		return &rerankerv1.RerankRequest{
			RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Input: s.Input,
			Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(), Top: topPassages,
		}
	})
}

// NewService returns a client for the plain service at a base URL.
func NewService(client *http.Client, baseURL string) UnaryClient {
	c := servicev1connect.NewPlainServiceClient(boundedClient(client), baseURL, readLimit)
	return newUnaryClient(c.Call, c.Load, &servicev1.LoadRequest{}, func(s request.Step) *servicev1.CallRequest {
		return &servicev1.CallRequest{
			RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Input: s.Input,
			Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(), Key: s.Key, Operation: s.Operation,
		}
	})
}

// unaryCall is a method of a generated client.
type unaryCall[Q, A any] func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// newUnaryClient builds a UnaryClient from two methods of a generated client and a
// function that converts a step to a request message.
func newUnaryClient[Q, A, LQ, LA any, PA interface {
	*A
	response
}, PLA interface {
	*LA
	loadResponse
}](execute unaryCall[Q, A], load unaryCall[LQ, LA], loadRequest *LQ, message func(request.Step) *Q) UnaryClient {
	return UnaryClient{
		Execute: func(ctx context.Context, s request.Step) (Output, error) {
			res, err := execute(ctx, connect.NewRequest(message(s)))
			if err != nil {
				return Output{}, err
			}
			return toOutput(PA(res.Msg)), nil
		},
		Load: func(ctx context.Context) (backend.Report, error) {
			res, err := load(ctx, connect.NewRequest(loadRequest))
			if err != nil {
				return backend.Report{}, err
			}
			return toReport(PLA(res.Msg)), nil
		},
	}
}

func toOutput(a response) Output {
	return Output{
		Identity:    request.Identity{RequestID: a.GetRequestId(), Stage: a.GetStage(), Attempt: a.GetAttempt()},
		Incarnation: a.GetIncarnation(),
		Data:        a.GetOutput(),
		LengthBytes: a.GetLengthBytes(),
		SHA256:      a.GetSha256(),
	}
}

func toReport(a loadResponse) backend.Report {
	return backend.Report{
		Incarnation: a.GetIncarnation(),
		Cold:        a.GetCold(),
		Leaving:     a.GetLeaving(),
		MeasuredAt:  time.UnixMilli(a.GetMeasuredAtUnixMs()),
	}
}
