package bench

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a comparison of calls that fail, on either way, with calls that
// succeed.
func TestOverhead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r, err := Overhead{Launch: LaunchHere, Logs: io.Discard, Rates: []float64{50}, StreamRates: []float64{20}, Duration: 300 * time.Millisecond}.Run(ctx)
	is.NoErr(err)
	is.Equal(len(r.Rows), 1)
	is.Equal(len(r.Streams), 1)
	for _, row := range append(r.Rows, r.Streams...) {
		calls := int64(row.PerSecond * 0.3)
		is.Equal(row.Failed, int64(0))
		is.Equal(row.DirectMs.Count, calls)
		is.Equal(row.ThroughMs.Count, calls)
	}
	is.True(r.SaturatedPerSecond > 0)
	is.True(r.TokensPerSecond > 0)
}
