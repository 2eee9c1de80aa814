package entry

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/platform"
)

// Guards against second sends that operators haven't turned on, and against a setting that
// has no effect.
func TestHedgeShare(t *testing.T) {
	is := is.New(t)
	i := New(platform.Settings{}, io.Discard)
	is.NoErr(i.startHedging())
	is.True(i.delivery.Hedges == nil)
	i.HedgeShare = 0.05
	is.NoErr(i.startHedging())
	is.True(i.delivery.Hedges != nil && i.delivery.HedgeCounts != nil)
}
