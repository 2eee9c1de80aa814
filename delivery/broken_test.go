package delivery

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// streamWithError serves a stream whose first engine breaks it off after two events and
// whose second engine answers with an error. It reports whether the client gets nothing
// but events of the first engine and sees that the stream is truncated.
func streamWithError(t *testing.T, second scriptedAnswer, takesErrors bool) bool {
	isWhole := false
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter()
		r.script = []scriptedAnswer{brokenAnswer(events(1, 2) + "id: 3\nda"), second}
		attempt := r.attempt("/draft/1")
		if takesErrors {
			// The broken variant forwards the error of the second engine as an event.
			send := attempt.Send
			attempt.Send = func(ctx context.Context, options ForwardOptions) (Answer, error) {
				answer, err := send(ctx, options)
				if options.LastEvent > 0 {
					answer.Status, answer.IsValid, answer.IsNotRun = 200, true, false
					answer.Body = io.NopCloser(strings.NewReader("id: 3\ndata: engine failed\n\n"))
				}
				return answer, err
			}
		}
		result := r.Deliver(t.Context(), attempt)
		isWhole = r.written.String() == events(1, 2) && result.HasStarted && result.Failure != nil
	})
	return isWhole
}

// Guards against the error of a second engine in the middle of a stream, and against a
// stream that ends as if it were complete.
func TestErrorAfterBrokenStream(t *testing.T) {
	for _, row := range []struct {
		name   string
		second scriptedAnswer
	}{
		{"error", statusAnswer(500)},
		{"refusal", notRunAnswer()},
		{"without a body", okAnswer("")},
		{"without numbers", okAnswer("data: engine failed\n\n")},
		{"text", okAnswer("engine failed\n")},
		{"head", okAnswer("HTTP/1.1 500 Internal Server Error\r\n\r\n")},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.True(streamWithError(t, row.second, false))
			is.True(!streamWithError(t, row.second, true)) // the check finds the broken variant
		})
	}
}
