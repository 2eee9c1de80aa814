package stage

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	enginev1 "lycheecrank.example/api/engine/v1"
	"lycheecrank.example/api/engine/v1/enginev1connect"
	"lycheecrank.example/backend"
	"lycheecrank.example/request"
)

// EngineMessage is a message of the stream of an engine: a piece or the end mark.
// Incarnation identifies one start of the engine.
type EngineMessage struct {
	Identity    request.Identity
	Incarnation string
	Number      uint32
	Data        []byte
	// IsEnd is set for the end mark, which also sets the fields below.
	IsEnd       bool
	PieceCount  uint32
	LengthBytes uint64
	SHA256      []byte
}

// OrderKind is the kind of an order to an engine.
type OrderKind int

// The kinds of orders.
const (
	LoadModel OrderKind = iota + 1
	LoadAdapter
	LoadVersion
	ChangeRole
)

// Order instructs an engine to load a model, adapter or version, or to change its
// role.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	Version string
	Role    string
	// FencingToken increases with each new holder of the permission to send
	// orders. Some engines do not check it.
	FencingToken uint64
}

// CacheEvent is a change of an engine's prefix cache. Events arrive with a delay,
// and a jump in Number means that events were lost.
type CacheEvent struct {
	Number       uint64
	PrefixDigest []byte
	Evicted      bool
	At           time.Time
}

// Engine is a client for a model engine. Concurrent calls are safe.
type Engine struct {
	// Execute starts an attempt and calls handle for each piece and the end mark.
	// An error from handle ends the stream.
	Execute func(ctx context.Context, step request.Step, handle func(EngineMessage) error) error
	// Resume continues the stream of an attempt at the piece number from.
	Resume func(ctx context.Context, id request.Identity, from uint32, handle func(EngineMessage) error) error
	// Cancel stops an attempt and reports whether the engine found it.
	Cancel func(ctx context.Context, id request.Identity) (bool, error)
	Order  func(ctx context.Context, o Order) error
	// CacheEvents calls handle for each event, starting at the number from, until
	// the stream ends.
	CacheEvents func(ctx context.Context, from uint64, handle func(CacheEvent) error) error
	// Load requests the load report of the engine.
	Load        func(ctx context.Context) (backend.Report, error)
	ExportCache func(ctx context.Context, prefixDigest []byte) ([]byte, error)
	ImportCache func(ctx context.Context, prefixDigest, cache []byte) error
}

// NewEngine returns a client for the engine at a base URL.
func NewEngine(client *http.Client, baseURL string) Engine {
	c := engineClient{enginev1connect.NewEngineServiceClient(boundedClient(client), baseURL, readLimit)}
	return Engine{
		Execute: c.execute, Resume: c.resume, Cancel: c.cancel, Order: c.order,
		CacheEvents: c.cacheEvents, Load: c.load, ExportCache: c.exportCache, ImportCache: c.importCache,
	}
}

type engineClient struct {
	service enginev1connect.EngineServiceClient
}

func (c engineClient) execute(ctx context.Context, s request.Step, handle func(EngineMessage) error) error {
	stream, err := c.service.Execute(ctx, connect.NewRequest(&enginev1.ExecuteRequest{
		RequestId: s.RequestID, Stage: s.Stage, Attempt: s.Attempt, Model: s.Model,
		Prompt: s.Input, Priority: uint32(s.Rank), DeadlineUnixMs: s.Deadline.UnixMilli(),
	}))
	if err != nil {
		return err
	}
	return receive(stream, handle)
}

func (c engineClient) resume(ctx context.Context, id request.Identity, from uint32, handle func(EngineMessage) error) error {
	stream, err := c.service.Resume(ctx, connect.NewRequest(&enginev1.ResumeRequest{
		RequestId: id.RequestID, Stage: id.Stage, Attempt: id.Attempt, From: from,
	}))
	if err != nil {
		return err
	}
	return receive(stream, handle)
}

func receive(stream *connect.ServerStreamForClient[enginev1.ExecuteResponse], handle func(EngineMessage) error) error {
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := handle(toEngineMessage(stream.Msg())); err != nil {
			return err
		}
	}
	return stream.Err()
}

func toEngineMessage(m *enginev1.ExecuteResponse) EngineMessage {
	message := EngineMessage{
		Identity:    request.Identity{RequestID: m.GetRequestId(), Stage: m.GetStage(), Attempt: m.GetAttempt()},
		Incarnation: m.GetIncarnation(),
	}
	if e := m.GetEnd(); e != nil {
		message.IsEnd, message.PieceCount, message.LengthBytes, message.SHA256 = true, e.GetPieces(), e.GetLengthBytes(), e.GetSha256()
		return message
	}
	message.Number, message.Data = m.GetPiece().GetNumber(), m.GetPiece().GetData()
	return message
}

func (c engineClient) cancel(ctx context.Context, id request.Identity) (bool, error) {
	res, err := c.service.Cancel(ctx, connect.NewRequest(&enginev1.CancelRequest{
		RequestId: id.RequestID, Stage: id.Stage, Attempt: id.Attempt,
	}))
	if err != nil {
		return false, err
	}
	return res.Msg.GetFound(), nil
}

func (c engineClient) order(ctx context.Context, o Order) error {
	_, err := c.service.Order(ctx, connect.NewRequest(&enginev1.OrderRequest{
		Kind: enginev1.OrderKind(o.Kind), Model: o.Model, Adapter: o.Adapter,
		Version: o.Version, Role: o.Role, FencingNumber: o.FencingToken,
	}))
	return err
}

func (c engineClient) cacheEvents(ctx context.Context, from uint64, handle func(CacheEvent) error) error {
	stream, err := c.service.CacheEvents(ctx, connect.NewRequest(&enginev1.CacheEventsRequest{From: from}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		m := stream.Msg()
		e := CacheEvent{Number: m.GetNumber(), PrefixDigest: m.GetPrefixDigest(), Evicted: m.GetEvicted(), At: time.UnixMilli(m.GetAtUnixMs())}
		if err := handle(e); err != nil {
			return err
		}
	}
	return stream.Err()
}

func (c engineClient) load(ctx context.Context) (backend.Report, error) {
	res, err := c.service.Load(ctx, connect.NewRequest(&enginev1.LoadRequest{}))
	if err != nil {
		return backend.Report{}, err
	}
	return toReport(res.Msg), nil
}

func (c engineClient) exportCache(ctx context.Context, prefixDigest []byte) ([]byte, error) {
	res, err := c.service.ExportCache(ctx, connect.NewRequest(&enginev1.ExportCacheRequest{PrefixDigest: prefixDigest}))
	if err != nil {
		return nil, err
	}
	return res.Msg.GetCache(), nil
}

func (c engineClient) importCache(ctx context.Context, prefixDigest, cache []byte) error {
	_, err := c.service.ImportCache(ctx, connect.NewRequest(&enginev1.ImportCacheRequest{PrefixDigest: prefixDigest, Cache: cache}))
	return err
}
