package delivery

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// eventReader reads a text/event-stream and returns complete events only, so that
// a stream that was cut inside an event can resume with that event on another
// engine.
type eventReader struct {
	source io.Reader
	// lastEvent is the number of the last complete event, 0 if there was none.
	lastEvent     int64
	buffer        []byte
	isSourceAtEnd bool
}

// maxEventBytes is the largest size of an event in bytes.
const maxEventBytes = 1 << 20

var endOfEvent = []byte("\n\n")

// next waits for at least one complete event and returns all complete events that have
// arrived. After the last event, it returns io.EOF if the stream ended with a complete
// event, and ErrNoValidAnswer otherwise.
func (r *eventReader) next() ([]byte, error) {
	chunk := make([]byte, 4<<10)
	for {
		if i := bytes.LastIndex(r.buffer, endOfEvent); i >= 0 {
			complete := bytes.Clone(r.buffer[:i+len(endOfEvent)])
			r.buffer = r.buffer[i+len(endOfEvent):]
			return complete, r.checkNumbers(complete)
		}
		if r.isSourceAtEnd {
			if len(r.buffer) > 0 {
				return nil, eris.Wrap(ErrNoValidAnswer, "stream ended inside an event")
			}
			return nil, io.EOF
		}
		if len(r.buffer) > maxEventBytes {
			return nil, eris.Wrap(ErrNoValidAnswer, "event too large")
		}
		n, err := r.source.Read(chunk)
		r.buffer = append(r.buffer, chunk[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			r.isSourceAtEnd = true
		case err != nil:
			// Complete events that arrived before the read error are still returned.
			if bytes.LastIndex(r.buffer, endOfEvent) < 0 {
				return nil, eris.Wrap(ErrNoValidAnswer, err.Error())
			}
			r.source = failedReader{err}
		}
	}
}

// failedReader returns the same error for every read.
type failedReader struct{ err error }

func (f failedReader) Read([]byte) (int, error) { return 0, f.err }

// checkNumbers checks that each event number is one higher than the previous one.
func (r *eventReader) checkNumbers(events []byte) error {
	for _, line := range bytes.Split(events, []byte("\n")) {
		text, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		if err != nil || r.lastEvent != 0 && n != r.lastEvent+1 {
			return eris.Wrapf(ErrNoValidAnswer, "event number %q is invalid or does not follow %d", text, r.lastEvent)
		}
		r.lastEvent = n
	}
	return nil
}
