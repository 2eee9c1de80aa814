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
	// bufferedLines is the number of lines that wait for a slow reader: a few seconds
	// of a busy instance's log, or one to two megabytes.
	bufferedLines = 4096
	// writeBytes bounds how many bytes of waiting lines are joined into one write;
	// no line is added once this size is reached.
	writeBytes = 32 << 10
)

// NewBufferedLogger returns a logger like NewLogger whose Write never blocks on out:
// lines are dropped and counted while the buffer is full. Call Close to write the
// buffered lines at the end.
func NewBufferedLogger(out io.Writer, level, instance string) *Logger {
	l := NewLogger(out, level, instance)
	l.buffer = newBuffer(out)
	l.logger.Writer = log.IOWriter{Writer: l.buffer}
	return l
}

// DroppedLines returns the number of lines dropped because the buffer was full or closed.
func (l *Logger) DroppedLines() int64 {
	if l.buffer == nil {
		return 0
	}
	return l.buffer.dropped.Load()
}

// Close writes the buffered lines and stops the writer. Write drops all lines
// after Close.
func (l *Logger) Close() error {
	if l.buffer == nil {
		return nil
	}
	return l.buffer.close()
}

// buffer writes lines to out in the background. It replaces the asynchronous writer
// of the log library, which reads a line after its memory may have been reused by
// another goroutine.
type buffer struct {
	out     io.Writer
	lines   chan []byte
	group   errgroup.Group
	dropped atomic.Int64
	// mu prevents a send on the closed channel, for example by a handler that
	// outlives its server.
	mu       *lock.Ranked
	isClosed bool
}

func newBuffer(out io.Writer) *buffer {
	b := &buffer{out: out, lines: make(chan []byte, bufferedLines), mu: lock.New(lock.RankEvent, "log")}
	b.group.Go(b.run)
	return b
}

// run writes the lines until the buffer is closed, and joins waiting lines into one
// write. It continues after a failed write, so that later lines are not held up, and
// returns the first error.
func (b *buffer) run() error {
	var first error
	for line := range b.lines {
		pending := line
		for hasMore := true; hasMore && len(pending) < writeBytes; {
			select {
			case next, ok := <-b.lines:
				pending = append(pending, next...)
				hasMore = ok
			default:
				hasMore = false
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
