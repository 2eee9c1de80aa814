package precedence

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// timeFormat shows times with the microsecond precision of the records.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// JSON returns a report or explanation as indented JSON with a final newline.
func JSON[V Report | Explanation](value V) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return nil, eris.Wrap(err, "format as JSON")
	}
	return append(data, '\n'), nil
}

// Text returns the report in human-readable form.
func (r Report) Text() string {
	var text strings.Builder
	for _, c := range r.Chains {
		source := "its first batch"
		if c.KeyRegistered {
			source = "the registered keys"
		}
		fmt.Fprintf(&text, "instance %s, incarnation %s: records %d to %d in %d batches (%d repeated), key %s from %s\n",
			c.Instance, c.Incarnation, c.FirstSequence, c.LastSequence, c.Batches, c.Repeats, c.KeyFingerprint, source)
		for _, g := range c.Gaps {
			fmt.Fprintf(&text, "  gap: records %d to %d (%d) were lost on the instance from %s to %s\n",
				g.FirstSequence, g.LastSequence, g.Count, formatTime(g.FirstLostAt), formatTime(g.LastLostAt))
		}
	}
	writeFindings(&text, r.Findings)
	switch {
	case !r.Intact():
		fmt.Fprintf(&text, "not intact; number of findings: %d\n", len(r.Findings))
	case len(r.Chains) == 0:
		text.WriteString("no records\n")
	default:
		text.WriteString("intact\n")
	}
	return text.String()
}

// Text returns the explanation in human-readable form.
func (e Explanation) Text() string {
	var text strings.Builder
	writeRequest(&text, "A", e.A)
	writeRequest(&text, "B", e.B)
	for _, c := range e.Comparisons {
		location := ""
		if c.Pool != "" {
			location = " at pool " + c.Pool
		}
		first := c.FirstRequestID
		if first == "" {
			first = "neither"
		}
		fmt.Fprintf(&text, "served first%s: %s\n  cause: %s; %s\n  basis: %s\n  verdict: %s\n", location, first, c.Cause, c.Detail, c.Basis, c.Verdict)
	}
	for _, x := range e.Entitlements {
		fmt.Fprintf(&text, "catalogue revision %d, request %s: %s; %s\n", x.Revision, x.RequestID, x.Verdict, x.Detail)
	}
	for _, c := range e.Caveats {
		fmt.Fprintf(&text, "caveat: %s\n", c)
	}
	writeFindings(&text, e.Findings)
	if len(e.Findings) > 0 {
		text.WriteString("the explanation is unreliable, because the records are not intact\n")
	}
	return text.String()
}

func writeFindings(text *strings.Builder, findings []Finding) {
	for _, f := range findings {
		fmt.Fprintf(text, "%s: instance %s, incarnation %s, records %d to %d, batch %d: %s\n",
			f.Fault, f.Instance, f.Incarnation, f.FirstSequence, f.LastSequence, f.BatchIndex, f.Detail)
	}
}

func writeRequest(text *strings.Builder, label string, summary RequestSummary) {
	fmt.Fprintf(text, "%s: request %s", label, summary.RequestID)
	if summary.RequestKey != "" {
		fmt.Fprintf(text, ", key %s", summary.RequestKey)
	}
	fmt.Fprintf(text, "\n  workspace %s, target %s, class %s, rank %d, catalogue revision %d\n  arrival %s, deadline %s\n",
		summary.Workspace, summary.Target, summary.Class, summary.Rank, summary.Revision, formatTime(summary.Arrival), formatTime(summary.Deadline))
	for _, x := range summary.Steps {
		fmt.Fprintf(text, "  %s %s", formatTime(x.DecidedAt), x.Kind)
		for _, part := range [][2]string{{"stage", x.Stage}, {"pool", x.Pool}, {"backend server", x.Server}, {"reason", x.Reason}} {
			if part[1] != "" {
				fmt.Fprintf(text, ", %s %s", part[0], part[1])
			}
		}
		if x.Kind == Dispatch {
			fmt.Fprintf(text, ", attempt %d, %d waiting", x.Attempt, x.Waiting)
		}
		fmt.Fprintf(text, " (%s %s, record %d)\n", x.Instance, x.Incarnation, x.Sequence)
	}
	if summary.Outcome != "" {
		fmt.Fprintf(text, "  outcome %s\n", summary.Outcome)
	}
}

func formatTime(moment time.Time) string { return moment.Format(timeFormat) }
