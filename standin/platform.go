package standin

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	platformv1 "lycheecrank.example/api/platform/v1"
	"lycheecrank.example/api/platform/v1/platformv1connect"
	"lycheecrank.example/provider"
	"lycheecrank.example/standin/store"
)

// pageSize is how many records a read or a message of a tail has at most.
const pageSize = 1000

// PlatformOptions sets up a platform. The zero value is useful.
type PlatformOptions struct {
	Store store.Options
	// ListLag is by how much the list of instances is always late.
	ListLag time.Duration
}

// NewPlatform returns a stand-in for the platform: the log and the list of
// instances, both in memory.
func NewPlatform(o PlatformOptions) *Standin {
	table := store.NewTable(o.Store)
	h := &platformHandler{
		obedience: newObedience("platform"),
		commands:  store.NewCommands(table),
		queries:   store.NewQueries(table),
		listLag:   o.ListLag,
	}
	mux := http.NewServeMux()
	obey := h.obey()
	mux.Handle(platformv1connect.NewLogServiceHandler(h, obey))
	mux.Handle(platformv1connect.NewInstancesServiceHandler(h, obey))
	return newStandin(mux, h.obedience, nil)
}

type platformHandler struct {
	*obedience
	commands *store.Commands
	queries  *store.Queries
	listLag  time.Duration
}

// Append adds records to a stream, after a wait for the limit of appends.
func (h *platformHandler) Append(ctx context.Context, req *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	if req.Msg.GetStream() == "" || len(req.Msg.GetData()) == 0 {
		return nil, invalid("an append needs a stream and records")
	}
	wait, err := h.commands.ReserveAppend()
	if err != nil {
		return nil, failure(err)
	}
	if err := pause(ctx, wait); err != nil {
		return nil, failure(err)
	}
	first := h.commands.Append(req.Msg.GetStream(), req.Msg.GetData())
	return connect.NewResponse(&platformv1.AppendResponse{FirstOffset: first}), nil
}

// Read returns records from an offset on.
func (h *platformHandler) Read(ctx context.Context, req *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	limit := int(req.Msg.GetMax())
	if limit == 0 {
		limit = pageSize
	}
	page, _, err := h.queries.Read(req.Msg.GetStream(), req.Msg.GetFrom(), limit)
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&platformv1.ReadResponse{
		Records:  shaped(faultOf(ctx), asRecords(page.Records)),
		Earliest: page.Earliest,
		Next:     page.Next,
	}), nil
}

// Tail sends records from an offset on as they are appended.
func (h *platformHandler) Tail(ctx context.Context, req *connect.Request[platformv1.TailRequest], stream *connect.ServerStream[platformv1.TailResponse]) error {
	name, from := req.Msg.GetStream(), max(req.Msg.GetFrom(), 1)
	h.commands.Open(name)
	for {
		call, err := h.during(ctx, "Tail")
		if err != nil {
			return failure(err)
		}
		page, more, err := h.queries.Read(name, from, pageSize)
		if err != nil {
			return failure(err)
		}
		due, wait := dueRecords(page.Records, max(call.Lag, faultOf(ctx).Lag))
		if len(due) > 0 {
			from = due[len(due)-1].Offset + 1
			if err := stream.Send(&platformv1.TailResponse{Records: shaped(faultOf(ctx), asRecords(due))}); err != nil {
				return err
			}
			if faultOf(ctx).CutShort {
				return nil
			}
			continue
		}
		if !h.waitFor(ctx, more, call.Ended, wait) {
			return failure(context.Cause(ctx))
		}
	}
}

// dueRecords returns the records that are older than a lag, and how long until
// the next one is; 0 if there is none.
func dueRecords(records []provider.Record, lag time.Duration) (due []provider.Record, wait time.Duration) {
	for i, r := range records {
		if wait := lag - time.Since(r.AppendedAt); wait > 0 {
			return records[:i], wait
		}
	}
	return records, 0
}

// Announce enters an instance into the list.
func (h *platformHandler) Announce(_ context.Context, req *connect.Request[platformv1.AnnounceRequest]) (*connect.Response[platformv1.AnnounceResponse], error) {
	i := req.Msg.GetInstance()
	if i.GetName() == "" || i.GetIncarnation() == "" {
		return nil, invalid("an instance needs a name and an incarnation")
	}
	h.commands.Announce(provider.Instance{
		Name:        i.GetName(),
		Incarnation: i.GetIncarnation(),
		DataCentre:  i.GetDataCentre(),
		Role:        provider.Role(i.GetRole()),
		Address:     i.GetAddress(),
		PeerAddress: i.GetPeerAddress(),
		Leaving:     i.GetLeaving(),
	})
	return connect.NewResponse(&platformv1.AnnounceResponse{}), nil
}

// List returns the instances as they were some time ago.
func (h *platformHandler) List(ctx context.Context, _ *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	call := faultOf(ctx)
	var list []*platformv1.Instance
	for _, i := range h.queries.List(time.Now().Add(-h.listLag - call.Lag)) {
		list = append(list, &platformv1.Instance{
			Name:        i.Name,
			Incarnation: i.Incarnation,
			DataCentre:  i.DataCentre,
			Role:        platformv1.InstanceRole(i.Role),
			Address:     i.Address,
			PeerAddress: i.PeerAddress,
			Leaving:     i.Leaving,
		})
	}
	return connect.NewResponse(&platformv1.ListResponse{Instances: shaped(call, list)}), nil
}

func asRecords(from []provider.Record) []*platformv1.Record {
	records := make([]*platformv1.Record, 0, len(from))
	for _, r := range from {
		records = append(records, &platformv1.Record{
			Offset:           r.Offset,
			Data:             r.Data,
			AppendedAtUnixMs: r.AppendedAt.UnixMilli(),
		})
	}
	return records
}
