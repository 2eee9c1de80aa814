package peer

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/codec"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

// messageType names what a message is.
type messageType string

// The types of messages. The instance that dialled opens exchanges; the other
// one answers them.
const (
	// helloType is the first message of both sides.
	helloType messageType = "hello"
	// digestType opens an exchange of digests and answers it.
	digestType messageType = "digest"
	// fetchType asks for records of a stream.
	fetchType messageType = "fetch"
	// recordsType answers a fetch, or hands records over.
	recordsType messageType = "records"
	// takenType answers records that were handed over.
	takenType messageType = "taken"
	// executeType asks the peer to dispatch a step.
	executeType messageType = "execute"
	// pieceType carries a part of the output of a step.
	pieceType messageType = "piece"
	// creditType lets the peer send more pieces.
	creditType messageType = "credit"
	// endType carries the result of a step.
	endType messageType = "end"
	// failureType ends an exchange without its answer.
	failureType messageType = "failure"
	// cancelType ends an exchange whose answer is no longer wanted.
	cancelType messageType = "cancel"
	// cancelRequestType asks the peer to cancel a request of a caller.
	cancelRequestType messageType = "cancelRequest"
	// cancelledType answers a cancelRequest.
	cancelledType messageType = "cancelled"
	// askType asks the peer something of a subject.
	askType messageType = "ask"
	// replyType answers an ask.
	replyType messageType = "reply"
	pingType  messageType = "ping"
	pongType  messageType = "pong"
)

// message is the envelope of all messages. The body that the type wants is set
// and no other.
type message struct {
	Type messageType `msgpack:"type"`
	// Exchange is the number of the exchange on its connection, from 1; 0 for
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
	// RemainingMs is the time to the deadline, since clocks differ.
	RemainingMs int64    `msgpack:"remainingMs"`
	Input       []byte   `msgpack:"input"`
	Key         string   `msgpack:"key,omitempty"`
	Operation   string   `msgpack:"operation,omitempty"`
	Model       string   `msgpack:"model,omitempty"`
	Repeatable  bool     `msgpack:"repeatable"`
	Avoid       []string `msgpack:"avoid,omitempty"`
	Revision    uint64   `msgpack:"revision"`
	// Hops counts the instances that passed the step on.
	Hops int `msgpack:"hops"`
	// Streamed asks for pieces.
	Streamed bool `msgpack:"streamed"`
}

// asExecuteBody truncates the remaining time to whole milliseconds, so that the
// peer's deadline is never later because of the encoding.
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
	// Pieces is the number of pieces sent before.
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

// askBody is a question whose encoding belongs to its subject.
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

// fromMilliseconds bounds the duration to a day either way, so that no number
// from a peer can overflow.
func fromMilliseconds(ms float64) time.Duration {
	const day = 24 * time.Hour
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(max(min(ms, toMilliseconds(day)), -toMilliseconds(day)) * float64(time.Millisecond))
}

// encode returns the bytes of a message, or ErrFrameTooLarge.
func (m message) encode() ([]byte, error) {
	data, err := codec.Marshal(&m)
	if err != nil {
		return nil, err
	}
	return data, checkSize(data)
}

// decodeMessage returns ErrMessageMalformed or ErrMessageUnknown for bytes that
// are no message.
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

// check reports whether the type is known and exactly its body is set.
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
	known, proper := isBodiless(m.Type), true
	for _, b := range bodies {
		known = known || b.name == m.Type
		proper = proper && b.set == (b.name == m.Type)
	}
	if !known {
		return eris.Wrapf(ErrMessageUnknown, "%.40q", string(m.Type))
	}
	if !proper {
		return eris.Wrapf(ErrMessageMalformed, "%s with a wrong body", m.Type)
	}
	connectionOnly := m.Type == helloType || m.Type == pingType || m.Type == pongType
	if connectionOnly != (m.Exchange == 0) {
		return eris.Wrapf(ErrMessageMalformed, "%s with a wrong exchange", m.Type)
	}
	return nil
}

func isBodiless(t messageType) bool {
	return t == takenType || t == cancelType || t == pingType || t == pongType
}
