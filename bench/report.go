package bench

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteReport writes a page with plots of a result into a directory.
func WriteReport(r Result, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "write report")
	}
	for name, draw := range map[string]func(Result) (*plot.Plot, []line){"attainment.svg": attainmentPlot, "latency.svg": latencyPlot} {
		p, lines := draw(r)
		if err := savePlot(filepath.Join(dir, name), p, lines); err != nil {
			return err
		}
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, "report.md"), []byte(Page(r)), 0o644), "write report")
}

// Page returns a result as a Markdown page that refers to its plots.
func Page(r Result) string {
	return fmt.Sprintf("# %s, %s\n\n```text\n%s```\n\n![Attainment by second and class](attainment.svg)\n\n![Latency percentiles](latency.svg)\n",
		r.Load, r.Balance, r.Text())
}

// line is one line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

func attainmentPlot(r Result) (*plot.Plot, []line) {
	p := plot.New()
	p.Title.Text = "Attainment by second"
	p.X.Label.Text, p.Y.Label.Text = "second", "share answered in time, %"
	p.Y.Min, p.Y.Max = 0, 100
	var lines []line
	for _, c := range r.Classes {
		l := line{name: c.Class}
		for _, s := range c.Seconds {
			if s.Sent > 0 {
				l.points = append(l.points, plotter.XY{X: float64(s.Second), Y: 100 * float64(s.Whole) / float64(s.Sent)})
			}
		}
		lines = append(lines, l)
	}
	return p, lines
}

func latencyPlot(r Result) (*plot.Plot, []line) {
	p := plot.New()
	p.Title.Text = "Latency from the intended time"
	p.X.Label.Text, p.Y.Label.Text = "percentile", "ms"
	p.NominalX("50", "90", "95", "99", "99.9", "max")
	var lines []line
	for _, c := range r.Classes {
		if c.LatencyMs == nil {
			continue
		}
		l := line{name: c.Class}
		for n, y := range []float64{c.LatencyMs.P50, c.LatencyMs.P90, c.LatencyMs.P95, c.LatencyMs.P99, c.LatencyMs.P999, c.LatencyMs.Max} {
			l.points = append(l.points, plotter.XY{X: float64(n), Y: y})
		}
		lines = append(lines, l)
	}
	return p, lines
}

func savePlot(path string, p *plot.Plot, lines []line) error {
	const width, height = 18 * vg.Centimeter, 9 * vg.Centimeter
	for n, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		drawn.Color, drawn.Dashes = plotutil.Color(n), plotutil.Dashes(n)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Legend.Left = true
	return eris.Wrap(p.Save(width, height, path), "plot")
}
