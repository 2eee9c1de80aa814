//go:build !lockcheck

package ownership

import "time"

// randomRuns is the number of random runs of TestRandomFaults.
const randomRuns = 500

// faultGaps are the times between the two faults of TestPairsOfFaults.
var faultGaps = []time.Duration{0, 3 * time.Second, 12 * time.Second}
