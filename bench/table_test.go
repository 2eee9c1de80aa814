package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a share of the capacity that counts the filling of empty
// servers or the answers of a queue after the end of the load.
func TestSettled(t *testing.T) {
	is := is.New(t)
	table := NewTable(10 * time.Second)
	for _, took := range []time.Duration{1, 2, 3, 10, 11} {
		table.Commands().Answered(Arrival{Target: "summary"}, Reply{}, Whole, "", took*time.Second)
	}
	table.Commands().Answered(Arrival{Target: "summary"}, Reply{}, Late, "", 5*time.Second)
	is.Equal(table.Queries().Settled(), map[string]int64{"summary": 2})       // those at 3 s and 10 s
	is.Equal(table.Queries().WholeByTarget(), map[string]int64{"summary": 5}) // all in time
	is.Equal(settlingOf(time.Second), 500*time.Millisecond)
}
