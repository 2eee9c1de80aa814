//go:build race

package claim_test

// scheduleCount is smaller than without the race detector, which makes a schedule
// slower by an order of magnitude.
const scheduleCount = "200"
