package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	operatorv1 "lycheecrank.example/api/operator/v1"
	"lycheecrank.example/api/operator/v1/operatorv1connect"
	"lycheecrank.example/catalogue"
)

// Control measures what instances cost without callers, as a function of their
// number. Set the exported fields before Run.
type Control struct {
	Cell Cell
	// Launch starts an instance in a process of its own.
	Launch func(ctx context.Context, text string, logs io.Writer) (Running, error)
	Logs   io.Writer
	// Sizes are the numbers of instances, at most 100 each.
	Sizes []int
	// Settle is the time before each measurement, Duration that of it.
	Settle   time.Duration
	Duration time.Duration
	// Interval is the least time between appends of decision records.
	Interval string
	// Edits is how many catalogue edits are timed for each size.
	Edits int
	// Progress tells what is being done.
	Progress func(format string, args ...any)
}

// ControlRow is the cost of one number of instances. Rates are a second, and
// those of instances are means per instance.
type ControlRow struct {
	Instances int `json:"instances"`
	// CPU is in seconds of processor time a second.
	CPU           float64 `json:"cpu"`
	ResidentBytes float64 `json:"residentBytes"`
	// PeerBytes and PlatformBytes are read plus written. Each byte between two
	// instances counts at both. BackendBytes of the load reports are in the
	// former.
	PeerBytes     float64 `json:"peerBytes"`
	PlatformBytes float64 `json:"platformBytes"`
	// LogAppends and LogReads are calls at the log from all instances together,
	// ListCalls reads of the list of instances; each comes with an announcement.
	LogAppends float64 `json:"logAppends"`
	LogReads   float64 `json:"logReads"`
	ListCalls  float64 `json:"listCalls"`
	// AdoptionMs are the times from the submission of an edit until all instances
	// had adopted it.
	AdoptionMs []float64 `json:"adoptionMs"`
	LoadBefore float64   `json:"loadBefore"`
}

// Slope is a line through the costs of all instances together: Base + PerInstance
// times the number of instances. Base is what the cell costs however many
// instances share it, such as load reports of its servers.
type Slope struct {
	Measure     string  `json:"measure"`
	Base        float64 `json:"base"`
	PerInstance float64 `json:"perInstance"`
}

// ControlResult is the outcome of the measurement.
type ControlResult struct {
	Rows   []ControlRow `json:"rows"`
	Slopes []Slope      `json:"slopes"`
}

// WithRow returns the result with one more row and its slopes fitted anew.
func (r ControlResult) WithRow(row ControlRow) ControlResult {
	r.Rows = append(append([]ControlRow{}, r.Rows...), row)
	r.Slopes = nil
	for _, m := range []struct {
		name string
		of   func(r ControlRow, n float64) float64
	}{
		{"cpu", func(r ControlRow, n float64) float64 { return n * r.CPU }},
		{"residentBytes", func(r ControlRow, n float64) float64 { return n * r.ResidentBytes }},
		{"peerBytes", func(r ControlRow, n float64) float64 { return n * r.PeerBytes }},
		{"platformBytes", func(r ControlRow, n float64) float64 { return n * r.PlatformBytes }},
		{"logAppends", func(r ControlRow, _ float64) float64 { return r.LogAppends }},
		{"logReads", func(r ControlRow, _ float64) float64 { return r.LogReads }},
		{"listCalls", func(r ControlRow, _ float64) float64 { return r.ListCalls }},
	} {
		base, slope := fit(r.Rows, m.of)
		r.Slopes = append(r.Slopes, Slope{m.name, base, slope})
	}
	return r
}

// fit returns the line of least squares through a measure of the rows.
func fit(rows []ControlRow, of func(r ControlRow, n float64) float64) (base, slope float64) {
	var n, sx, sy, sxx, sxy float64
	for _, r := range rows {
		x, y := float64(r.Instances), of(r, float64(r.Instances))
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return (sy - slope*sx) / n, slope
}

// Text returns the rows and slopes as a table.
func (r ControlResult) Text() string {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "instances\tCPU % of a core\tMB resident\tB/s to peers\tB/s to platform\tappends/s (all)\treads/s (all)\tlist calls/s (all)\tedit adopted by all ms\tmachine load")
	for _, x := range r.Rows {
		fmt.Fprintf(w, "%d\t%.2f\t%.1f\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%.0f\t%.1f\n", x.Instances, 100*x.CPU, x.ResidentBytes/1e6,
			x.PeerBytes, x.PlatformBytes, x.LogAppends, x.LogReads, x.ListCalls, x.AdoptionMs, x.LoadBefore)
	}
	_ = w.Flush()
	for _, s := range r.Slopes {
		fmt.Fprintf(&out, "%s of all = %.6g + %.6g * instances\n", s.Measure, s.Base, s.PerInstance)
	}
	return out.String()
}

// WriteFile writes the result as JSON.
func (r ControlResult) WriteFile(path string) error { return writeJSON(path, r) }

// Run measures all sizes, one after the other.
func (c Control) Run(ctx context.Context) (ControlResult, error) {
	var result ControlResult
	for _, n := range c.Sizes {
		if n < 1 || n > maxInstances {
			return result, eris.Errorf("%d instances: must be 1 to %d", n, maxInstances)
		}
		row, err := c.size(ctx, n)
		if err != nil {
			return result, err
		}
		result = result.WithRow(row)
	}
	return result, nil
}

func (c Control) size(ctx context.Context, n int) (row ControlRow, err error) {
	c.Progress("%d instances", n)
	site := &Site{}
	defer func() { err = errors.Join(err, site.Stop()) }()
	if err := site.Start(ctx, c.Cell); err != nil {
		return row, err
	}
	all, err := launchAll(ctx, c.Launch, c.Logs, site, n, c.Interval)
	defer func() { err = errors.Join(err, stopAll(all)) }()
	if err != nil {
		return row, err
	}
	sleep(ctx, c.Settle)
	row, err = c.measure(ctx, site, all)
	if err != nil {
		return row, err
	}
	for e := range c.Edits {
		took, err := c.adoption(ctx, site, all, e)
		if err != nil {
			return row, err
		}
		row.AdoptionMs = append(row.AdoptionMs, float64(took.Microseconds())/1000)
	}
	return row, ctx.Err()
}

// launchAll starts instances, spread over the data centres in turn.
func launchAll(ctx context.Context, launch func(context.Context, string, io.Writer) (Running, error), logs io.Writer, site *Site, n int, interval string) ([]Running, error) {
	started := make([]Running, n)
	var group errgroup.Group
	for i := range n {
		group.Go(func() error {
			dc := site.cell.DataCentres[i%len(site.cell.DataCentres)]
			r, err := launch(ctx, InstanceSettings(fmt.Sprintf("entry-%d", i+1), dc, site.Platform(), interval), logs)
			started[i] = r
			return err
		})
	}
	err := group.Wait()
	var all []Running
	for _, r := range started {
		if r.Address != "" {
			all = append(all, r)
		}
	}
	return all, err
}

// stopAll drains instances at the same time.
func stopAll(all []Running) error {
	var group errgroup.Group
	for _, r := range all {
		group.Go(r.Stop)
	}
	return group.Wait()
}

// snapshot is what has been used up to a moment.
type snapshot struct {
	at       time.Time
	usage    Usage
	platform int64
	calls    map[string]int64
}

func takeSnapshot(site *Site, all []Running) (snapshot, error) {
	s := snapshot{at: time.Now(), platform: site.PlatformBytes.Load(), calls: site.platform.Counts()}
	for _, r := range all {
		u, err := UsageOf(r.PID)
		if err != nil {
			return s, err
		}
		s.usage.CPU += u.CPU
		s.usage.ResidentBytes += u.ResidentBytes
		s.usage.ReadBytes += u.ReadBytes
		s.usage.WrittenBytes += u.WrittenBytes
	}
	return s, nil
}

func (c Control) measure(ctx context.Context, site *Site, all []Running) (ControlRow, error) {
	row := ControlRow{Instances: len(all), LoadBefore: loadAverage()}
	before, err := takeSnapshot(site, all)
	if err != nil {
		return row, err
	}
	sleep(ctx, c.Duration)
	after, err := takeSnapshot(site, all)
	if err != nil {
		return row, err
	}
	seconds, n := after.at.Sub(before.at).Seconds(), float64(len(all))
	calls := func(methods ...string) float64 {
		var sum int64
		for _, m := range methods {
			sum += after.calls["calls."+m] - before.calls["calls."+m]
		}
		return float64(sum) / seconds
	}
	bytes := float64(after.usage.ReadBytes + after.usage.WrittenBytes - before.usage.ReadBytes - before.usage.WrittenBytes)
	platform := float64(after.platform - before.platform)
	row.CPU = (after.usage.CPU - before.usage.CPU).Seconds() / seconds / n
	row.ResidentBytes = float64(after.usage.ResidentBytes) / n
	row.PlatformBytes = platform / seconds / n
	row.PeerBytes = (bytes - platform) / seconds / n
	row.LogAppends, row.LogReads = calls("Append"), calls("Read", "Tail")
	row.ListCalls = calls("List")
	return row, nil
}

// adoption changes an entry and waits until all instances have the change.
func (c Control) adoption(ctx context.Context, site *Site, all []Running, edit int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var entry catalogue.Entry
	for _, e := range c.Cell.Entries {
		if e.Kind == catalogue.WorkspaceKind {
			entry = e
		}
	}
	entry.Weight = 10 + edit
	known, err := revisions(ctx, all[:1])
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := site.edit(ctx, []catalogue.Entry{entry}); err != nil {
		return 0, err
	}
	for {
		found, err := revisions(ctx, all)
		if err != nil {
			return 0, err
		}
		if found > known {
			return time.Since(began), nil
		}
		sleep(ctx, 5*time.Millisecond)
	}
}

// revisions returns the lowest catalogue revision of some instances.
func revisions(ctx context.Context, all []Running) (uint64, error) {
	found := make([]uint64, len(all))
	var group errgroup.Group
	for n, r := range all {
		group.Go(func() error {
			client := operatorv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+r.Address)
			res, err := client.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
			if err == nil {
				found[n] = res.Msg.GetCatalogueRevision()
			}
			return eris.Wrap(err, "status of "+r.Name)
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	lowest := found[0]
	for _, f := range found {
		lowest = min(lowest, f)
	}
	return lowest, nil
}
