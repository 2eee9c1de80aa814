package peer

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/codec"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

type messageType string

// The message types. The instance that dialled opens exchanges, and the other one
// answers them.
const (
	// helloType is the first message of both sides.
	helloType messageType = "hello"
	// digestType carries a digest; it opens an exchange of digests and also answers
	// it.
	digestType messageType = "digest"
	// fetchType requests records of a stream.
	fetchType messageType = "fetch"
	// recordsType carries records, either as the answer to a fetch or to push them
	// to the peer.
	recordsType messageType = "records"
	// takenType acknowledges pushed records.
	takenType messageType = "taken"
	// executeType asks the peer to dispatch a step.
	executeType messageType = "execute"
	// pieceType carries a part of the output of a step.
	pieceType messageType = "piece"
	// creditType allows the peer to send more pieces.
	creditType messageType = "credit"
	// endType carries the result of a step.
	endType messageType = "end"
	// failureType ends an exchange with an error instead of its answer.
	failureType messageType = "failure"
	// cancelType ends an exchange whose answer is no longer needed.
	cancelType messageType = "cancel"
	// cancelRequestType asks the peer to cancel a request of a caller.
	cancelRequestType messageType = "cancelRequest"
	// cancelledType answers a cancelRequest.
	cancelledType messageType = "cancelled"
	// askType carries a query, whose kind is named by a subject such as "heartbeat".
	askType messageType = "ask"
	// replyType answers an ask.
	replyType messageType = "reply"
	pingType  messageType = "ping"
	pongType  messageType = "pong"
)

// message is the envelope of all messages. Exactly the body that belongs to the
// type is set; some types have none.
type message struct {
	Type messageType `msgpack:"type"`
	// Exchange is the number of the exchange on its connection, starting at 1; 0 for
	// messages about the connection itself.
	Exchange      uint64             `msgpack:"exchange,omitempty"`
	Hello         *Hello             `msgpack:"hello,omitempty"`
	Digest        *Digest            `msgpack:"digest,omitempty"`
	Fetch         *fetchBody         `msgpack:"fetch,omitempty"`
	Records       *recordsBody       `msgpack:"records,omitempty"`
	Execute       *executeBody       `msgpack:"execute,omitempty"`
	Piece         *pieceBody         `msgpack:"piece,omitempty"`
	Credit        *creditBody        `msgpack:"credit,omitempty"`
	End           *endBody           `msgpack:"end,omitempty"`
	Failure       *failureBody       `msgpack:"failure,omitempty"`
	CancelRequest *cancelRequestBody `msgpack:"cancelRequest,omitempty"`
	Cancelled     *cancelledBody     `msgpack:"cancelled,omitempty"`
	Ask           *askBody           `msgpack:"ask,omitempty"`
	Reply         *replyBody         `msgpack:"reply,omitempty"`
}

type fetchBody struct {
	Stream string `msgpack:"stream"`
	After  uint64 `msgpack:"after"`
}

type recordsBody struct {
	Stream  string            `msgpack:"stream"`
	Records []provider.Record `msgpack:"records"`
}

type executeBody struct {
	RequestID string       `msgpack:"requestId"`
	Workspace string       `msgpack:"workspace"`
	Class     string       `msgpack:"class"`
	Rank      int          `msgpack:"rank"`
	Weight    int          `msgpack:"weight"`
	Stage     string       `msgpack:"stage"`
	Kind      request.Kind `msgpack:"kind"`
	Pool      string       `msgpack:"pool"`
	Attempt   uint32       `msgpack:"attempt"`
	// RemainingMs is the time until the deadline. It is relative because clocks
	// differ.
	RemainingMs int64    `msgpack:"remainingMs"`
	Input       []byte   `msgpack:"input"`
	Key         string   `msgpack:"key,omitempty"`
	Operation   string   `msgpack:"operation,omitempty"`
	Model       string   `msgpack:"model,omitempty"`
	Repeatable  bool     `msgpack:"repeatable"`
	Avoid       []string `msgpack:"avoid,omitempty"`
	Revision    uint64   `msgpack:"revision"`
	// Hops counts the instances that have forwarded the step.
	Hops int `msgpack:"hops"`
	// Streamed requests pieces.
	Streamed bool `msgpack:"streamed"`
}

// asExecuteBody truncates the remaining time to whole milliseconds, so that the
// encoding never makes the deadline of the peer later.
func asExecuteBody(s request.Step, streamed bool, now time.Time) *executeBody {
	return &executeBody{
		RequestID:   s.RequestID,
		Workspace:   s.Workspace,
		Class:       s.Class,
		Rank:        s.Rank,
		Weight:      s.Weight,
		Stage:       s.Stage,
		Kind:        s.Kind,
		Pool:        s.Pool,
		Attempt:     s.Attempt,
		RemainingMs: s.Deadline.Sub(now).Milliseconds(),
		Input:       s.Input,
		Key:         s.Key,
		Operation:   s.Operation,
		Model:       s.Model,
		Repeatable:  s.Repeatable,
		Avoid:       s.AvoidServers,
		Revision:    s.Revision,
		Hops:        s.Hops,
		Streamed:    streamed,
	}
}

func (e *executeBody) step(now time.Time) request.Step {
	return request.Step{
		RequestID:    e.RequestID,
		Workspace:    e.Workspace,
		Class:        e.Class,
		Rank:         e.Rank,
		Weight:       e.Weight,
		Stage:        e.Stage,
		Kind:         e.Kind,
		Pool:         e.Pool,
		Attempt:      e.Attempt,
		Deadline:     now.Add(fromMilliseconds(float64(e.RemainingMs))),
		Input:        e.Input,
		Key:          e.Key,
		Operation:    e.Operation,
		Model:        e.Model,
		Repeatable:   e.Repeatable,
		AvoidServers: e.Avoid,
		Revision:     e.Revision,
		Hops:         e.Hops,
	}
}

type pieceBody struct {
	Attempt uint32 `msgpack:"attempt"`
	Number  uint32 `msgpack:"number"`
	Data    []byte `msgpack:"data"`
}

type creditBody struct {
	Bytes int64 `msgpack:"bytes"`
}

type endBody struct {
	RequestID  string  `msgpack:"requestId"`
	Stage      string  `msgpack:"stage"`
	Attempt    uint32  `msgpack:"attempt"`
	Output     []byte  `msgpack:"output"`
	Server     string  `msgpack:"backendServer"`
	Instance   string  `msgpack:"instance"`
	DataCentre string  `msgpack:"dataCentre"`
	WaitedMs   float64 `msgpack:"waitedMs"`
	ExecutedMs float64 `msgpack:"executedMs"`
	// Pieces is the number of pieces sent before the end.
	Pieces uint32 `msgpack:"pieces"`
}

func asEndBody(r request.Result, pieces uint32) *endBody {
	return &endBody{
		RequestID:  r.Identity.RequestID,
		Stage:      r.Identity.Stage,
		Attempt:    r.Identity.Attempt,
		Output:     r.Output,
		Server:     r.Server,
		Instance:   r.Instance,
		DataCentre: r.DataCentre,
		WaitedMs:   toMilliseconds(r.QueueTime),
		ExecutedMs: toMilliseconds(r.ExecutionTime),
		Pieces:     pieces,
	}
}

func (e *endBody) result() request.Result {
	return request.Result{
		Identity:      request.Identity{RequestID: e.RequestID, Stage: e.Stage, Attempt: e.Attempt},
		Output:        e.Output,
		Server:        e.Server,
		Instance:      e.Instance,
		DataCentre:    e.DataCentre,
		QueueTime:     fromMilliseconds(e.WaitedMs),
		ExecutionTime: fromMilliseconds(e.ExecutedMs),
	}
}

type failureBody struct {
	Reason       request.Reason `msgpack:"reason"`
	Detail       string         `msgpack:"detail"`
	Sent         bool           `msgpack:"sent"`
	Server       string         `msgpack:"backendServer,omitempty"`
	DataCentre   string         `msgpack:"dataCentre,omitempty"`
	RetryAfterMs float64        `msgpack:"retryAfterMs,omitempty"`
}

func asFailureBody(f request.Failure) *failureBody {
	return &failureBody{
		Reason:       f.Reason,
		Detail:       f.Detail,
		Sent:         f.Sent,
		Server:       f.Server,
		DataCentre:   f.DataCentre,
		RetryAfterMs: toMilliseconds(f.RetryAfter),
	}
}

func (f *failureBody) failure() request.Failure {
	if f.Reason == "" {
		return request.Refuse(request.ReasonOutcomeUnknown, f.Detail).WithSent(true)
	}
	return request.Failure{
		Reason:     f.Reason,
		Detail:     f.Detail,
		Sent:       f.Sent,
		Server:     f.Server,
		DataCentre: f.DataCentre,
		RetryAfter: fromMilliseconds(f.RetryAfterMs),
	}
}

type cancelRequestBody struct {
	Workspace string `msgpack:"workspace"`
	RequestID string `msgpack:"requestId"`
}

// askBody is a query. Its subject names the kind of query and determines the encoding
// of the data.
type askBody struct {
	Subject string `msgpack:"subject"`
	Data    []byte `msgpack:"data"`
}

type replyBody struct {
	Data []byte `msgpack:"data"`
}

type cancelledBody struct {
	Found bool `msgpack:"found"`
}

func toMilliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// fromMilliseconds limits the duration to a day in either direction, so that no
// number from a peer can overflow it.
func fromMilliseconds(ms float64) time.Duration {
	const day = 24 * time.Hour
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(max(min(ms, toMilliseconds(day)), -toMilliseconds(day)) * float64(time.Millisecond))
}

// encode returns the bytes of a message. It returns ErrFrameTooLarge if they
// exceed MaxFrame.
func (m message) encode() ([]byte, error) {
	data, err := codec.Marshal(&m)
	if err != nil {
		return nil, err
	}
	return data, checkSize(data)
}

// decodeMessage decodes a message. It returns ErrMessageMalformed or
// ErrMessageUnknown for data that is not a valid message.
func decodeMessage(data []byte) (message, error) {
	if err := checkWellFormed(data); err != nil {
		return message{}, err
	}
	var m message
	if err := codec.Unmarshal(data, &m); err != nil {
		return message{}, eris.Wrap(ErrMessageMalformed, err.Error())
	}
	return m, m.check()
}

// check returns an error if the type is unknown or if other bodies than the one
// of the type are set.
func (m message) check() error {
	bodies := [...]struct {
		name messageType
		set  bool
	}{
		{helloType, m.Hello != nil},
		{digestType, m.Digest != nil},
		{fetchType, m.Fetch != nil},
		{recordsType, m.Records != nil},
		{executeType, m.Execute != nil},
		{pieceType, m.Piece != nil},
		{creditType, m.Credit != nil},
		{endType, m.End != nil},
		{failureType, m.Failure != nil},
		{cancelRequestType, m.CancelRequest != nil},
		{cancelledType, m.Cancelled != nil},
		{askType, m.Ask != nil},
		{replyType, m.Reply != nil},
	}
	known, bodyMatches := isBodiless(m.Type), true
	for _, b := range bodies {
		known = known || b.name == m.Type
		bodyMatches = bodyMatches && b.set == (b.name == m.Type)
	}
	if !known {
		return eris.Wrapf(ErrMessageUnknown, "%.40q", string(m.Type))
	}
	if !bodyMatches {
		return eris.Wrapf(ErrMessageMalformed, "%s message without its body or with the body of another type", m.Type)
	}
	connectionOnly := m.Type == helloType || m.Type == pingType || m.Type == pongType
	if connectionOnly != (m.Exchange == 0) {
		return eris.Wrapf(ErrMessageMalformed, "%s with a missing or superfluous exchange number", m.Type)
	}
	return nil
}

func isBodiless(t messageType) bool {
	return t == takenType || t == cancelType || t == pingType || t == pongType
}
