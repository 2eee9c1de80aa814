package precedence

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// timeFormat has the precision of the records.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// JSON returns a report or explanation as indented JSON with a final newline.
func JSON[V Report | Explanation](v V) ([]byte, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return nil, eris.Wrap(err, "format as JSON")
	}
	return append(data, '\n'), nil
}

// Text returns the report for people.
func (r Report) Text() string {
	var b strings.Builder
	for _, c := range r.Chains {
		source := "its first batch"
		if c.KeyRegistered {
			source = "the registry"
		}
		fmt.Fprintf(&b, "instance %s, incarnation %s: records %d to %d in %d batches (%d repeated), key %s from %s\n",
			c.Instance, c.Incarnation, c.First, c.Last, c.Batches, c.Repeats, c.Key, source)
		for _, g := range c.Gaps {
			fmt.Fprintf(&b, "  gap: records %d to %d (%d) were lost on the instance from %s to %s\n",
				g.First, g.Last, g.Count, stamp(g.From), stamp(g.Until))
		}
	}
	writeFindings(&b, r.Findings)
	switch {
	case !r.Intact():
		fmt.Fprintf(&b, "not intact; number of findings: %d\n", len(r.Findings))
	case len(r.Chains) == 0:
		b.WriteString("no records\n")
	default:
		b.WriteString("intact\n")
	}
	return b.String()
}

// Text returns the explanation for people.
func (e Explanation) Text() string {
	var b strings.Builder
	writeSubject(&b, "A", e.A)
	writeSubject(&b, "B", e.B)
	for _, c := range e.Comparisons {
		where := ""
		if c.Pool != "" {
			where = " at pool " + c.Pool
		}
		first := c.First
		if first == "" {
			first = "neither"
		}
		fmt.Fprintf(&b, "served first%s: %s\n  why: %s; %s\n  found by: %s\n  order: %s\n", where, first, c.Cause, c.Detail, c.Basis, c.Verdict)
	}
	for _, x := range e.Entitlements {
		fmt.Fprintf(&b, "catalogue revision %d, request %s: %s; %s\n", x.Revision, x.RequestID, x.Verdict, x.Detail)
	}
	for _, c := range e.Caveats {
		fmt.Fprintf(&b, "caveat: %s\n", c)
	}
	writeFindings(&b, e.Findings)
	if len(e.Findings) > 0 {
		b.WriteString("the records are not intact, so the explanation proves nothing\n")
	}
	return b.String()
}

func writeFindings(b *strings.Builder, findings []Finding) {
	for _, f := range findings {
		fmt.Fprintf(b, "%s: instance %s, incarnation %s, records %d to %d, batch %d: %s\n",
			f.Fault, f.Instance, f.Incarnation, f.First, f.Last, f.Batch, f.Detail)
	}
}

func writeSubject(b *strings.Builder, label string, s Subject) {
	fmt.Fprintf(b, "%s: request %s", label, s.RequestID)
	if s.Key != "" {
		fmt.Fprintf(b, ", key %s", s.Key)
	}
	fmt.Fprintf(b, "\n  workspace %s, target %s, class %s, rank %d, catalogue revision %d\n  arrival %s, deadline %s\n",
		s.Workspace, s.Target, s.Class, s.Rank, s.Revision, stamp(s.Arrival), stamp(s.Deadline))
	for _, x := range s.Steps {
		fmt.Fprintf(b, "  %s %s", stamp(x.At), x.Kind)
		for _, part := range [][2]string{{"stage", x.Stage}, {"pool", x.Pool}, {"backend server", x.Server}, {"reason", x.Reason}} {
			if part[1] != "" {
				fmt.Fprintf(b, ", %s %s", part[0], part[1])
			}
		}
		if x.Kind == Dispatch {
			fmt.Fprintf(b, ", attempt %d, %d waiting", x.Attempt, x.Waiting)
		}
		fmt.Fprintf(b, " (%s %s, record %d)\n", x.Instance, x.Incarnation, x.Sequence)
	}
	if s.Outcome != "" {
		fmt.Fprintf(b, "  outcome %s\n", s.Outcome)
	}
}

func stamp(t time.Time) string { return t.Format(timeFormat) }
