package frontend

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"lycheecrank.example/intake"
)

const (
	// messageFactor is the memory that a byte of a message takes while a protocol library
	// reads and decodes it: the buffer, which grows by doubling, and the decoded message.
	messageFactor = 2
	// messageBlockBytes is the size in which the memory of a message is counted.
	messageBlockBytes = 16 << 10
)

// Handler returns a handler that counts the requests of another one, whose messages have a
// largest size after decompression. It responds with 503 if memory is short before the body
// of a request is read.
func (f *Frontend) Handler(next http.Handler, maxMessage int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted, err := f.Begin(r)
		refusing := &refusingWriter{ResponseWriter: w, request: counted, ctx: r.Context()}
		if err != nil {
			refusing.isRefused = true
			refusing.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if counted == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer func() { counted.End(time.Now()) }()
		if r.ContentLength != 0 {
			body := &countedBody{ReadCloser: r.Body, writer: refusing, pace: f.newPace()}
			if isCompressed(r.Header) {
				body.expanded = maxMessage
				if r.ContentLength > 0 {
					body.expanded = min(maxMessage, r.ContentLength*maxCompression)
				}
				r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, body))
			}
			r.Body = body
		} else if counted.Advance(intake.Serving, time.Now()) != nil {
			refusing.isRefused = true
			refusing.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(refusing, r)
	})
}

// maxCompression is the largest ratio of the sizes of a message without and with gzip.
const maxCompression = 1032

// isCompressed reports whether the messages of a request may be compressed, in any of the
// protocols of package caller.
func isCompressed(header http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if encoding := header.Get(name); encoding != "" && encoding != "identity" {
			return true
		}
	}
	return false
}

// bodyKey is the key of the compressed body in the context of a request.
type bodyKey struct{}

// SetDecodedSize records the size of the message of a request once it is decoded. Until
// then, a compressed message is counted with the largest size that it may have.
func SetDecodedSize(ctx context.Context, bytes int) {
	body, ok := ctx.Value(bodyKey{}).(*countedBody)
	if !ok {
		return
	}
	if excess := messageFactor * (body.expanded - int64(bytes)); excess > 0 {
		body.writer.request.Shrink(excess)
	}
}

// countedBody counts the bytes of a body before they are read.
type countedBody struct {
	io.ReadCloser
	writer *refusingWriter
	pace   pace
	// expanded is the largest size of the message if it is compressed, otherwise 0. It is
	// counted before the first byte is read.
	expanded int64
	read     int64
	counted  int64
}

// grow counts the memory for the next bytes of the body.
func (b *countedBody) grow() error {
	size := int64(messageBlockBytes)
	if b.counted == 0 {
		if b.expanded == 0 {
			b.counted = intake.FreeBytes
			return nil
		}
		size += b.expanded
	}
	if err := b.writer.request.Grow(b.writer.ctx, messageFactor*size, intake.Patience); err != nil {
		return err
	}
	b.counted += messageBlockBytes
	return nil
}

// Read reads as much as is counted. At the end of the body the request is no longer shed,
// because it is executed from then on.
func (b *countedBody) Read(data []byte) (int, error) {
	if room := b.counted - b.read; room == 0 {
		if err := b.grow(); err != nil {
			b.writer.isRefused = true
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(data[:min(int64(len(data)), b.counted-b.read)])
	b.read += int64(n)
	if err == nil {
		err = b.pace.wait(b.writer.ctx, n)
	}
	if errors.Is(err, io.EOF) {
		if failure := b.writer.request.Advance(intake.Serving, time.Now()); failure != nil {
			err = failure
		}
	}
	if err != nil && !errors.Is(err, io.EOF) && b.writer.request.IsShed() {
		b.writer.isRefused = true
	}
	return n, err
}

// refusingWriter replaces the response to a request whose body was not read because memory
// was short, and counts the bytes of other responses while they are written.
type refusingWriter struct {
	http.ResponseWriter
	request   *intake.Request
	ctx       context.Context
	isRefused bool
	hasBegun  bool
}

// WriteHeader writes the status, 503 for a refused request.
func (w *refusingWriter) WriteHeader(status int) {
	w.hasBegun = true
	if w.isRefused {
		header := w.Header()
		header.Set("Retry-After", strconv.FormatFloat(math.Ceil(RefusedRetryAfter.Seconds()), 'f', -1, 64))
		Abandon(w.ResponseWriter)
		status = http.StatusServiceUnavailable
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write counts a part of the response while it is written.
func (w *refusingWriter) Write(data []byte) (int, error) {
	if !w.hasBegun {
		w.WriteHeader(http.StatusOK)
	}
	if len(data) <= intake.FreeBytes || w.isRefused {
		return w.ResponseWriter.Write(data)
	}
	if err := w.request.Advance(intake.Sending, time.Now()); err != nil {
		return 0, err
	}
	// The response is in memory as the output of the request and as the encoded message.
	size := int64(messageFactor * len(data))
	if err := w.request.Grow(w.ctx, size, intake.AnswerPatience); err != nil {
		return 0, err
	}
	defer w.request.Shrink(size)
	return w.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController the wrapped writer.
func (w *refusingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush passes on a flush, which streams need.
func (w *refusingWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
