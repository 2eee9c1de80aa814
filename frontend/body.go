package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"lycheecrank.example/intake"
)

const (
	// growthFactor is the factor by which the buffer of a body grows. Each replaced buffer
	// is garbage that isn't counted; a factor of 4 keeps the sum of them under a third of
	// the body.
	growthFactor = 4
	// smallRead is the size under which a read counts as small. It is below the payload of
	// a network packet, so that bodies in large chunks on slow links have few of them.
	smallRead = 1024
)

// ReadBody reads the whole body of a request until a time or until its context ends. Its buffer grows as bytes
// arrive, and each size is counted before it is allocated. An error leaves the request in
// the account.
func (f *Frontend) ReadBody(w http.ResponseWriter, r *http.Request, counted *intake.Request, limit int64, until time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, counted.Advance(intake.Serving, time.Now())
	}
	if r.ContentLength > limit {
		// The refusal leaves the body unread.
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	// A writer without deadlines, as in tests, waits without a limit.
	_ = control.SetReadDeadline(until)
	stopWatch := context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(past) })
	defer stopWatch()
	body, err := f.read(r.Context(), http.MaxBytesReader(w, r.Body, limit), counted, r.ContentLength, limit)
	if err == nil {
		err = counted.Advance(intake.Serving, time.Now())
	}
	switch {
	case err == nil:
	case IsRefused(counted, err):
		Abandon(w)
		return nil, err
	default:
		w.Header().Set("Connection", "close")
		return nil, err
	}
	if stopWatch() {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, nil
}

// read reads a body of a length, -1 if that is unknown.
func (f *Frontend) read(ctx context.Context, source io.Reader, counted *intake.Request, length, limit int64) ([]byte, error) {
	// One byte more shows the end of a body, or that it is too large.
	most := limit + 1
	if length >= 0 {
		most = length + 1
	}
	buffer := make([]byte, 0, min(most, intake.FreeBytes))
	pace := f.newPace()
	for {
		if len(buffer) == cap(buffer) {
			size := min(most, int64(cap(buffer))*growthFactor)
			if err := counted.Grow(ctx, size-int64(cap(buffer)), intake.Patience); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			buffer = grown
		}
		n, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
		if err := pace.wait(ctx, n); err != nil {
			return nil, err
		}
	}
}

// pace delays a body that is read in many small parts, as one in very small chunks is,
// because decoding these takes much processor time.
type pace struct {
	limiter *rate.Limiter
	// small is the number of small reads.
	small int
}

func (f *Frontend) newPace() pace {
	if f == nil {
		return pace{}
	}
	return pace{limiter: f.smallReads}
}

// wait delays the next read after one of a number of bytes.
func (p *pace) wait(ctx context.Context, bytes int) error {
	if bytes >= smallRead || p.limiter == nil {
		return nil
	}
	if p.small++; p.small <= smallReadBurst {
		return nil
	}
	return p.limiter.Wait(ctx)
}
