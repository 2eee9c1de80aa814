package console

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// textTable is a table with aligned columns.
type textTable struct {
	rows [][]string
}

func newTable(columns ...string) *textTable { return &textTable{rows: [][]string{columns}} }

func (t *textTable) add(values ...any) {
	row := make([]string, 0, len(values))
	for _, v := range values {
		text := cell(fmt.Sprint(v))
		if text == "" {
			text = "-"
		}
		row = append(row, text)
	}
	t.rows = append(t.rows, row)
}

// cell keeps control characters, which could come from an author's name, out of
// the operator's terminal.
func cell(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}

// String returns the table without blanks at the ends of lines.
func (t *textTable) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
	return b.String()
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
