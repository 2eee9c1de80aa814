package bench

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Compare returns two results side by side, by class.
func Compare(a, b Result) string {
	var out strings.Builder
	fmt.Fprintf(&out, "A: %s, balance %s, %.0f/s, seed %d\nB: %s, balance %s, %.0f/s, seed %d\n",
		a.Load, a.Balance, a.PerSecond, a.Seed, b.Load, b.Balance, b.PerSecond, b.Seed)
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "class\tmeasure\tA\tB\tB-A")
	for _, c := range a.Classes {
		other := b.Class(c.Class)
		row := func(name, format string, x, y float64) {
			fmt.Fprintf(w, "%s\t%s\t"+format+"\t"+format+"\t"+strings.Replace(format, "%", "%+", 1)+"\n", c.Class, name, x, y, y-x)
		}
		row("sent", "%.0f", float64(c.Sent), float64(other.Sent))
		row("attained %", "%.2f", 100*c.Attainment(), 100*other.Attainment())
		for _, v := range Verdicts() {
			if c.Verdicts[v] != 0 || other.Verdicts[v] != 0 {
				row(string(v), "%.0f", float64(c.Verdicts[v]), float64(other.Verdicts[v]))
			}
		}
		if c.LatencyMs != nil && other.LatencyMs != nil {
			row("p50 ms", "%.1f", c.LatencyMs.P50, other.LatencyMs.P50)
			row("p99 ms", "%.1f", c.LatencyMs.P99, other.LatencyMs.P99)
		}
		row("seconds below 99%", "%.0f", float64(c.SecondsBelow(0.99)), float64(other.SecondsBelow(0.99)))
	}
	_ = w.Flush()
	return out.String()
}
