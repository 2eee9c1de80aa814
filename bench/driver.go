package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxOpen bounds the requests in flight, far above what a machine can have at a
// time; one beyond it is counted as lost without being sent.
const maxOpen = 20_000

// grace is how long after its deadline an answer is still waited for.
const grace = 2 * time.Second

var errTooManyOpen = errors.New("too many requests in flight")

// Driver sends the requests of a load. Set the exported fields before Run.
type Driver struct {
	Load Load
	// Balance names what is measured in the result.
	Balance string
	// Send sends one request and returns its reply. The start is the intended
	// time.
	Send func(ctx context.Context, a Arrival, start time.Time) Reply
	// Judged is called with the verdict on each request, unless it is nil.
	Judged func(a Arrival, v Verdict)
	// Progress is called once a second while the load runs, unless it is nil.
	Progress func(Progress)
}

// Run sends all requests, waits for their answers and returns the result. A
// context that ends stops the arrivals.
func (d Driver) Run(ctx context.Context) Result {
	table := NewTable(d.Load.Duration)
	schedule := Schedule(d.Load)
	r := Result{
		Load: d.Load.Name, Balance: d.Balance, Seed: d.Load.Seed, PerSecond: d.Load.Arrivals.PerSecond,
		Duration: d.Load.Duration.Seconds(), StartedAt: time.Now().UTC(),
		Machine: Machine{Cores: runtime.NumCPU(), LoadBefore: loadAverage()},
	}
	spent := CPUTime()
	watching, stop := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		d.watch(watching, table.Queries())
		return nil
	})
	d.send(ctx, schedule, table.Commands())
	stop()
	_ = group.Wait()
	r.Classes = table.Queries().Classes()
	r.WholeByTarget, r.Settled = table.Queries().WholeByTarget(), table.Queries().Settled()
	r.Machine.LoadAfter = loadAverage()
	r.Machine.GeneratorCPUSeconds = (CPUTime() - spent).Seconds()
	return r
}

// send sends each request at its time, without waiting for answers.
func (d Driver) send(ctx context.Context, schedule []Arrival, c Commands) {
	start := time.Now()
	open := make(chan struct{}, maxOpen)
	var group errgroup.Group
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range schedule {
		at := start.Add(a.At)
		timer.Reset(time.Until(at))
		select {
		case <-timer.C:
		case <-ctx.Done():
			_ = group.Wait()
			return
		}
		c.Sent(a)
		select {
		case open <- struct{}{}:
		default:
			c.Answered(a, Reply{Err: errTooManyOpen}, Lost, "", 0)
			continue
		}
		group.Go(func() error {
			d.one(ctx, a, at, c)
			<-open
			return nil
		})
	}
	_ = group.Wait()
}

func (d Driver) one(ctx context.Context, a Arrival, at time.Time, c Commands) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), at.Add(a.Timeout+grace))
	defer cancel()
	reply := d.Send(ctx, a, at)
	took := time.Since(at)
	v, reason := Judge(a, reply, took)
	c.Answered(a, reply, v, reason, took)
	if d.Judged != nil {
		d.Judged(a, v)
	}
}

func (d Driver) watch(ctx context.Context, q Queries) {
	if d.Progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.Progress(q.Progress())
		case <-ctx.Done():
			return
		}
	}
}

// PrintProgress returns a function that prints the progress, one line each time.
func PrintProgress(out io.Writer) func(Progress) {
	started := time.Now()
	return func(p Progress) {
		fmt.Fprintf(out, "%3.0f s: sent %d, in flight %d", time.Since(started).Seconds(), p.Sent, p.Sent-p.Answered)
		for _, v := range Verdicts() {
			if p.Verdicts[v] > 0 {
				fmt.Fprintf(out, ", %s %d", v, p.Verdicts[v])
			}
		}
		fmt.Fprintln(out)
	}
}

// loadAverage returns the load of the last minute, 0 if it can't be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// CPUTime returns the processor time that this process has spent.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
