package delivery

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// Guards against incomplete events that are returned, missing or duplicate events
// that go undetected, and a connection error that is mistaken for the end of the
// stream.
func TestEventReader(t *testing.T) {
	cut := io.MultiReader(strings.NewReader(events(1, 2)+"id: 3\nda"), iotest.ErrReader(errors.New("reset")))
	rows := []struct {
		name   string
		last   int64
		source io.Reader
	}{
		{"complete stream", 0, strings.NewReader(events(1, 3))},
		{"no event", 0, strings.NewReader("")},
		{"resumes after 2", 2, strings.NewReader(events(3, 4))},
		{"resumes at the wrong event", 2, strings.NewReader(events(4, 5))},
		{"missing event", 0, strings.NewReader(events(1, 1) + events(3, 3))},
		{"duplicate event", 0, strings.NewReader(events(1, 2) + events(2, 2))},
		{"ends inside an event", 0, strings.NewReader(events(1, 1) + "id: 2\ndata")},
		{"cut inside an event", 0, cut},
		{"invalid number", 0, strings.NewReader("id: x\ndata\n\n")},
		{"without numbers", 0, strings.NewReader("data: a\n\ndata: b\n\n")},
	}
	var b strings.Builder
	for _, row := range rows {
		r := eventReader{source: iotest.OneByteReader(row.source), lastEvent: row.last}
		passed := ""
		for {
			data, err := r.next()
			if err != nil {
				fmt.Fprintf(&b, "%-28s last %d, %d bytes, %v\n", row.name, r.lastEvent, len(passed), err)
				break
			}
			passed += string(data)
		}
	}
	goldie.New(t).Assert(t, "events", []byte(b.String()))
}

// Guards against bytes that are lost, duplicated or reordered, depending on how the
// stream is split into reads.
func TestEventReaderKeepsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := events(1, rapid.IntRange(1, 30).Draw(t, "events"))
		var parts []io.Reader
		for rest := whole; rest != ""; {
			n := rapid.IntRange(1, min(60, len(rest))).Draw(t, "part")
			parts = append(parts, strings.NewReader(rest[:n]))
			rest = rest[n:]
		}
		r := eventReader{source: io.MultiReader(parts...)}
		var passed strings.Builder
		for {
			data, err := r.next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil || !strings.HasSuffix(string(data), "\n\n") {
				t.Fatal(err)
			}
			passed.Write(data)
		}
		if passed.String() != whole {
			t.Fatal("returned bytes differ from the stream")
		}
	})
}

// Guards against unbounded memory use by a source that never ends an event.
func TestEventTooLarge(t *testing.T) {
	is := is.New(t)
	r := eventReader{source: strings.NewReader(strings.Repeat("x", maxEventBytes+8<<10))}
	_, err := r.next()
	is.True(errors.Is(err, ErrNoValidAnswer))
}
