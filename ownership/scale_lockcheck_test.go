//go:build lockcheck

package ownership

import "time"

// Builds with the tag lockcheck also run with the race detector, where a run takes
// about ten times as long. They look for races and lock order violations; the
// other build does all runs.
const randomRuns = 100

var faultGaps = []time.Duration{3 * time.Second}
