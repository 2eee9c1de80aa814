package peer

import (
	"context"

	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

// call is one exchange opened by a Client.
type call struct {
	conn         *dialledConn
	exchange     *outboundExchange
	firstMessage *queuedMessage
}

// openExchange connects, opens an exchange and queues its first message. Its
// errors are failures with Sent false.
func (c *Client) openExchange(ctx context.Context, address string, m message) (*call, error) {
	if ctx.Err() != nil {
		return nil, contextFailure(ctx, false)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	select {
	case conn.openLock <- struct{}{}:
		defer func() { <-conn.openLock }()
	case <-conn.done:
		return nil, request.Refuse(request.ReasonPeerUnreachable, conn.cause.Error())
	case <-ctx.Done():
		return nil, contextFailure(ctx, false)
	}
	opened := &call{conn: conn, exchange: conn.openExchange()}
	if err := opened.sendFirst(ctx, m); err != nil {
		opened.close()
		return nil, err
	}
	return opened, nil
}

// sendFirst queues the first message of the exchange.
func (c *call) sendFirst(ctx context.Context, m message) error {
	m.Exchange = c.exchange.id
	data, err := m.encode()
	if err != nil {
		return request.Refuse(request.ReasonInputTooLarge, err.Error())
	}
	c.firstMessage = &queuedMessage{data: data}
	err = c.conn.enqueue(ctx, c.firstMessage)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return contextFailure(ctx, false)
	}
	return request.Refuse(request.ReasonPeerUnreachable, err.Error())
}

func (c *call) close() { c.conn.closeExchange(c.exchange) }

// next waits for messages. If the context or the connection ends, it first returns the
// messages that have already arrived, and only its next call returns the error.
func (c *call) next(ctx context.Context) ([]message, error) {
	for {
		if messages := c.conn.drainInbox(c.exchange); len(messages) > 0 {
			return messages, nil
		}
		select {
		case <-c.exchange.ready:
			continue
		default:
		}
		select {
		case <-c.exchange.ready:
		case <-c.conn.done:
			if messages := c.conn.drainInbox(c.exchange); len(messages) > 0 {
				return messages, nil
			}
			return nil, request.Refuse(request.ReasonPeerUnreachable, c.conn.cause.Error()).WithSent(!c.firstMessage.withdraw())
		case <-ctx.Done():
			if messages := c.conn.drainInbox(c.exchange); len(messages) > 0 {
				return messages, nil
			}
			return nil, contextFailure(ctx, c.cancel())
		}
	}
}

// cancel notifies the peer that the answer is no longer needed. It reports
// whether the first message may have been sent.
func (c *call) cancel() (sent bool) {
	if c.firstMessage.withdraw() {
		return false
	}
	c.conn.enqueueControl(message{Type: cancelType, Exchange: c.exchange.id})
	return true
}

// rejectAnswer cancels an exchange after an invalid answer of the peer.
func (c *call) rejectAnswer(detail string) request.Failure {
	c.cancel()
	return request.Refuse(request.ReasonResultInvalid, detail).WithSent(true)
}

// roundTrip runs an exchange that has a single answer of the expected type.
func (c *Client) roundTrip(ctx context.Context, address string, m message, expected messageType) (message, error) {
	opened, err := c.openExchange(ctx, address, m)
	if err != nil {
		return message{}, err
	}
	defer opened.close()
	answers, err := opened.next(ctx)
	if err != nil {
		return message{}, err
	}
	answer := answers[0]
	switch answer.Type {
	case expected:
		return answer, nil
	case failureType:
		return message{}, answer.Failure.failure()
	}
	c.Counters.Add("answerRefused")
	return message{}, opened.rejectAnswer("peer answered " + string(m.Type) + " with " + string(answer.Type))
}

// ExchangeDigests sends a digest to the peer and returns the digest of the peer.
func (c *Client) ExchangeDigests(ctx context.Context, address string, d Digest) (Digest, error) {
	answer, err := c.roundTrip(ctx, address, message{Type: digestType, Digest: &d}, digestType)
	if err != nil {
		return Digest{}, err
	}
	return *answer.Digest, nil
}

// FetchRecords returns records of a stream after an offset, in ascending order of offset
// and without a gap between them. The peer may return only the first part of
// them; no records mean that it has none.
func (c *Client) FetchRecords(ctx context.Context, address, stream string, after uint64) ([]provider.Record, error) {
	m := message{Type: fetchType, Fetch: &fetchBody{Stream: stream, After: after}}
	answer, err := c.roundTrip(ctx, address, m, recordsType)
	if err != nil {
		return nil, err
	}
	records := answer.Records.Records
	if answer.Records.Stream != stream || !isConsecutive(records, after) {
		c.Counters.Add("recordsRefused")
		return nil, request.Refuse(request.ReasonResultInvalid, "records of stream "+stream+" are not the requested ones or have a gap between them").WithSent(true)
	}
	return records, nil
}

// SendRecords sends the leading records of a stream that fit into one message and
// returns their number.
func (c *Client) SendRecords(ctx context.Context, address, stream string, records []provider.Record) (int, error) {
	records = firstBatch(records)
	m := message{Type: recordsType, Records: &recordsBody{Stream: stream, Records: records}}
	if _, err := c.roundTrip(ctx, address, m, takenType); err != nil {
		return 0, err
	}
	return len(records), nil
}

// CancelRequest asks the peer to cancel a request of a workspace. It reports
// whether the peer has the request in flight.
func (c *Client) CancelRequest(ctx context.Context, address, workspace, requestID string) (bool, error) {
	m := message{Type: cancelRequestType, CancelRequest: &cancelRequestBody{Workspace: workspace, RequestID: requestID}}
	answer, err := c.roundTrip(ctx, address, m, cancelledType)
	if err != nil {
		return false, err
	}
	return answer.Cancelled.Found, nil
}

// Ask sends a query to the instance at an address and returns its reply. The subject
// names the kind of query, for example "heartbeat", and the Ask function of the peer's
// Server answers it.
func (c *Client) Ask(ctx context.Context, address, subject string, data []byte) ([]byte, error) {
	answer, err := c.roundTrip(ctx, address, message{Type: askType, Ask: &askBody{Subject: subject, Data: data}}, replyType)
	if err != nil {
		return nil, err
	}
	return answer.Reply.Data, nil
}
