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
	lastEvent int64
	buffer    []byte
	// searched is the number of bytes of the buffer that hold no end of an event.
	searched      int
	isSourceAtEnd bool
}

// maxEventBytes is the largest size of an event in bytes.
const maxEventBytes = 128 << 10

var endOfEvent = []byte("\n\n")

// next waits for at least one complete event and returns all complete events that have
// arrived. After the last event, it returns io.EOF if the stream ended with a complete
// event, and ErrNoValidAnswer otherwise.
func (r *eventReader) next() ([]byte, error) {
	chunk := make([]byte, 4<<10)
	for {
		if complete, ok := r.takeComplete(); ok {
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
			if complete, ok := r.takeComplete(); ok {
				r.source = failedReader{err}
				return complete, r.checkNumbers(complete)
			}
			return nil, eris.Wrap(ErrNoValidAnswer, err.Error())
		}
	}
}

// takeComplete removes the complete events from the buffer. It searches only bytes that
// were added since the last search.
func (r *eventReader) takeComplete() ([]byte, bool) {
	i := bytes.LastIndex(r.buffer[r.searched:], endOfEvent)
	if i < 0 {
		r.searched = max(0, len(r.buffer)-len(endOfEvent)+1)
		return nil, false
	}
	end := r.searched + i + len(endOfEvent)
	complete := bytes.Clone(r.buffer[:end])
	r.buffer, r.searched = r.buffer[end:], 0
	return complete, true
}

// failedReader returns the same error for every read.
type failedReader struct{ err error }

func (f failedReader) Read([]byte) (int, error) { return 0, f.err }

// checkNumbers checks that each event number is one higher than the previous one. Once
// there was a number, each event with data must have one: the text of an error is not a
// part of the stream.
func (r *eventReader) checkNumbers(events []byte) error {
	for block := range bytes.SplitSeq(events, endOfEvent) {
		hasNumber, hasData := false, false
		for line := range bytes.SplitSeq(block, []byte("\n")) {
			text, ok := bytes.CutPrefix(line, []byte("id:"))
			hasData = hasData || len(line) > 0 && line[0] != ':'
			if !ok {
				continue
			}
			n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			if err != nil || r.lastEvent != 0 && n != r.lastEvent+1 {
				return eris.Wrapf(ErrNoValidAnswer, "event number %q is invalid or does not follow %d", text, r.lastEvent)
			}
			r.lastEvent, hasNumber = n, true
		}
		if hasData && !hasNumber && r.lastEvent != 0 {
			return eris.Wrapf(ErrNoValidAnswer, "event without a number after event %d", r.lastEvent)
		}
	}
	return nil
}
