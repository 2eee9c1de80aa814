// Package operator is the front end for operators: it translates between the
// protobuf interface and the state of an instance. Queries and commands are
// separate services.
package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	operatorv1 "lycheecrank.example/api/operator/v1"
	"lycheecrank.example/api/operator/v1/operatorv1connect"
	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/member"
)

// Status is the state of an instance.
type Status struct {
	Instance          string
	Incarnation       string
	DataCentre        string
	CatalogueRevision uint64
	CatalogueOffset   uint64
	Leaving           bool
	// LogContactAge is the time since the log last answered.
	LogContactAge time.Duration
	Members       []member.Instance
	// Servers are those that the instance dispatches to.
	Servers    []Server
	Queues     []dispatch.Depth
	Ownerships []Ownership
	Holds      []catalogue.Hold
}

// Server is a backend server with its current limit.
type Server struct {
	backend.Server
	Limit int
}

// Ownership is a term of the instance.
type Ownership struct {
	Pool       string
	DataCentre string
	Term       uint64
	LeaseValid bool
}

// Handler serves the operators' interface. Set the exported fields before use.
type Handler struct {
	Status func(ctx context.Context) Status
	// Hold places a hold on a data centre and returns when it ends; the duration
	// 0 ends the hold.
	Hold func(ctx context.Context, dataCentre, by string, d time.Duration) (time.Time, error)
}

// MaxMessageBytes bounds the requests of operators, which hold a few names.
const MaxMessageBytes = 64 << 10

// Routes returns the handlers of the services by path.
func (h *Handler) Routes() map[string]http.Handler {
	queryPath, query := operatorv1connect.NewQueryServiceHandler(queries{h}, connect.WithReadMaxBytes(MaxMessageBytes))
	commandPath, command := operatorv1connect.NewCommandServiceHandler(commands{h}, connect.WithReadMaxBytes(MaxMessageBytes))
	return map[string]http.Handler{queryPath: query, commandPath: command}
}

// commands implements the generated command service.
type commands struct {
	handler *Handler
}

// HoldDataCentre implements the call of the same name.
func (c commands) HoldDataCentre(ctx context.Context, req *connect.Request[operatorv1.HoldDataCentreRequest]) (*connect.Response[operatorv1.HoldDataCentreResponse], error) {
	d := time.Duration(req.Msg.GetDurationMs()) * time.Millisecond
	ends, err := c.handler.Hold(ctx, req.Msg.GetDataCentre(), req.Msg.GetOperator(), d)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&operatorv1.HoldDataCentreResponse{EndsUnixMs: ends.UnixMilli()}), nil
}
