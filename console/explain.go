package console

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/request"
)

// TraceLine is a log line about a request.
type TraceLine struct {
	At       time.Time      `json:"at"`
	Instance string         `json:"instance"`
	Event    int            `json:"event"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Trace is what the logs say of a request, in the order of time.
type Trace struct {
	Request string      `json:"request"`
	Lines   []TraceLine `json:"lines"`
}

// maxLogLine bounds a line of a log file.
const maxLogLine = 1 << 20

// Traces reads log files and returns what they say of some requests, in the order
// of the requests. A request is named by its ID or by the one that its client gave it, which
// several requests may share. Text before the JSON of a line is passed over, such as the time
// and name that a collector puts there; lines that are no events are left out.
func Traces(requests []string, logs ...io.Reader) ([]Trace, error) {
	traces := make([]Trace, len(requests))
	for i, id := range requests {
		traces[i].Request = id
	}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			line, id, ok := parseTraceLine(scanner.Text())
			if !ok {
				continue
			}
			for i, asked := range requests {
				if asked == id || asked == request.ClientID(id) {
					traces[i].Lines = append(traces[i].Lines, line)
				}
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, eris.Wrap(err, "read log")
		}
	}
	for i := range traces {
		slices.SortStableFunc(traces[i].Lines, func(a, b TraceLine) int { return a.At.Compare(b.At) })
	}
	return traces, nil
}

// parseTraceLine returns a log line and the request that it is about.
func parseTraceLine(text string) (TraceLine, string, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return TraceLine{}, "", false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return TraceLine{}, "", false
	}
	id, _ := fields["request"].(string)
	number, isEvent := fields["event"].(float64)
	if id == "" || !isEvent {
		return TraceLine{}, "", false
	}
	line := TraceLine{Event: int(number), Fields: fields}
	line.Instance, _ = fields["instance"].(string)
	line.Message, _ = fields["message"].(string)
	if at, ok := fields["time"].(string); ok {
		// A line without a readable time comes first.
		line.At, _ = time.Parse(time.RFC3339Nano, at)
	}
	for _, name := range []string{"time", "level", "instance", "event", "message", "request"} {
		delete(fields, name)
	}
	return line, id, true
}

// Write writes a trace for people: the time since its first line, the instance,
// what happened and the inputs that decided it.
func (t Trace) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s\n", t.Request)
	if len(t.Lines) == 0 {
		fmt.Fprintln(w, "  no line in these logs")
		return
	}
	begun := t.Lines[0].At
	for _, l := range t.Lines {
		fmt.Fprintf(w, "  %8s  %s  %d %s", "+"+l.At.Sub(begun).Round(time.Millisecond).String(), l.Instance, l.Event, l.Message)
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(w, " %s=%v", name, l.Fields[name])
		}
		fmt.Fprintln(w)
	}
}
