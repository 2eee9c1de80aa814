package delivery

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// shortBody is a body that is full once after its first part.
type shortBody struct {
	parts  []string
	isFull bool
}

func (s *shortBody) Read(data []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(data, s.parts[0])
	s.parts = s.parts[1:]
	if !s.isFull {
		s.isFull = true
		return n, ErrBufferFull
	}
	return n, nil
}

// Guards against an answer that is cut, sent twice or taken for a fault of its server
// because there is no memory to buffer all of it.
func TestAnswerWithoutBufferIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter()
		r.script = []scriptedAnswer{{answer: Answer{Status: 200, IsValid: true}, body: &shortBody{parts: []string{"first ", "second ", "third"}}}}
		result := r.Deliver(t.Context(), r.attempt("/lookup/1"))
		is.Equal(result.Failure, nil)
		is.Equal(r.written.String(), "first second third")
		is.Equal(len(r.sends), 1)
	})
}

// closeRecorder is a body that records that it was closed.
type closeRecorder struct {
	io.Reader
	isClosed bool
}

func (c *closeRecorder) Close() error {
	c.isClosed = true
	return nil
}

// Guards against an answer without end of a server that fails, which is kept while the
// request is at the next server.
func TestRetriedAnswerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter()
		failed := &closeRecorder{Reader: strings.NewReader(strings.Repeat("x", maxBufferedBytes+1))}
		r.script = []scriptedAnswer{{answer: Answer{Status: 500, IsValid: true}, body: failed}, okAnswer("found")}
		r.OnAdmission = func(Admission) {}
		send := r.send
		attempt := r.attempt("/lookup/1")
		attempt.Send = func(ctx context.Context, options ForwardOptions) (Answer, error) {
			if len(r.sends) == 1 {
				is.True(failed.isClosed)
			}
			return send(ctx, options)
		}
		is.True(r.Deliver(t.Context(), attempt).Failure == nil)
		is.Equal(len(r.sends), 2)
	})
}
