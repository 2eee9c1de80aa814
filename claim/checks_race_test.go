//go:build race

package claim_test

// checks is smaller than without the race detector, which slows a schedule down
// by an order of magnitude.
const checks = "200"
