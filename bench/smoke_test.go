package bench

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

func readCell(t *testing.T, name string) Cell {
	t.Helper()
	c, err := ReadCell(readFile(t, name), name)
	is.New(t).NoErr(err)
	return c
}

// awaitReady waits until all instances have a catalogue.
func awaitReady(ctx context.Context, b *Balancer, n int) bool {
	for b.Check(ctx); len(b.Ready()) < n; b.Check(ctx) {
		if !sleep(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return true
}

// Guards against answers that are lost, doubled or foreign on their way through
// instances, and against requests that the tool itself forgets to count.
func TestSmoke(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	site := &Site{}
	defer func() { is.NoErr(site.Stop()) }()
	is.NoErr(site.Start(ctx, readCell(t, "testdata/cell.yaml")))
	var addresses []string
	for _, dc := range site.cell.DataCentres {
		i, err := LaunchHere(ctx, InstanceSettings("entry-"+dc, dc, site.Platform(), "1s"), io.Discard)
		is.NoErr(err)
		defer func() { _ = i.Stop() }()
		addresses = append(addresses, i.Address)
	}
	balancer := NewBalancer(NewHTTP(), addresses)
	is.True(awaitReady(ctx, balancer, len(addresses)))
	caller := Caller{HTTP: NewHTTP(), Choose: balancer.Choose}
	r := Driver{Load: readLoad(t, "testdata/smoke.yaml"), Send: caller.Send}.Run(ctx)
	all := r.Class(allClasses)
	t.Log(r.Text())
	sum := int64(0)
	for _, n := range all.Verdicts {
		sum += n
	}
	is.Equal(all.Sent, sum)
	is.Equal(all.Verdicts[Lost]+all.Verdicts[Doubled]+all.Verdicts[Foreign], int64(0))
	is.True(all.Verdicts[Whole] > 0)
}
