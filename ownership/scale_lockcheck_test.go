//go:build lockcheck

package ownership

import "time"

// Checked builds also run with the race detector, where a run takes about ten
// times as long. They look for races and locks out of order; the other build
// runs everything.
const randomRuns = 100

var pairGaps = []time.Duration{3 * time.Second}
