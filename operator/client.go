package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	operatorv1 "lycheecrank.example/api/operator/v1"
	"lycheecrank.example/api/operator/v1/operatorv1connect"
	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/member"
)

// Sentinel errors of Client.
var (
	// ErrUnavailable: the instance did not answer. A hold may have been placed
	// all the same.
	ErrUnavailable = errors.New("instance unavailable")
	// ErrRefused: the instance does not accept the command.
	ErrRefused = errors.New("refused by the instance")
)

// Client asks one instance. Concurrent calls are safe. The calls return
// ErrUnavailable or ErrRefused.
type Client struct {
	// Status reads the state of the instance. Server views hold what the message
	// has: name, pool, data centre, warmth, steps in flight, limit and leaving.
	Status func(ctx context.Context) (Status, error)
	// Hold places a hold on a data centre and returns when it ends; the duration
	// 0 ends the hold.
	Hold func(ctx context.Context, dataCentre, by string, d time.Duration) (time.Time, error)
}

// NewClient returns a client for the instance at a base URL.
func NewClient(client *http.Client, baseURL string) Client {
	q := queryClient{operatorv1connect.NewQueryServiceClient(client, baseURL)}
	c := commandClient{operatorv1connect.NewCommandServiceClient(client, baseURL)}
	return Client{Status: q.status, Hold: c.hold}
}

type queryClient struct {
	service operatorv1connect.QueryServiceClient
}

func (c queryClient) status(ctx context.Context) (Status, error) {
	res, err := c.service.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return Status{}, asClientError(err)
	}
	return asStatus(res.Msg), nil
}

type commandClient struct {
	service operatorv1connect.CommandServiceClient
}

func (c commandClient) hold(ctx context.Context, dataCentre, by string, d time.Duration) (time.Time, error) {
	res, err := c.service.HoldDataCentre(ctx, connect.NewRequest(&operatorv1.HoldDataCentreRequest{
		DataCentre: dataCentre, Operator: by, DurationMs: d.Milliseconds(),
	}))
	if err != nil {
		return time.Time{}, asClientError(err)
	}
	return time.UnixMilli(res.Msg.GetEndsUnixMs()).UTC(), nil
}

func asClientError(err error) error {
	if connect.CodeOf(err) == connect.CodeInvalidArgument {
		return eris.Wrap(ErrRefused, err.Error())
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// asStatus is the reverse of asMessage.
func asStatus(m *operatorv1.GetStatusResponse) Status {
	s := Status{
		Instance: m.GetInstance(), Incarnation: m.GetIncarnation(), DataCentre: m.GetDataCentre(),
		CatalogueRevision: m.GetCatalogueRevision(), CatalogueOffset: m.GetCatalogueOffset(), Leaving: m.GetLeaving(),
		LogContactAge: time.Duration(m.GetLogContactAgeMs()) * time.Millisecond,
	}
	for _, i := range m.GetInstances() {
		s.Members = append(s.Members, member.Instance{
			Name: i.GetName(), DataCentre: i.GetDataCentre(), Address: i.GetAddress(),
			IsLeaving: i.GetLeaving(), IsReachable: i.GetReachable(),
		})
	}
	for _, b := range m.GetServers() {
		s.Servers = append(s.Servers, Server{Limit: int(b.GetLimit()), Server: backend.Server{
			Spec:   backend.Spec{Name: b.GetName(), Pool: b.GetPool(), DataCentre: b.GetDataCentre()},
			Warmth: asWarmth(b.GetWarmth()), InFlight: int(b.GetInFlight()), ReportedLeaving: b.GetLeaving(),
		}})
	}
	for _, q := range m.GetQueues() {
		s.Queues = append(s.Queues, dispatch.Depth{Pool: q.GetPool(), Class: q.GetClass(), Waiting: int(q.GetWaiting())})
	}
	for _, o := range m.GetOwnerships() {
		s.Ownerships = append(s.Ownerships, Ownership{
			Pool: o.GetPool(), DataCentre: o.GetDataCentre(), Term: o.GetTerm(), LeaseValid: o.GetLeaseValid(),
		})
	}
	for _, h := range m.GetHolds() {
		s.Holds = append(s.Holds, catalogue.Hold{
			DataCentre: h.GetDataCentre(), Operator: h.GetOperator(), EndsAt: time.UnixMilli(h.GetEndsUnixMs()).UTC(),
		})
	}
	return s
}

// asWarmth returns the warmth of a name; an unknown name counts as cold, as an
// unknown server does.
func asWarmth(name string) backend.Warmth {
	for _, w := range []backend.Warmth{backend.Warming, backend.Warm} {
		if w.String() == name {
			return w
		}
	}
	return backend.Cold
}
