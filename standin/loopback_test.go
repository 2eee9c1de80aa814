package standin_test

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// loopback calls a handler without a network, so that handler and client share
// the clock of a synctest bubble.
type loopback struct {
	handler http.Handler
	running sync.WaitGroup
}

func (l *loopback) client() *http.Client { return &http.Client{Transport: l} }

// RoundTrip runs the handler and returns once it has sent its headers.
func (l *loopback) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(req.Context())
	body, out := io.Pipe()
	w := &pipeWriter{header: http.Header{}, out: out, started: make(chan int, 1)}
	l.running.Go(func() {
		defer func() {
			if recover() != nil {
				out.CloseWithError(io.ErrUnexpectedEOF)
				close(w.started)
				return
			}
			w.WriteHeader(http.StatusOK)
			_ = out.Close()
		}()
		l.handler.ServeHTTP(w, req.Clone(ctx))
	})
	select {
	case status, ok := <-w.started:
		if !ok {
			cancel()
			return nil, io.ErrUnexpectedEOF
		}
		return &http.Response{
			StatusCode: status, Header: w.sent, Body: &cancelBody{body, cancel},
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: req, ContentLength: -1,
		}, nil
	case <-ctx.Done():
		cancel()
		return nil, ctx.Err()
	}
}

type pipeWriter struct {
	header, sent http.Header
	out          *io.PipeWriter
	started      chan int
	once         sync.Once
}

func (w *pipeWriter) Header() http.Header { return w.header }

func (w *pipeWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.sent = w.header.Clone()
		w.started <- status
	})
}

func (w *pipeWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.out.Write(p)
}

func (w *pipeWriter) Flush() { w.WriteHeader(http.StatusOK) }

// cancelBody ends the handler's context when the client closes the body.
type cancelBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

func (b *cancelBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}
