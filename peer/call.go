package peer

import (
	"context"

	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

// call is one exchange of a Client.
type call struct {
	conn     *outbound
	exchange *exchange
	out      *outgoing
}

// begin connects, opens an exchange and queues its first message. Its errors are
// failures with nothing sent.
func (c *Client) begin(ctx context.Context, address string, m message) (*call, error) {
	if ctx.Err() != nil {
		return nil, ended(ctx, false)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	select {
	case conn.opening <- struct{}{}:
		defer func() { <-conn.opening }()
	case <-conn.done:
		return nil, request.Refuse(request.ReasonPeerUnreachable, conn.cause.Error())
	case <-ctx.Done():
		return nil, ended(ctx, false)
	}
	a := &call{conn: conn, exchange: conn.open()}
	if err := a.send(ctx, m); err != nil {
		a.end()
		return nil, err
	}
	return a, nil
}

// send queues the first message of the exchange.
func (a *call) send(ctx context.Context, m message) error {
	m.Exchange = a.exchange.id
	data, err := m.encode()
	if err != nil {
		return request.Refuse(request.ReasonInputTooLarge, err.Error())
	}
	a.out = &outgoing{data: data}
	err = a.conn.send(ctx, a.out)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return ended(ctx, false)
	}
	return request.Refuse(request.ReasonPeerUnreachable, err.Error())
}

// end closes the exchange.
func (a *call) end() { a.conn.close(a.exchange) }

// next waits for messages. Messages that arrived before the context or the
// connection ended are returned first.
func (a *call) next(ctx context.Context) ([]message, error) {
	for {
		if messages := a.conn.take(a.exchange); len(messages) > 0 {
			return messages, nil
		}
		select {
		case <-a.exchange.ready:
			continue
		default:
		}
		select {
		case <-a.exchange.ready:
		case <-a.conn.done:
			if messages := a.conn.take(a.exchange); len(messages) > 0 {
				return messages, nil
			}
			return nil, request.Refuse(request.ReasonPeerUnreachable, a.conn.cause.Error()).WithSent(!a.out.withdraw())
		case <-ctx.Done():
			if messages := a.conn.take(a.exchange); len(messages) > 0 {
				return messages, nil
			}
			return nil, ended(ctx, a.cancel())
		}
	}
}

// cancel tells the peer that the answer is no longer wanted. It reports whether
// the first message may have been sent.
func (a *call) cancel() (sent bool) {
	if a.out.withdraw() {
		return false
	}
	a.conn.post(message{Type: cancelType, Exchange: a.exchange.id})
	return true
}

// invalid ends an exchange that the peer answered wrongly.
func (a *call) invalid(detail string) request.Failure {
	a.cancel()
	return request.Refuse(request.ReasonResultInvalid, detail).WithSent(true)
}

// ask runs an exchange with one answer of the wanted type.
func (c *Client) ask(ctx context.Context, address string, m message, want messageType) (message, error) {
	a, err := c.begin(ctx, address, m)
	if err != nil {
		return message{}, err
	}
	defer a.end()
	answers, err := a.next(ctx)
	if err != nil {
		return message{}, err
	}
	answer := answers[0]
	switch answer.Type {
	case want:
		return answer, nil
	case failureType:
		return message{}, answer.Failure.failure()
	}
	c.Counters.Add("answerRefused")
	return message{}, a.invalid("peer answered " + string(m.Type) + " with " + string(answer.Type))
}

// Exchange gives the peer a digest and returns the peer's.
func (c *Client) Exchange(ctx context.Context, address string, d Digest) (Digest, error) {
	answer, err := c.ask(ctx, address, message{Type: digestType, Digest: &d}, digestType)
	if err != nil {
		return Digest{}, err
	}
	return *answer.Digest, nil
}

// Fetch returns records of a stream after an offset, in the order of their
// offsets and without a gap between them. The peer may answer with a part; no
// records mean that it has none.
func (c *Client) Fetch(ctx context.Context, address, stream string, after uint64) ([]provider.Record, error) {
	m := message{Type: fetchType, Fetch: &fetchBody{Stream: stream, After: after}}
	answer, err := c.ask(ctx, address, m, recordsType)
	if err != nil {
		return nil, err
	}
	records := answer.Records.Records
	if answer.Records.Stream != stream || !isConsecutive(records, after) {
		c.Counters.Add("recordsRefused")
		return nil, request.Refuse(request.ReasonResultInvalid, "records of "+stream+" out of order").WithSent(true)
	}
	return records, nil
}

// Send hands records of a stream to the peer, as many as fit a message, and
// returns how many.
func (c *Client) Send(ctx context.Context, address, stream string, records []provider.Record) (int, error) {
	records = fitting(records)
	m := message{Type: recordsType, Records: &recordsBody{Stream: stream, Records: records}}
	if _, err := c.ask(ctx, address, m, takenType); err != nil {
		return 0, err
	}
	return len(records), nil
}

// CancelRequest asks the peer to cancel a request of a workspace. It reports
// whether the peer has the request in flight.
func (c *Client) CancelRequest(ctx context.Context, address, workspace, requestID string) (bool, error) {
	m := message{Type: cancelRequestType, CancelRequest: &cancelRequestBody{Workspace: workspace, RequestID: requestID}}
	answer, err := c.ask(ctx, address, m, cancelledType)
	if err != nil {
		return false, err
	}
	return answer.Cancelled.Found, nil
}

// Ask asks the instance at an address something of a subject and returns its
// reply.
func (c *Client) Ask(ctx context.Context, address, subject string, data []byte) ([]byte, error) {
	answer, err := c.ask(ctx, address, message{Type: askType, Ask: &askBody{Subject: subject, Data: data}}, replyType)
	if err != nil {
		return nil, err
	}
	return answer.Reply.Data, nil
}
