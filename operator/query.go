package operator

import (
	"context"

	"connectrpc.com/connect"

	operatorv1 "lycheecrank.example/api/operator/v1"
)

// queries implements the generated query service.
type queries struct {
	handler *Handler
}

// GetStatus implements the call of the same name.
func (q queries) GetStatus(ctx context.Context, _ *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	return connect.NewResponse(asMessage(q.handler.Status(ctx))), nil
}

func asMessage(s Status) *operatorv1.GetStatusResponse {
	m := &operatorv1.GetStatusResponse{
		Instance: s.Instance, Incarnation: s.Incarnation, DataCentre: s.DataCentre,
		CatalogueRevision: s.CatalogueRevision, Leaving: s.Leaving,
		LogContactAgeMs: s.LogContactAge.Milliseconds(), CatalogueOffset: s.CatalogueOffset,
	}
	for _, i := range s.Members {
		m.Instances = append(m.Instances, &operatorv1.InstanceStatus{
			Name: i.Name, DataCentre: i.DataCentre, Leaving: i.IsLeaving, Reachable: i.IsReachable, Address: i.Address,
		})
	}
	for _, b := range s.Servers {
		m.Servers = append(m.Servers, &operatorv1.ServerStatus{
			Name: b.Name, Pool: b.Pool, DataCentre: b.DataCentre, Warmth: b.Warmth.String(),
			InFlight: uint32(b.InFlight), Limit: uint32(b.Limit), Leaving: b.IsLeaving(),
		})
	}
	for _, d := range s.Queues {
		m.Queues = append(m.Queues, &operatorv1.QueueStatus{Pool: d.Pool, Class: d.Class, Waiting: uint32(d.Waiting)})
	}
	for _, o := range s.Ownerships {
		m.Ownerships = append(m.Ownerships, &operatorv1.OwnershipStatus{
			Pool: o.Pool, DataCentre: o.DataCentre, Instance: s.Instance, Term: o.Term, LeaseValid: o.LeaseValid,
		})
	}
	for _, h := range s.Holds {
		m.Holds = append(m.Holds, &operatorv1.HoldStatus{DataCentre: h.DataCentre, Operator: h.Operator, EndsUnixMs: h.EndsAt.UnixMilli()})
	}
	return m
}
