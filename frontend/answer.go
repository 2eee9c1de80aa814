package frontend

import (
	"io"
	"sync/atomic"
	"time"

	"lycheecrank.example/intake"
)

// answerBlockBytes is the size in which the memory of an answer is counted.
const answerBlockBytes = 32 << 10

// Answer counts the bytes of an answer that were read from a backend server and are not
// yet written to the client. Concurrent calls are safe.
type Answer struct {
	request *intake.Request
	// pending is the number of bytes that are read and not written, reserved the memory
	// that is counted for them beside intake.FreeBytes.
	pending  atomic.Int64
	reserved atomic.Int64
	// open is the number of bodies that aren't closed.
	open atomic.Int64
}

// NewAnswer returns the answer to a request of the account.
func NewAnswer(request *intake.Request) *Answer { return &Answer{request: request} }

// Body returns a body whose bytes are counted when they are read. If memory is short, it
// returns full once; the reader must then write what it has before it reads on. If full is
// nil, the bytes are counted even if that exceeds the account.
func (a *Answer) Body(body io.ReadCloser, full error) io.ReadCloser {
	if a.request == nil {
		return body
	}
	a.open.Add(1)
	return &answerBody{ReadCloser: body, answer: a, full: full}
}

// Start records that the answer begins.
func (a *Answer) Start() error { return a.request.Advance(intake.Sending, time.Now()) }

// AddWritten deducts bytes that were written to the client.
func (a *Answer) AddWritten(bytes int) {
	pending := a.pending.Add(int64(-bytes))
	if a.reserved.Load() == 0 || pending > intake.FreeBytes {
		return
	}
	a.request.Shrink(a.reserved.Swap(0))
}

// add counts bytes that were read. It reports false if the account was exceeded.
func (a *Answer) add(bytes int) bool {
	pending := a.pending.Add(int64(bytes))
	if pending <= intake.FreeBytes+a.reserved.Load() {
		return true
	}
	isAvailable := a.request.TryGrow(answerBlockBytes)
	if !isAvailable {
		a.request.Overdraw(answerBlockBytes)
	}
	a.reserved.Add(answerBlockBytes)
	return isAvailable
}

// answerBody is the body of an answer of a backend server.
type answerBody struct {
	io.ReadCloser
	answer *Answer
	// full is the error for a reader that should write first, nil if it was returned.
	full     error
	isClosed atomic.Bool
}

// Close closes the body. Once no body is open, what was read and not written isn't needed any
// more: its answer was incomplete, or that of another server counts.
func (b *answerBody) Close() error {
	if !b.isClosed.Swap(true) && b.answer.open.Add(-1) == 0 {
		b.answer.AddWritten(int(b.answer.pending.Load()))
	}
	return b.ReadCloser.Close()
}

// Read reads at most one block, which is counted before the next one is read.
func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data[:min(len(data), answerBlockBytes)])
	if !b.answer.add(n) && err == nil {
		err, b.full = b.full, nil
	}
	return n, err
}
