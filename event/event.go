// Package event defines the numbered log events of lycheecrank and writes them
// through phuslu/log. The catalogue of all events is docs/EVENTS.md.
package event

import (
	"io"

	"github.com/phuslu/log"
)

// Event is one kind of log entry. Its number never changes its meaning.
type Event struct {
	Number int
	Level  log.Level
	Name   string
	// Fields names the fields that the event carries, in order.
	Fields []string
	// Meaning says in one sentence what happened and what to do about it.
	Meaning string
}

// Logger writes events as JSON lines. Concurrent calls are safe.
type Logger struct {
	logger log.Logger
	// buffer holds lines that are not written yet, nil if each is written at once.
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

// Discard is a logger that writes nothing.
func Discard() *Logger {
	return NewLogger(io.Discard, "error", "")
}

// Write writes an event with the values of its fields, in the order of
// Event.Fields. A wrong number of values is a programmer's mistake and panics.
func (l *Logger) Write(e Event, values ...any) {
	if len(values) != len(e.Fields) {
		panic("event: " + e.Name + " written with a wrong number of values")
	}
	entry := l.logger.WithLevel(e.Level)
	if entry == nil {
		return
	}
	entry = entry.Int("event", e.Number)
	for i, f := range e.Fields {
		if err, ok := values[i].(error); ok {
			entry = entry.Str(f, err.Error())
			continue
		}
		entry = entry.Any(f, values[i])
	}
	entry.Msg(e.Name)
}
