package event

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/lock"
)

const (
	// bufferedLines is the number of lines that wait for a reader that is slow: some
	// seconds of a busy instance, a megabyte or two.
	bufferedLines = 4096
	// writeBytes is the size from which on lines that wait are written in another
	// call.
	writeBytes = 32 << 10
)

// NewBufferedLogger returns a logger like NewLogger whose Write never waits for out:
// lines that find no room while out doesn't take them are dropped and counted. Close
// it at the end.
func NewBufferedLogger(out io.Writer, level, instance string) *Logger {
	l := NewLogger(out, level, instance)
	l.buffer = newBuffer(out)
	l.logger.Writer = log.IOWriter{Writer: l.buffer}
	return l
}

// Dropped returns the number of lines that found no room.
func (l *Logger) Dropped() int64 {
	if l.buffer == nil {
		return 0
	}
	return l.buffer.dropped.Load()
}

// Close writes the lines that wait. Lines that are written later are dropped.
func (l *Logger) Close() error {
	if l.buffer == nil {
		return nil
	}
	return l.buffer.close()
}

// buffer passes lines on without waiting. The library's own asynchronous writer
// reads a line after another goroutine may have taken its memory.
type buffer struct {
	out     io.Writer
	lines   chan []byte
	group   errgroup.Group
	dropped atomic.Int64
	// mu keeps lines from a buffer that is closed, such as those of a handler that
	// outlives its server.
	mu       *lock.Ranked
	isClosed bool
}

func newBuffer(out io.Writer) *buffer {
	b := &buffer{out: out, lines: make(chan []byte, bufferedLines), mu: lock.New(lock.RankEvent, "log")}
	b.group.Go(b.run)
	return b
}

// run writes the lines, as many at a time as wait, until the buffer is closed. It
// goes on after an error of out, so that the lines of others are not held up.
func (b *buffer) run() error {
	var first error
	for line := range b.lines {
		pending := line
		for isMore := true; isMore && len(pending) < writeBytes; {
			select {
			case next, ok := <-b.lines:
				pending = append(pending, next...)
				isMore = ok
			default:
				isMore = false
			}
		}
		if _, err := b.out.Write(pending); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Write implements io.Writer.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isClosed {
		select {
		case b.lines <- bytes.Clone(line):
			return len(line), nil
		default:
		}
	}
	b.dropped.Add(1)
	return 0, io.ErrShortWrite
}

func (b *buffer) close() error {
	b.mu.Lock()
	if !b.isClosed {
		b.isClosed = true
		close(b.lines)
	}
	b.mu.Unlock()
	return b.group.Wait()
}
