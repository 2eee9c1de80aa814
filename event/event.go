// Package event defines the numbered log events of lycheecrank and writes them
// through phuslu/log. The catalogue of all events is docs/EVENTS.md.
package event

import (
	"io"

	"github.com/phuslu/log"
)

// Event is one kind of log entry. The meaning of a number never changes.
type Event struct {
	Number int
	Level  log.Level
	Name   string
	// Fields are the names of the event's fields, in the order of the values of Write.
	Fields []string
	// Meaning describes the event to operators in one or two sentences.
	Meaning string
}

// Logger writes events as JSON lines. Concurrent calls are safe.
type Logger struct {
	logger log.Logger
	// buffer holds the lines that are not written yet. It is nil in a logger that
	// writes each line directly.
	buffer *buffer
}

// NewLogger returns a logger that writes events of at least the given level
// ("debug", "info", "warn" or "error") to out.
func NewLogger(out io.Writer, level, instance string) *Logger {
	return &Logger{logger: log.Logger{
		Level:   log.ParseLevel(level),
		Writer:  log.IOWriter{Writer: out},
		Context: log.NewContext(nil).Str("instance", instance).Value(),
	}}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return NewLogger(io.Discard, "error", "")
}

// Write writes an event with the values of its fields, in the order of
// Event.Fields. It panics if the number of values differs from that of the fields.
func (l *Logger) Write(event Event, values ...any) {
	if len(values) != len(event.Fields) {
		panic("event: " + event.Name + " written with the wrong number of values")
	}
	entry := l.logger.WithLevel(event.Level)
	if entry == nil {
		return
	}
	entry = entry.Int("event", event.Number)
	for i, f := range event.Fields {
		if err, ok := values[i].(error); ok {
			entry = entry.Str(f, err.Error())
			continue
		}
		entry = entry.Any(f, values[i])
	}
	entry.Msg(event.Name)
}
