package delivery

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// eventReader reads a series of events (text/event-stream) and hands on whole
// ones only, so that a stream that is cut inside an event can go on with the
// next run of it.
type eventReader struct {
	source io.Reader
	// last is the number of the last whole event, 0 if there was none.
	last   int64
	buffer []byte
	isEnd  bool
}

// maxEvent bounds the size of an event.
const maxEvent = 1 << 20

var endOfEvent = []byte("\n\n")

// next returns the whole events that have arrived, at least one. It returns
// io.EOF after the last event of a stream that ended properly and ErrBroken for
// any other end.
func (r *eventReader) next() ([]byte, error) {
	chunk := make([]byte, 4<<10)
	for {
		if i := bytes.LastIndex(r.buffer, endOfEvent); i >= 0 {
			whole := bytes.Clone(r.buffer[:i+len(endOfEvent)])
			r.buffer = r.buffer[i+len(endOfEvent):]
			return whole, r.follow(whole)
		}
		if r.isEnd {
			if len(r.buffer) > 0 {
				return nil, eris.Wrap(ErrBroken, "stream ended inside an event")
			}
			return nil, io.EOF
		}
		if len(r.buffer) > maxEvent {
			return nil, eris.Wrap(ErrBroken, "event too large")
		}
		n, err := r.source.Read(chunk)
		r.buffer = append(r.buffer, chunk[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			r.isEnd = true
		case err != nil:
			// Whole events that came before the cut are still passed on.
			if bytes.LastIndex(r.buffer, endOfEvent) < 0 {
				return nil, eris.Wrap(ErrBroken, err.Error())
			}
			r.source = failedReader{err}
		}
	}
}

// failedReader repeats the error of a source.
type failedReader struct{ err error }

func (f failedReader) Read([]byte) (int, error) { return 0, f.err }

// follow checks that the numbers of events rise by one.
func (r *eventReader) follow(events []byte) error {
	for _, line := range bytes.Split(events, []byte("\n")) {
		text, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		if err != nil || r.last != 0 && n != r.last+1 {
			return eris.Wrapf(ErrBroken, "event %q after %d", text, r.last)
		}
		r.last = n
	}
	return nil
}
