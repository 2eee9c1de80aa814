//go:build !lockcheck

package ownership

import "time"

// randomRuns is the number of random runs of TestRandomFaults.
const randomRuns = 500

// pairGaps are the times between the two faults of TestPairsOfFaults.
var pairGaps = []time.Duration{0, 3 * time.Second, 12 * time.Second}
