package bench

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	callerv1 "lycheecrank.example/api/caller/v1"
	"lycheecrank.example/api/caller/v1/callerv1connect"
	"lycheecrank.example/request"
)

// Errors of answers that did not come.
var (
	errNoneReady = errors.New("no instance is ready")
	errBroken    = errors.New("stream doesn't fit its end mark")
)

// Caller sends requests to instances as their callers do. Set the exported
// fields before use. Concurrent calls are safe.
type Caller struct {
	HTTP *http.Client
	// Choose returns the address of the instance to ask, "" if none is ready.
	Choose func() string
}

// NewHTTP returns an HTTP client for a load: HTTP/1.1 with enough idle
// connections that bursts don't dial for each request.
func NewHTTP() *http.Client {
	const idle = 2048
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: idle, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// Send sends one request.
func (c *Caller) Send(ctx context.Context, a Arrival, start time.Time) Reply {
	address := c.Choose()
	if address == "" {
		return Reply{Err: errNoneReady}
	}
	m := &callerv1.RunRequest{
		Workspace: a.Workspace, Target: a.Target, Class: a.Asked, RequestId: a.ID(), Input: []byte(a.Input),
		TimeoutMs: max(1, (a.Timeout - time.Since(start)).Milliseconds()),
	}
	if a.Keyed {
		m.Key = uuid.Must(uuid.NewV7()).String()
	}
	client := callerv1connect.NewPipelineServiceClient(c.HTTP, "http://"+address)
	var r Reply
	if a.Streamed {
		r = stream(ctx, client, m, start)
	} else {
		r = unary(ctx, client, m)
	}
	r.Entry = address
	return r
}

func unary(ctx context.Context, client callerv1connect.PipelineServiceClient, m *callerv1.RunRequest) Reply {
	res, err := client.Run(ctx, connect.NewRequest(m))
	if err != nil {
		return Reply{Err: err}
	}
	return asReply(res.Msg, res.Msg.GetOutput())
}

func asReply(m *callerv1.RunResponse, output []byte) Reply {
	return Reply{
		RequestID: m.GetRequestId(), Outcome: request.Outcome(m.GetOutcome()),
		Reason: m.GetRefusal().GetCode(), Output: output,
	}
}

func stream(ctx context.Context, client callerv1connect.PipelineServiceClient, m *callerv1.RunRequest, start time.Time) Reply {
	s, err := client.RunStream(ctx, connect.NewRequest(m))
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = s.Close() }()
	var p pieces
	for s.Receive() {
		switch {
		case s.Msg().GetPiece() != nil:
			p.take(s.Msg().GetPiece(), start)
		case s.Msg().GetRestart() != nil:
			p = pieces{repeated: p.repeated}
		case s.Msg().GetEnd() != nil:
			return p.reply(s.Msg().GetEnd())
		}
	}
	return Reply{Err: errors.Join(errBroken, s.Err())}
}

// pieces puts the pieces of a stream together.
type pieces struct {
	next     uint32
	repeated bool
	gap      bool
	output   []byte
	first    time.Duration
	last     time.Time
	gaps     []time.Duration
}

func (p *pieces) take(m *callerv1.StreamPiece, start time.Time) {
	now := time.Now()
	switch {
	case m.GetNumber() < p.next:
		p.repeated = true
		return
	case m.GetNumber() > p.next:
		p.gap = true
	}
	if p.next == 0 {
		p.first = now.Sub(start)
	} else {
		p.gaps = append(p.gaps, now.Sub(p.last))
	}
	p.next, p.last = m.GetNumber()+1, now
	p.output = append(p.output, m.GetData()...)
}

func (p *pieces) reply(end *callerv1.StreamEnd) Reply {
	sum := sha256.Sum256(p.output)
	ran := end.GetResponse().GetOutcome() == callerv1.Outcome_OUTCOME_RAN
	if ran && (p.gap || p.next != end.GetPieces() || uint64(len(p.output)) != end.GetLengthBytes() || !bytes.Equal(sum[:], end.GetSha256())) {
		return Reply{Err: fmt.Errorf("%w: %d pieces of %d", errBroken, p.next, end.GetPieces())}
	}
	r := asReply(end.GetResponse(), p.output)
	r.Repeated, r.FirstPiece, r.Gaps = p.repeated, p.first, p.gaps
	return r
}
