package event_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/event"
)

// Guards against a process that blocks because nobody reads its log, against buffered
// lines that Close loses, and against a panic by a line written after Close.
func TestBufferedLogger(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	l := event.NewBufferedLogger(writer, "info", "n1")
	const lines = 10_000
	for range lines {
		l.Write(event.LogAvailable, "op") // nobody reads the pipe yet
	}
	dropped := l.DroppedLines()
	is.True(dropped > 0)
	is.True(dropped < lines)
	read := make(chan int, 1)
	var group errgroup.Group
	group.Go(func() error { // returns when the pipe is closed
		data, _ := io.ReadAll(reader)
		read <- strings.Count(string(data), "\n")
		return nil
	})
	is.NoErr(l.Close())
	is.NoErr(writer.Close())
	is.NoErr(group.Wait())
	is.Equal(int64(<-read), lines-dropped) // every buffered line was written
	l.Write(event.LogAvailable, "op")
	is.Equal(l.DroppedLines(), dropped+1)
	is.NoErr(l.Close())

	var out bytes.Buffer
	plain := event.NewLogger(&out, "info", "n1")
	plain.Write(event.LogAvailable, "op")
	is.True(strings.Contains(out.String(), `"event":206`))
	is.NoErr(plain.Close())
}
