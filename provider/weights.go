package provider

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	platformv1 "lycheecrank.example/api/platform/v1"
	"lycheecrank.example/api/platform/v1/platformv1connect"
)

// ModelVersion describes the weights of a version of a model.
type ModelVersion struct {
	Model     string
	Version   string
	SizeBytes int64
	SHA256    []byte
}

// Ticket is a share of the weight store's bandwidth.
type Ticket struct {
	ID             string
	BytesPerSecond int64
}

// Weights is a client of the rate-limited weight store. Concurrent calls are
// safe.
type Weights struct {
	Describe func(ctx context.Context, model, version string) (ModelVersion, error)
	// Reserve returns ErrRateLimited while the store's rate limit is reached.
	Reserve func(ctx context.Context, model, version, reader string) (Ticket, error)
}

// NewWeights returns a client for the weight store at a base URL.
func NewWeights(client *http.Client, baseURL string) *Weights {
	c := weightsClient{platformv1connect.NewWeightsServiceClient(client, baseURL)}
	return &Weights{Describe: c.describe, Reserve: c.reserve}
}

type weightsClient struct {
	service platformv1connect.WeightsServiceClient
}

func (c weightsClient) describe(ctx context.Context, model, version string) (ModelVersion, error) {
	res, err := c.service.Describe(ctx, connect.NewRequest(&platformv1.DescribeRequest{Model: model, Version: version}))
	if err != nil {
		return ModelVersion{}, asPlatformError(err, "describe weights")
	}
	return ModelVersion{Model: model, Version: version, SizeBytes: res.Msg.GetSizeBytes(), SHA256: res.Msg.GetSha256()}, nil
}

func (c weightsClient) reserve(ctx context.Context, model, version, reader string) (Ticket, error) {
	res, err := c.service.Reserve(ctx, connect.NewRequest(&platformv1.ReserveRequest{Model: model, Version: version, Reader: reader}))
	if err != nil {
		return Ticket{}, asPlatformError(err, "reserve weights")
	}
	return Ticket{ID: res.Msg.GetTicket(), BytesPerSecond: res.Msg.GetBytesPerSecond()}, nil
}
