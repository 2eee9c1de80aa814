package stage

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"connectrpc.com/connect"
)

const (
	// MaxHeadBytes is the largest head of an answer that an HTTP client for backend servers
	// should accept.
	MaxHeadBytes = 32 << 10
	// MaxOutputBytes is the size of the largest output of a step, which is that of the
	// largest message between two instances.
	MaxOutputBytes = 8 << 20
	// maxMessageBytes is the size of the largest message of a server: an output and the
	// fields beside it.
	maxMessageBytes = MaxOutputBytes + 64<<10
	// maxStreamBytes is the size of the largest stream of an engine. Each of its pieces
	// repeats the identity of the step.
	maxStreamBytes = 4 * MaxOutputBytes
)

// errAnswerTooLarge ends the body of an answer that is larger than any that a server sends.
var errAnswerTooLarge = errors.New("answer of the backend server too large")

// readLimit makes a call fail whose server sends a larger message.
var readLimit = connect.WithReadMaxBytes(maxMessageBytes)

// isTooLarge reports whether a call failed because the answer of the server exceeded a limit
// of this client. Package connect uses the code of an overloaded server for that.
func isTooLarge(err error) bool {
	return errors.Is(err, errAnswerTooLarge) || connect.CodeOf(err) == connect.CodeResourceExhausted && !connect.IsWireError(err)
}

// boundedClient returns an HTTP client that ends the bodies of answers at their largest
// size. The limit of package connect bounds the memory of a message, but reads on until the
// server ends its answer.
func boundedClient(client *http.Client) *http.Client {
	bounded := *client
	next := client.Transport
	if next == nil {
		next = http.DefaultTransport
	}
	bounded.Transport = boundedTransport{next}
	return &bounded
}

type boundedTransport struct{ next http.RoundTripper }

// RoundTrip sends a request and bounds the body of its response.
func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := b.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	limit := int64(maxMessageBytes)
	if strings.HasPrefix(res.Header.Get("Content-Type"), "application/connect+") {
		limit = maxStreamBytes
	}
	// One byte more tells the end of a body of the largest size.
	res.Body = &boundedBody{ReadCloser: res.Body, left: limit + 1}
	return res, nil
}

// boundedBody is a body of which at most a number of bytes are read.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read returns errAnswerTooLarge once no bytes are left.
func (b *boundedBody) Read(data []byte) (int, error) {
	if b.left <= 0 {
		return 0, errAnswerTooLarge
	}
	n, err := b.ReadCloser.Read(data[:min(int64(len(data)), b.left)])
	b.left -= int64(n)
	return n, err
}
